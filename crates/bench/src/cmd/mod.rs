//! The subcommands, one module each.

mod cell;
mod decide;
mod faults;
mod fleet;
mod policy;
mod relay;
mod slopes;
mod soak;
mod spread;

use bpaf::Bpaf;

/// Benchmarks, simulations and fault tests of fulmarpath
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(command))]
pub(crate) enum Command {
    Cell(#[bpaf(external(cell::cell))] cell::Cell),
    Decide(#[bpaf(external(decide::decide))] decide::Decide),
    Relay(#[bpaf(external(relay::relay))] relay::Relay),
    Slopes(#[bpaf(external(slopes::slopes))] slopes::Slopes),
    Spread(#[bpaf(external(spread::spread))] spread::Spread),
    Faults(#[bpaf(external(faults::faults))] faults::Faults),
    Fleet(#[bpaf(external(fleet::fleet))] fleet::Fleet),
    Policy(#[bpaf(external(policy::policy))] policy::Policy),
    Soak(#[bpaf(external(soak::soak))] soak::Soak),
}

impl Command {
    /// Runs the subcommand, which prints its results.
    pub(crate) fn run(&self) {
        match self {
            Self::Cell(one) => one.run(),
            Self::Decide(one) => one.run(),
            Self::Relay(one) => one.run(),
            Self::Slopes(one) => one.run(),
            Self::Spread(one) => one.run(),
            Self::Faults(one) => one.run(),
            Self::Fleet(one) => one.run(),
            Self::Policy(one) => one.run(),
            Self::Soak(one) => one.run(),
        }
    }
}
