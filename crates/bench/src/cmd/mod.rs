//! The measurements, one file each.

mod policy;

use bpaf::Bpaf;

/// Measurements of fulmarpath
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(command))]
pub(crate) enum Command {
    Policy(#[bpaf(external(policy::policy))] policy::Policy),
}

impl Command {
    /// Measures and prints.
    pub(crate) fn run(&self) {
        match self {
            Self::Policy(one) => one.run(),
        }
    }
}
