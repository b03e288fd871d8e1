//! `policy`: simulates the admission policy against baselines and an oracle that knows all output
//! lengths.

use bpaf::Bpaf;
use fulmarpath_policy::{FitRule, Weights};
use fulmarpath_standin::EngineSpec;

use crate::sim::{
    Measures, ORGANISATIONS, PolicyName, RIVAL, Row, Scenario, Tuning, WorkloadName, WorldSettings,
    generate, run,
};

/// Compare admission policies in virtual time
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Policy {
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of seeds
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// Offered load; 1.0 is the rate from which the oracle cannot complete all requests
    #[bpaf(argument("F"), fallback(0.95))]
    load: f64,
    /// Workload: association or vilaverde
    #[bpaf(argument("NAME"), fallback(WorkloadName::Association))]
    workload: WorkloadName,
    /// Scenario: ordinary, rival, engine-lost or shift
    #[bpaf(argument("NAME"), fallback(Scenario::Ordinary))]
    scenario: Scenario,
    /// Run one policy only: round_robin, least_load, fixed_cap, fulmarpath or oracle
    #[bpaf(argument("NAME"))]
    policy: Option<PolicyName>,
    /// Duration in virtual seconds
    #[bpaf(argument("S"), fallback(120.0))]
    duration_s: f64,
    /// Weight of stall time relative to preemptions and time between tokens
    #[bpaf(argument("F"))]
    stall_weight: Option<f32>,
    /// Concurrent generations per engine under fixed_cap
    #[bpaf(argument("N"))]
    cap: Option<u32>,
    /// Trial: standard deviations of predicted memory kept in reserve
    #[bpaf(long("caution"), argument("F"))]
    z: Option<f32>,
    /// Trial: share of memory that one sampled length per generation may fill
    #[bpaf(argument("F"))]
    sampled: Option<f32>,
    /// Trial: admit in order of arrival
    fifo: bool,
    /// Trial: factor on the prefill time by which grants are paced; 0 for no pacing
    #[bpaf(argument("F"))]
    pace: Option<f32>,
    /// Trial: never move a generation to another engine
    no_moves: bool,
    /// Trial: send each permit request to one home only
    one_ask: bool,
    /// Trial: tokens per weight by which an organisation may be ahead of a waiting one
    #[bpaf(argument("TOKENS"))]
    lead: Option<f64>,
    /// Trial: share of memory up to which requests beyond an organisation's share may start
    #[bpaf(argument("F"), fallback(1.0))]
    lend: f32,
    /// Trial: waiting time after which a request's footprint counts half in the queue
    #[bpaf(argument("MS"))]
    age_ms: Option<u64>,
    /// Trial: refuse a request at once if its predicted wait exceeds this multiple of its maximum
    /// wait; 0 for never
    #[bpaf(argument("F"))]
    early: Option<f32>,
    /// Trial: time after which the permit request is hedged to the second home
    #[bpaf(argument("MS"), fallback(10))]
    hedge_ms: u64,
    /// Trial: interval between progress reports
    #[bpaf(argument("MS"), fallback(500))]
    progress_ms: u64,
    /// Simulate a split view: half of the hosts use a different home for each engine
    split: bool,
    /// Output format: json or text
    #[bpaf(argument("FORM"), fallback(String::from("text")))]
    format: String,
}

const HOSTS: usize = 8;

/// The deployment that serves a workload.
struct DeploymentSize {
    engines: usize,
    memory_tokens: u32,
    /// Requests per second from which the oracle cannot complete all of them.
    rate: f64,
    cap: u32,
    stall_weight: f32,
}

const ASSOCIATION: DeploymentSize = DeploymentSize {
    engines: 15,
    memory_tokens: 30_000,
    rate: 21.5,
    cap: 16,
    stall_weight: 2.0,
};

const VILAVERDE: DeploymentSize = DeploymentSize {
    engines: 12,
    memory_tokens: 10_000,
    rate: 46.0,
    cap: 16,
    stall_weight: 0.5,
};

impl Policy {
    pub(crate) fn run(&self) {
        let policies = match self.policy {
            Some(policy) => vec![policy],
            None => PolicyName::ALL.to_vec(),
        };
        for policy in policies {
            for seed in self.seed..self.seed + self.seeds {
                let row = self.row(policy, self.scenario, seed);
                self.print(&row);
                if self.scenario == Scenario::Rival {
                    let baseline = self.row(policy, Scenario::Ordinary, seed);
                    print_change(policy, seed, &baseline, &row);
                }
            }
        }
    }

    fn row(&self, policy: PolicyName, scenario: Scenario, seed: u64) -> Row {
        let deployment = match self.workload {
            WorkloadName::Association => ASSOCIATION,
            WorkloadName::Vilaverde => VILAVERDE,
        };
        let settings = WorldSettings {
            policy,
            tuning: self.tuning(&deployment),
            hosts: HOSTS,
            engines: deployment.engines,
            spec: EngineSpec {
                memory_tokens: deployment.memory_tokens,
                ..EngineSpec::default()
            },
            duration_s: self.duration_s,
            scenario,
            split_view: self.split,
        };
        let rate = deployment.rate * self.load;
        let arrivals = generate(self.workload, scenario, rate, self.duration_s, HOSTS, seed);
        run(&settings, &arrivals, self.load, seed)
    }

    fn tuning(&self, deployment: &DeploymentSize) -> Tuning {
        let fit = match (self.z, self.sampled) {
            (Some(z), _) => Some(FitRule::Normal { z, share: 1.0 }),
            (_, Some(share)) => Some(FitRule::Sampled { share }),
            _ => None,
        };
        Tuning {
            weights: Weights {
                stall: self.stall_weight.unwrap_or(deployment.stall_weight),
                preemptions: 1.0,
                between_tokens: 1.0,
            },
            cap: self.cap.unwrap_or(deployment.cap),
            fit,
            fifo: self.fifo,
            prefill_pace: self.pace,
            no_moves: self.no_moves,
            lead_bound_tokens: self.lead,
            lend_share: self.lend,
            half_age_ms: self.age_ms,
            single_request: self.one_ask,
            early_refusal_factor: self.early,
            hedge_ms: self.hedge_ms,
            progress_ms: self.progress_ms,
        }
    }

    fn print(&self, row: &Row) {
        if self.format == "json" {
            println!("{}", serde_json::to_string(row).unwrap_or_default());
            return;
        }
        println!(
            "{:<12} seed {:<4} tokens done {:>8} done {:>5} refused {:>4} preemptions {:>5} \
             moves {:>4} stall s total {:>7.0} stall ms p99 {:>6.0} first token ms p50 {:>5.0} \
             p99 {:>6.0} between tokens ms p99 {:>5.1} p99.9 {:>6.1} | worst organisation: \
             stall ms mean {:>6.0} between tokens ms p99 {:>5.1}",
            row.policy,
            row.seed,
            row.tokens_done,
            row.done,
            row.refused,
            row.preemptions,
            row.moves,
            row.stall_ms_total / 1_000.0,
            row.stall_ms_p99,
            row.first_token_ms_p50,
            row.first_token_ms_p99,
            row.between_tokens_ms_p99,
            row.between_tokens_ms_p999,
            row.worst_stall_ms_mean,
            row.worst_between_tokens_ms_p99,
        );
    }
}

/// Prints how the surge of the rival organisation changed the means of all others.
fn print_change(policy: PolicyName, seed: u64, baseline: &Row, surge: &Row) {
    let others = |row: &Row, measure: fn(&Measures) -> f64| {
        let others = row.organisations.iter().enumerate();
        let others = others.filter(|(index, _)| *index != RIVAL);
        others.map(|(_, one)| measure(one)).sum::<f64>() / (ORGANISATIONS - 1) as f64
    };
    println!(
        "{:<12} seed {seed} mean of the other organisations, ordinary -> rival: stall ms mean \
         {:.1} -> {:.1}, preemptions per 1,000 requests {:.2} -> {:.2}, between tokens ms p99 \
         {:.1} -> {:.1}",
        policy.name(),
        others(baseline, |one| one.stall_ms_mean),
        others(surge, |one| one.stall_ms_mean),
        others(baseline, |one| one.preemptions_per_1000),
        others(surge, |one| one.preemptions_per_1000),
        others(baseline, |one| one.between_tokens_ms_p99),
        others(surge, |one| one.between_tokens_ms_p99),
    );
}
