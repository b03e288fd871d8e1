//! Rounds of requests under random faults, checked against what callers and upstreams observed.

mod callers;
mod fault;
mod round;
mod verdict;

pub(crate) use fault::Fault;
pub(crate) use round::{RoundSettings, run};
pub(crate) use verdict::Verdict;
