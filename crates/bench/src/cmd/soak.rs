//! `soak`: real hosts as processes under faults from outside.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use futures::stream::{self, StreamExt};

use crate::soak::{Kinds, SoakSettings, Spoil, beside_this, play};

/// Play seeds of faults against real hosts and check what callers and upstreams see
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Soak {
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Seeds
    #[bpaf(argument("N"), fallback(4))]
    seeds: u64,
    /// No seed begins after so many minutes
    #[bpaf(argument("M"), fallback(600))]
    minutes: u64,
    /// Hosts
    #[bpaf(argument("N"), fallback(5))]
    hosts: usize,
    /// Callers at once
    #[bpaf(argument("N"), fallback(12))]
    callers: usize,
    /// Faults a seed
    #[bpaf(argument("N"), fallback(5))]
    faults: usize,
    /// Draw from the faults that came after the first seeds as well: engines that start again under
    /// their names, entries of other writers
    #[bpaf(long)]
    all_kinds: bool,
    /// Draw from those and from data centres that are emptied and upstreams that come back cold
    #[bpaf(long)]
    latest_kinds: bool,
    /// Draw from those and from upstreams that ask for less in their answers
    #[bpaf(long)]
    backpressure: bool,
    /// Draw from those and from a store that comes back from a copy
    #[bpaf(long)]
    copies: bool,
    /// One caller repeats a request that ends the plain upstream that begins to run it
    #[bpaf(long)]
    ending: bool,
    /// Seeds at once
    #[bpaf(argument("N"), fallback(3))]
    at_once: usize,
    /// Spoil `event`, `id`, `status` or `end` of an answer; the run must then find it
    #[bpaf(argument("NAME"))]
    spoil: Option<Spoil>,
    /// The hosts' program; by default the one beside this
    #[bpaf(argument("FILE"), fallback(beside_this()))]
    binary: PathBuf,
}

impl Soak {
    pub(crate) fn run(&self) {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        if !runtime.block_on(self.play()) {
            std::process::exit(1);
        }
    }

    fn kinds(&self) -> Kinds {
        let flags = [
            (self.copies, Kinds::WithCopies),
            (self.backpressure, Kinds::WithBackpressure),
            (self.latest_kinds, Kinds::WithEvacuations),
            (self.all_kinds, Kinds::WithBirths),
        ];
        let mut set = flags.into_iter().filter(|(is_set, _)| *is_set);
        set.next().map_or(Kinds::First, |(_, kinds)| kinds)
    }

    async fn play(&self) -> bool {
        let started = Instant::now();
        let bound = Duration::from_secs(self.minutes * 60);
        let mut played = stream::iter(self.seed..self.seed + self.seeds)
            .take_while(|_| std::future::ready(started.elapsed() < bound))
            .map(|seed| {
                let settings = SoakSettings {
                    seed,
                    hosts: self.hosts,
                    callers: self.callers,
                    faults: self.faults,
                    kinds: self.kinds(),
                    has_ending: self.ending,
                    binary: self.binary.clone(),
                    spoil: self.spoil,
                };
                Box::pin(async move { (seed, tokio::spawn(play(settings)).await) })
            })
            .buffer_unordered(self.at_once);
        let mut is_fine = true;
        while let Some((seed, verdict)) = played.next().await {
            match verdict {
                Ok(Ok(verdict)) => {
                    is_fine &= verdict.violations() == 0;
                    println!("{}", serde_json::to_string(&verdict).unwrap_or_default());
                }
                failed => {
                    is_fine = false;
                    println!("seed {seed} did not play: {failed:?}");
                }
            }
        }
        is_fine
    }
}
