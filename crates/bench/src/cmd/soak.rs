//! `soak`: host processes under injected faults.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use futures::stream::{self, StreamExt};

use crate::soak::{Corruption, CrashingRequest, FaultSet, SoakSettings, default_binary, run_seed};

/// Inject seeded faults into a deployment of host processes and check what callers receive
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Soak {
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of seeds
    #[bpaf(argument("N"), fallback(4))]
    seeds: u64,
    /// Start no further seed after this many minutes
    #[bpaf(argument("M"), fallback(600))]
    minutes: u64,
    /// Number of hosts
    #[bpaf(argument("N"), fallback(5))]
    hosts: usize,
    /// Number of concurrent callers
    #[bpaf(argument("N"), fallback(12))]
    callers: usize,
    /// Faults per seed
    #[bpaf(argument("N"), fallback(5))]
    faults: usize,
    /// Add engine restarts under the same name and unusable directory entries of other writers to
    /// the faults
    #[bpaf(long)]
    all_kinds: bool,
    /// As --all-kinds, and add evacuations of data centres and upstreams that return cold
    #[bpaf(long)]
    latest_kinds: bool,
    /// As --latest-kinds, and add upstreams that signal limits, leaving or backoff in their
    /// responses
    #[bpaf(long)]
    backpressure: bool,
    /// As --backpressure, and add restores of the store from a backup
    #[bpaf(long)]
    copies: bool,
    /// As --copies, with outages of the store in which entries expire in place of most restores
    #[bpaf(long)]
    expiry: bool,
    /// As --expiry, with engines that frame streams in each way, and engines that end in order in
    /// place of most expiries
    #[bpaf(long)]
    framings: bool,
    /// As --framings, with surges of drafts and engines that slow down in place of most engines that
    /// end
    #[bpaf(long)]
    load: bool,
    /// Add a caller that repeats a request which crashes each plain upstream that starts it
    #[bpaf(long)]
    ending: bool,
    /// Add a caller whose prompts share a part that crashes each engine which starts to answer it
    #[bpaf(long)]
    ending_part: bool,
    /// Number of seeds run concurrently
    #[bpaf(argument("N"), fallback(3))]
    at_once: usize,
    /// Corrupt `event`, `id`, `status` or `end` of a recorded response; the run must then report a
    /// violation
    #[bpaf(argument("NAME"))]
    spoil: Option<Corruption>,
    /// Path of the host binary; by default the one next to this executable
    #[bpaf(argument("FILE"), fallback(default_binary()))]
    binary: PathBuf,
}

impl Soak {
    pub(crate) fn run(&self) {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        if !runtime.block_on(self.run_seeds()) {
            std::process::exit(1);
        }
    }

    fn fault_set(&self) -> FaultSet {
        let flags = [
            (self.load, FaultSet::WithLoad),
            (self.framings, FaultSet::WithFramings),
            (self.expiry, FaultSet::WithExpiry),
            (self.copies, FaultSet::WithRestores),
            (self.backpressure, FaultSet::WithBackpressure),
            (self.latest_kinds, FaultSet::WithEvacuations),
            (self.all_kinds, FaultSet::WithRestarts),
        ];
        let mut set = flags.into_iter().filter(|(is_set, _)| *is_set);
        set.next()
            .map_or(FaultSet::Initial, |(_, fault_set)| fault_set)
    }

    fn crashing_request(&self) -> Option<CrashingRequest> {
        match (self.ending, self.ending_part) {
            (_, true) => Some(CrashingRequest::Part),
            (true, false) => Some(CrashingRequest::Body),
            (false, false) => None,
        }
    }

    async fn run_seeds(&self) -> bool {
        let started = Instant::now();
        let time_limit = Duration::from_secs(self.minutes * 60);
        let mut results = stream::iter(self.seed..self.seed + self.seeds)
            .take_while(|_| std::future::ready(started.elapsed() < time_limit))
            .map(|seed| {
                let settings = SoakSettings {
                    seed,
                    hosts: self.hosts,
                    callers: self.callers,
                    faults: self.faults,
                    fault_set: self.fault_set(),
                    crashing_request: self.crashing_request(),
                    binary: self.binary.clone(),
                    corruption: self.spoil,
                };
                Box::pin(async move { (seed, tokio::spawn(run_seed(settings)).await) })
            })
            .buffer_unordered(self.at_once);
        let mut passed = true;
        while let Some((seed, verdict)) = results.next().await {
            match verdict {
                Ok(Ok(verdict)) => {
                    passed &= verdict.violations() == 0;
                    println!("{}", serde_json::to_string(&verdict).unwrap_or_default());
                }
                failed => {
                    passed = false;
                    println!("seed {seed} could not be run: {failed:?}");
                }
            }
        }
        passed
    }
}
