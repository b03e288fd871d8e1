//! The platform's object API and host list: a trait and an HTTP client for each.

mod error;
mod host_list;
mod object_api;

pub use error::PlatformError;
pub use host_list::{HostEntry, HostList, HostListing, HttpHostList, ListedState, Role};
pub use object_api::{HttpObjectApi, Object, ObjectApi, Version};
