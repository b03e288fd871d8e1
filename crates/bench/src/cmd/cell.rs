//! `cell`: simulates a cell of engines that are reclaimed at short notice, under several placement
//! policies.

use bpaf::Bpaf;

use crate::reclaim::{Flood, Mix, PolicyName, Row, Settings, run};

/// Compare placement and migration policies on engines that are reclaimed, in virtual time
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Cell {
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of seeds
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// Approximate ratio of requested memory to the memory of the available engines
    #[bpaf(argument("F"), fallback(0.75))]
    load: f64,
    /// Run one policy only: oracle, stay, move, copy_all, copy_largest, unfair or kept
    #[bpaf(argument("NAME"))]
    policy: Option<PolicyName>,
    /// Number of engines
    #[bpaf(argument("N"), fallback(48))]
    engines: usize,
    /// Duration in virtual seconds
    #[bpaf(argument("S"), fallback(60.0))]
    duration_s: f64,
    /// Seconds between crashes of an engine; 0 for none
    #[bpaf(argument("S"), fallback(0.0))]
    crash_period_s: f64,
    /// Number of organisations, the largest first; their request rates follow Zipf's law
    #[bpaf(argument("N"), fallback(1))]
    organisations: usize,
    /// Index of an organisation that floods for half of the run
    #[bpaf(argument("N"))]
    flooder: Option<usize>,
    /// Request rate of the flood as a multiple of the usual rate
    #[bpaf(argument("F"), fallback(10.0))]
    flood_times: f64,
    /// Long responses per second and engine at load 1.0
    #[bpaf(argument("F"), fallback(Mix::default().long_rate))]
    long_rate: f64,
    /// Short responses per second and engine at load 1.0
    #[bpaf(argument("F"), fallback(Mix::default().short_rate))]
    short_rate: f64,
    /// Output format: json or text
    #[bpaf(argument("FORM"), fallback(String::from("text")))]
    format: String,
}

impl Cell {
    pub(crate) fn run(&self) {
        let policies = match self.policy {
            Some(policy) => vec![policy],
            None => PolicyName::ALL.to_vec(),
        };
        for policy in policies {
            for seed in self.seed..self.seed + self.seeds {
                self.print(&run(Settings {
                    policy,
                    engines: self.engines,
                    load: self.load,
                    duration_s: self.duration_s,
                    seed,
                    crash_period_s: self.crash_period_s,
                    organisations: self.organisations.max(1),
                    flood: self.flood(),
                    mix: Mix {
                        long_rate: self.long_rate,
                        short_rate: self.short_rate,
                    },
                }));
            }
        }
    }

    fn flood(&self) -> Option<Flood> {
        let organisation = self.flooder?;
        let exists = organisation < self.organisations;
        exists.then_some(Flood {
            organisation,
            rate_factor: self.flood_times,
        })
    }

    fn print(&self, row: &Row) {
        if self.format == "json" {
            println!("{}", serde_json::to_string(row).unwrap_or_default());
            return;
        }
        println!(
            "{:<12} seed {:<4} whole {:.3} on time {:.3} late {:.3} short on time {:.3} \
             largest on time {:.3} longest on time {:.3} benefit {:.3} refused {:>4} \
             refused for good {:>4} first ms p50 {:>4.0} p99 {:>4.0} \
             short first ms p90 {:>4.0} p99 {:>4.0} token ms {:>5.2} life ms {:>5.0} lost {:>4} \
             preemptions {:>4} moves {:>4} wasted prompt tokens {:>7} pause ms p50 {:>4.0} \
             p99 {:>5.0} | on time: flooder {:.3} others {:.3} worst {:.3} | others refused {:.3}",
            row.policy,
            row.seed,
            row.whole_share,
            row.on_time_share,
            row.late_share,
            row.short_on_time_share,
            row.largest_on_time_share,
            row.longest_on_time_share,
            row.benefit_share,
            row.refused,
            row.refused_for_good,
            row.first_ms_p50,
            row.first_ms_p99,
            row.short_first_ms_p90,
            row.short_first_ms_p99,
            row.token_ms,
            row.life_ms,
            row.lost,
            row.preemptions,
            row.moves,
            row.wasted_prompt_tokens,
            row.pause_ms_p50,
            row.pause_ms_p99,
            row.organisations.flooder_on_time_share,
            row.organisations.others_on_time_share,
            row.organisations.worst_on_time_share,
            row.organisations.others_refused_share,
        );
    }
}
