//! `faults`: whole sessions under random faults.

use bpaf::Bpaf;
use fulmarpath::cluster::Safeguard;
use futures::stream::{self, StreamExt};

use crate::faults::{Fault, RoundSettings, Verdict, run};

/// Play whole sessions under random faults and judge them from outside
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Faults {
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Rounds
    #[bpaf(argument("N"), fallback(10))]
    rounds: u64,
    /// Hosts
    #[bpaf(argument("N"), fallback(5))]
    hosts: usize,
    /// Requests a round
    #[bpaf(argument("N"), fallback(40))]
    requests: usize,
    /// Rounds at once
    #[bpaf(argument("N"), fallback(4))]
    at_once: usize,
    /// Take a safeguard away; the run must then find violations
    #[bpaf(long("break"), argument("NAME"))]
    without: Option<Safeguard>,
    /// This fault in each round rather than drawn ones
    #[bpaf(argument("NAME"))]
    fault: Option<Fault>,
}

impl Faults {
    pub(crate) fn run(&self) {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let total = runtime.block_on(self.play());
        println!("{}", serde_json::to_string(&total).unwrap_or_default());
        let found = total.violations() > 0;
        if found != self.without.is_some() {
            std::process::exit(1);
        }
    }

    async fn play(&self) -> Verdict {
        let rounds = self.seed..self.seed + self.rounds;
        let mut verdicts = stream::iter(rounds)
            .map(|seed| async move {
                let settings = RoundSettings {
                    seed,
                    hosts: self.hosts,
                    requests: self.requests,
                    without: self.without,
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
                failed => println!("seed {seed} did not play: {failed:?}"),
            }
        }
        total
    }
}
