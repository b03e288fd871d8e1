//! Measurements of decisions, faults and slopes.
