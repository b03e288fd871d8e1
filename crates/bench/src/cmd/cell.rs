//! `cell`: simulates a cell of engines that are reclaimed at short notice, under several placement
//! policies.

use bpaf::Bpaf;

use crate::reclaim::{
    Counts, Figures, Flood, Mix, PlaceFigures, PolicyName, Row, Scenario, ScenarioName, Settings,
    run,
};

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
    /// Load: reclaims, uneven-engines (engines of different speed on shared machines) or
    /// uneven-demand (several cells with demand at different times, and surges)
    #[bpaf(argument("NAME"), fallback(ScenarioName(Scenario::DEFAULT)))]
    scenario: ScenarioName,
    /// Approximate ratio of requested memory to the memory of the available engines (reclaims,
    /// 0.75), or multiple of the scenario's request rates (the others, 1.0)
    #[bpaf(argument("F"))]
    load: Option<f64>,
    /// Run one policy only: oracle, stay, move, copy_all, copy_largest, unfair, one_cell,
    /// stop_at_event or kept
    #[bpaf(argument("NAME"))]
    policy: Option<PolicyName>,
    /// Number of engines, 48 unless the scenario has another
    #[bpaf(argument("N"))]
    engines: Option<usize>,
    /// Duration in virtual seconds
    #[bpaf(argument("S"), fallback(60.0))]
    duration_s: f64,
    /// Seconds between crashes of an engine; 0 for none
    #[bpaf(argument("S"), fallback(0.0))]
    crash_period_s: f64,
    /// Number of organisations, the largest first; their request rates follow Zipf's law. 1
    /// unless the scenario has another number
    #[bpaf(argument("N"))]
    organisations: Option<usize>,
    /// Index of an organisation that floods for half of the run
    #[bpaf(argument("N"))]
    flooder: Option<usize>,
    /// Request rate of the flood as a multiple of the usual rate
    #[bpaf(argument("F"), fallback(10.0))]
    flood_times: f64,
    /// Long responses per second and engine at load 1.0
    #[bpaf(argument("F"))]
    long_rate: Option<f64>,
    /// Short responses per second and engine at load 1.0
    #[bpaf(argument("F"))]
    short_rate: Option<f64>,
    /// Output format: json or text
    #[bpaf(argument("FORM"), fallback(String::from("text")))]
    format: String,
}

impl Cell {
    pub(crate) fn run(&self) {
        let ScenarioName(scenario) = self.scenario;
        let policies = match &self.policy {
            Some(policy) => std::slice::from_ref(policy),
            None => scenario.policies,
        };
        for policy in policies {
            for seed in self.seed..self.seed + self.seeds {
                self.print(&run(self.settings(scenario, *policy, seed)));
            }
        }
    }

    fn settings(&self, scenario: &'static Scenario, policy: PolicyName, seed: u64) -> Settings {
        let mix = Mix::of(scenario);
        let organisations = self.organisations.unwrap_or(scenario.organisations).max(1);
        Settings {
            scenario,
            policy,
            engines: self.engines.unwrap_or(scenario.engines),
            load: self.load.unwrap_or(scenario.load),
            duration_s: self.duration_s,
            seed,
            crash_period_s: self.crash_period_s,
            organisations,
            flood: self.flood(organisations),
            mix: Mix {
                long_rate: self.long_rate.unwrap_or(mix.long_rate),
                short_rate: self.short_rate.unwrap_or(mix.short_rate),
            },
        }
    }

    fn flood(&self, organisations: usize) -> Option<Flood> {
        let organisation = self.flooder?;
        let exists = organisation < organisations;
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
        if self.scenario.0.is_uneven() {
            print_figures(row);
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

/// Prints the figures about uneven capacity, one line for each kind and class of engines.
fn print_figures(row: &Row) {
    let Figures {
        all, long, short, ..
    } = &row.figures;
    println!(
        "{:<12} seed {:<4} benefit {:.3} | on time: all {:.3} worst kind {:.3} worst tenth of \
         organisations {:.3} | preemptions {} moves {} pause of a move ms p50 {:.0} p90 {:.0} p99 {:.0}",
        row.policy,
        row.seed,
        row.figures.benefit_share,
        all.on_time as f64 / all.asked.max(1) as f64,
        row.figures.worst_kind_on_time_share,
        row.figures.worst_organisations_on_time_share,
        row.preemptions,
        row.moves,
        row.pause_ms_p50,
        row.pause_ms_p90,
        row.pause_ms_p99,
    );
    print_counts("long", long);
    print_counts("short", short);
    if row.figures.fast_engines.answers == 0 {
        return;
    }
    print_place("long, fast engine", &row.figures.fast_engines);
    print_place("long, slow engine", &row.figures.slow_engines);
    print_place("long, several engines", &row.figures.migrated);
}

fn print_counts(name: &str, counts: &Counts) {
    println!(
        "    {name:<22} asked {:>5} on time {:>5} late by pause {:>4} late by first event {:>4} \
         refused {:>4} refused twice {:>4} lost {:>3}",
        counts.asked,
        counts.on_time,
        counts.late_by_pause,
        counts.late_by_first_event,
        counts.refused,
        counts.refused_twice,
        counts.lost,
    );
}

fn print_place(name: &str, place: &PlaceFigures) {
    println!(
        "    {name:<22} answers {:>5} with a pause over the bound {:>4} token ms {:>5.2}",
        place.answers, place.with_long_pause, place.token_ms,
    );
}
