//! `fulmarpath-bench`: benchmarks, simulations and fault tests.

mod cmd;
mod faults;
mod fleet;
mod reclaim;
mod sim;
mod slopes;
mod soak;

fn main() {
    cmd::command().run().run();
}
