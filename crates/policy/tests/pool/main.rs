//! Sharing of capacity between the cells of a service: which cell is asked, and how load that
//! arrives unevenly is served.

mod decisions;
#[path = "../cell/fixtures.rs"]
#[allow(dead_code)]
mod fixtures;
mod incoming;
mod overflow;
mod uneven_load;
