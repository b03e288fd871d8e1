//! Placement of generations on a cell's engines, queueing, and migration off leaving engines.

mod answer_lengths;
mod early_refusal;
mod engines;
mod evacuated_and_cold;
mod failing_engines;
mod fair_shares;
mod fixtures;
mod memory;
mod migrated_memory;
mod migration;
mod pace;
mod pauses;
mod placement;
mod prefill_rate;
mod protection;
mod queueing;
mod rebalancing;
mod urgent_requests;
