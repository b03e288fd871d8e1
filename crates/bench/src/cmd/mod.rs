//! The measurements, one file each.

mod faults;
mod policy;

use bpaf::Bpaf;

/// Measurements of fulmarpath
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(command))]
pub(crate) enum Command {
    Faults(#[bpaf(external(faults::faults))] faults::Faults),
    Policy(#[bpaf(external(policy::policy))] policy::Policy),
}

impl Command {
    /// Measures and prints.
    pub(crate) fn run(&self) {
        match self {
            Self::Faults(one) => one.run(),
            Self::Policy(one) => one.run(),
        }
    }
}
