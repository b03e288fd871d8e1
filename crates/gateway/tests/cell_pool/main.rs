//! What the home of a cell does with the answers of other homes, without a network.

mod fakes;
mod migrations;
mod requests;
