//! `fulmarpath-bench`: measurements of decisions, faults and slopes.

mod cmd;
mod faults;
mod sim;

fn main() {
    cmd::command().run().run();
}
