//! `fulmarpath-bench`: measurements of decisions, faults and slopes.

mod cmd;
mod faults;
mod reclaim;
mod sim;
mod slopes;
mod soak;

fn main() {
    cmd::command().run().run();
}
