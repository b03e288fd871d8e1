//! `fulmarpath-bench`: measurements of decisions, faults and slopes.

mod cmd;
mod faults;
mod sim;
mod slopes;

fn main() {
    cmd::command().run().run();
}
