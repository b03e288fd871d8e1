//! `fulmarpath-bench`: measurements of decisions, faults and slopes.

fn main() {}
