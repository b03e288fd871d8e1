//! `policy`: the product's decisions against baselines and against knowing all lengths.

use bpaf::Bpaf;
use fulmarpath_policy::{FitRule, Weights};
use fulmarpath_standin::EngineSpec;

use crate::sim::{
    PolicyName, Row, Scenario, Tuning, WorkloadName, WorldSettings, generate, run,
};

/// Compare admission policies in virtual time
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Policy {
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Seeds to run
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// Offered load; 1.0 is where knowing all lengths just ceases to finish all
    #[bpaf(argument("F"), fallback(0.95))]
    load: f64,
    /// association or vilaverde
    #[bpaf(argument("NAME"), fallback(WorkloadName::Association))]
    workload: WorkloadName,
    /// ordinary, rival, engine-lost or shift
    #[bpaf(argument("NAME"), fallback(Scenario::Ordinary))]
    scenario: Scenario,
    /// One policy only
    #[bpaf(argument("NAME"))]
    policy: Option<PolicyName>,
    /// Virtual seconds
    #[bpaf(argument("S"), fallback(120.0))]
    duration_s: f64,
    /// Weight of stall time against the other two measures
    #[bpaf(argument("F"))]
    stall_weight: Option<f32>,
    /// Generations at once under fixed_cap
    #[bpaf(argument("N"))]
    cap: Option<u32>,
    /// Trial: standard deviations kept free
    #[bpaf(argument("F"))]
    z: Option<f32>,
    /// Trial: share of memory under one draw for each generation
    #[bpaf(argument("F"))]
    sampled: Option<f32>,
    /// Trial: oldest first
    fifo: bool,
    /// Trial: pace of prompts, 0 for none
    #[bpaf(argument("F"), fallback(1.0))]
    pace: f32,
    /// Trial: no moves
    no_moves: bool,
    /// Trial: one ask only
    one_ask: bool,
    /// Trial: how far an organisation may run ahead
    #[bpaf(argument("TOKENS"), fallback(8_000.0))]
    lead: f64,
    /// Trial: share of memory for work above an organisation's share
    #[bpaf(argument("F"), fallback(1.0))]
    lend: f32,
    /// Trial: age after which an ask can't be overtaken
    #[bpaf(argument("MS"), fallback(5_000))]
    age_ms: u64,
    /// json or text
    #[bpaf(argument("FORM"), fallback(String::from("text")))]
    format: String,
}

const HOSTS: usize = 8;

impl Policy {
    pub(crate) fn run(&self) {
        let (engines, memory_tokens, rate, cap, stall_weight) = match self.workload {
            WorkloadName::Association => (15, 30_000, 21.5, 16, 2.0),
            WorkloadName::Vilaverde => (12, 10_000, 46.0, 16, 0.5),
        };
        let stall_weight = self.stall_weight.unwrap_or(stall_weight);
        let fit = match (self.z, self.sampled) {
            (Some(z), _) => Some(FitRule::Normal { z, share: 1.0 }),
            (_, Some(share)) => Some(FitRule::Sampled { share }),
            _ => None,
        };
        let tuning = Tuning {
            weights: Weights {
                stall: stall_weight,
                preemptions: 1.0,
                between_tokens: 1.0,
            },
            cap: self.cap.unwrap_or(cap),
            fit,
            fifo: self.fifo,
            pace: self.pace,
            moves: !self.no_moves,
            lead_bound_tokens: self.lead,
            lend_share: self.lend,
            age_bound_ms: self.age_ms,
            two_asks: !self.one_ask,
        };
        let policies = match self.policy {
            Some(policy) => vec![policy],
            None => PolicyName::ALL.to_vec(),
        };
        for policy in policies {
            for seed in self.seed..self.seed + self.seeds {
                let settings = WorldSettings {
                    policy,
                    tuning,
                    hosts: HOSTS,
                    engines,
                    spec: EngineSpec {
                        memory_tokens,
                        ..EngineSpec::default()
                    },
                    duration_s: self.duration_s,
                    scenario: self.scenario,
                };
                let arrivals = generate(
                    self.workload,
                    self.scenario,
                    rate * self.load,
                    self.duration_s,
                    HOSTS,
                    seed,
                );
                self.print(&run(&settings, &arrivals, self.load, seed));
            }
        }
    }

    fn print(&self, row: &Row) {
        if self.format == "json" {
            println!("{}", serde_json::to_string(row).unwrap_or_default());
            return;
        }
        println!(
            "{:<12} seed {:<4} tokens {:>8} done {:>5} refused {:>4} preempt {:>5} moves {:>4} \
             stall_s {:>7.0} p99 {:>6.0} first p50 {:>5.0} p99 {:>6.0} between p99 {:>5.1} p99.9 {:>6.1} \
             worst stall {:>6.0} between {:>5.1}",
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
