//! `faults`: complete request lifecycles under random faults.

use bpaf::Bpaf;
use fulmarpath::cluster::Safeguard;
use futures::stream::{self, StreamExt};

use crate::faults::{Fault, RoundSettings, Verdict, run};

/// Inject random faults into a deployment in one process and check what callers receive
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Faults {
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of rounds
    #[bpaf(argument("N"), fallback(10))]
    rounds: u64,
    /// Number of hosts
    #[bpaf(argument("N"), fallback(5))]
    hosts: usize,
    /// Requests per round
    #[bpaf(argument("N"), fallback(40))]
    requests: usize,
    /// Number of rounds run concurrently
    #[bpaf(argument("N"), fallback(4))]
    at_once: usize,
    /// Disable a safeguard; the run must then report violations
    #[bpaf(long("break"), argument("NAME"))]
    without: Option<Safeguard>,
    /// Inject this fault in each round instead of random ones
    #[bpaf(argument("NAME"))]
    fault: Option<Fault>,
}

impl Faults {
    pub(crate) fn run(&self) {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let total = runtime.block_on(self.run_rounds());
        println!("{}", serde_json::to_string(&total).unwrap_or_default());
        let has_violations = total.violations() > 0;
        if has_violations != self.without.is_some() {
            std::process::exit(1);
        }
    }

    async fn run_rounds(&self) -> Verdict {
        let rounds = self.seed..self.seed + self.rounds;
        let mut verdicts = stream::iter(rounds)
            .map(|seed| async move {
                let settings = RoundSettings {
                    seed,
                    hosts: self.hosts,
                    requests: self.requests,
                    disabled_safeguard: self.without,
                    fault: self.fault,
                };
                (seed, tokio::spawn(run(settings)).await)
            })
            .buffer_unordered(self.at_once);
        let mut total = Verdict::default();
        while let Some((seed, verdict)) = verdicts.next().await {
            match verdict {
                Ok(Ok(verdict)) => {
                    if verdict.violations() > 0 {
                        let line = serde_json::to_string(&verdict).unwrap_or_default();
                        println!("seed {seed}: {line}");
                    }
                    total.add(&verdict);
                }
                failed => println!("seed {seed} could not be run: {failed:?}"),
            }
        }
        total
    }
}
