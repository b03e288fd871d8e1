//! Whole sessions under random faults, judged by what callers and upstreams themselves saw.

mod fault;
mod judge;
mod round;
mod session;

pub(crate) use fault::Fault;
pub(crate) use judge::Verdict;
pub(crate) use round::{RoundSettings, run};
