//! Small stand-ins for external systems: engines, plain services, the object API, the host list.
//!
//! Each keeps its own records. A test can thus compare the responses to callers with what the
//! upstreams received, independently of the counters of the system under test.

mod answer;
mod engine;
mod host_list;
mod model;
mod object_api;
mod plain;
mod runs;

pub use answer::{answer_length, answer_token, prompt_tokens};
pub use engine::{EngineFaults, StandinEngine};
pub use host_list::StandinHostList;
pub use model::{EngineEvent, EngineModel, EngineSpec, Job};
pub use object_api::{ObjectFaults, StandinObjectApi};
pub use plain::StandinPlain;
pub use runs::EngineRecord;
