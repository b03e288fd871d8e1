//! Upstreams that return get work again: after a silence, the end of a limit, of a backoff or of an
//! evacuation, after a restart or a cut. What hosts knew of them before keeps them from being chosen
//! by their cost.

use fulmarpath_policy::{Choice, Draws, UpstreamStats, Verdict, choose};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const UPSTREAMS: usize = 3;
/// Time that a request takes at each upstream.
const SERVICE_MS: u64 = 30;
/// Latency of the returning upstream when hosts last heard of it.
const EARLIER_MS: u64 = 1_200;
/// Time within which a returning upstream gets a tenth of its fair share.
const RETURN_MS: u64 = 2_000;
/// When the upstream returns.
const SINCE_MS: u64 = 10_000;

/// One host's view of the upstreams.
#[derive(Default)]
struct Host {
    stats: [UpstreamStats; UPSTREAMS],
}

impl Host {
    /// Knows the returning upstream, the first, as slow, and the others as fast.
    fn with_history() -> Self {
        let mut host = Self::default();
        for (index, stats) in host.stats.iter_mut().enumerate() {
            let latency_ms = if index == 0 { EARLIER_MS } else { SERVICE_MS };
            stats.record_latency(SINCE_MS - 1_000, latency_ms);
        }
        host
    }

    /// Sends a request; returns the upstream.
    fn send(&mut self, now_ms: u64, latencies_ms: [u64; UPSTREAMS], draws: Draws) -> usize {
        let choices: Vec<Choice<usize>> = (self.stats.iter().enumerate())
            .map(|(key, stats)| Choice {
                key,
                cost: stats.cost(now_ms),
                is_local: true,
                needs_trial: stats.needs_trial(now_ms),
            })
            .collect();
        let chosen = choose(&choices, draws).expect("an upstream");
        let latencies = self.stats.iter().map(UpstreamStats::expected_latency_ms);
        let lowest_ms = latencies.fold(f32::MAX, f32::min);
        let stats = &mut self.stats[chosen];
        if stats.needs_trial(now_ms) {
            stats.begin_trial(now_ms, lowest_ms);
        }
        let request = stats.start(now_ms);
        let ended_ms = now_ms + latencies_ms[chosen];
        stats.record_latency(ended_ms, latencies_ms[chosen]);
        stats.end(ended_ms, request, Verdict::Good);
        chosen
    }
}

struct Load {
    /// Requests per second at all hosts together.
    per_s: u64,
    hosts: usize,
}

/// Requests that the first upstream gets of those sent in `duration_ms`.
fn received(
    hosts: &mut [Host],
    load: &Load,
    duration_ms: u64,
    latencies_ms: [u64; UPSTREAMS],
    seed: u64,
) -> (u64, u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let total = load.per_s * duration_ms / 1_000;
    let mut received = 0;
    for number in 0..total {
        let now_ms = SINCE_MS + number * 1_000 / load.per_s;
        let host = rng.random_range(0..hosts.len());
        let draws = Draws {
            among: rng.random(),
            trial: rng.random(),
        };
        received += u64::from(hosts[host].send(now_ms, latencies_ms, draws) == 0);
    }
    (received, total)
}

/// Guards against an upstream that is well again and stays without work, until load meets it all at
/// once: on the mean of many runs it gets a tenth of its fair share within two seconds, and at a
/// load of 200 requests a second in each run.
#[rstest]
#[case::one_host_1(Load { per_s: 1, hosts: 1 })]
#[case::one_host_10(Load { per_s: 10, hosts: 1 })]
#[case::one_host_200(Load { per_s: 200, hosts: 1 })]
#[case::five_hosts_1(Load { per_s: 1, hosts: 5 })]
#[case::five_hosts_10(Load { per_s: 10, hosts: 5 })]
#[case::five_hosts_200(Load { per_s: 200, hosts: 5 })]
#[case::forty_hosts_1(Load { per_s: 1, hosts: 40 })]
#[case::forty_hosts_10(Load { per_s: 10, hosts: 40 })]
#[case::forty_hosts_200(Load { per_s: 200, hosts: 40 })]
fn a_returning_upstream_gets_a_tenth_of_its_fair_share(#[case] load: Load) {
    const RUNS: u64 = 100;
    let mut sum = 0;
    let mut fair_sum = 0.0;
    for seed in 0..RUNS {
        let mut hosts: Vec<Host> = (0..load.hosts).map(|_| Host::with_history()).collect();
        let (received, total) =
            received(&mut hosts, &load, RETURN_MS, [SERVICE_MS; UPSTREAMS], seed);
        let fair = total as f64 / UPSTREAMS as f64;
        if load.per_s == 200 {
            assert!(
                received as f64 >= fair / 10.0,
                "seed {seed}: {received} of {total}"
            );
        }
        sum += received;
        fair_sum += fair;
    }
    assert!(
        sum as f64 >= fair_sum / 10.0,
        "{sum} of a fair share of {fair_sum}"
    );
}

/// Guards against callers that pay for trials of an upstream which stays slow: after some seconds it
/// gets under a hundredth of the requests of a busy host.
#[test]
fn a_slow_upstream_is_tried_less_and_less() {
    let load = Load {
        per_s: 200,
        hosts: 1,
    };
    let mut hosts = [Host::with_history()];
    let latencies_ms = [8 * SERVICE_MS, SERVICE_MS, SERVICE_MS];
    let (received, total) = received(&mut hosts, &load, 20_000, latencies_ms, 1);
    assert!(received * 100 < total, "{received} of {total}");
}

/// Guards against trials of upstreams that fail what they get.
#[test]
fn a_failing_upstream_is_not_tried() {
    let mut stats = UpstreamStats::default();
    let request = stats.start(1_000);
    stats.end(1_010, request, Verdict::Failed);
    assert!(!stats.needs_trial(1_600));
    let mut unused = UpstreamStats::default();
    assert!(unused.needs_trial(1_600));
    unused.penalise_until(2_000);
    assert!(!unused.needs_trial(1_600));
}
