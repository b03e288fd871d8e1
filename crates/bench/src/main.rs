//! `fulmarpath-bench`: measurements of decisions, faults and slopes.

mod cmd;
mod sim;

fn main() {
    cmd::command().run().run();
}
