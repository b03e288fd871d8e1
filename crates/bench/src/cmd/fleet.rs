//! `fleet`: control work of gateways before many upstreams, and how it grows.

use bpaf::Bpaf;

use crate::fleet::{Event, Format, Plan, print_growth, print_rows, run};

/// Memory that a host needs in this process, and each upstream on each host, in MB.
const HOST_MB: f64 = 4.0;
const UPSTREAM_MB: f64 = 0.002;
/// Share of the machine's memory that the run may use.
const MEMORY_SHARE: f64 = 0.5;
/// Sizes measured with `--growth`, as shares of the given size.
const GROWTH_SHARES: [f64; 3] = [0.1, 0.3, 1.0];

/// Measure the control work of many gateways before a stand-in store
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Fleet {
    /// Number of hosts
    #[bpaf(argument("N"), fallback(100))]
    hosts: usize,
    /// Number of upstreams
    #[bpaf(argument("N"), fallback(1_000))]
    upstreams: usize,
    /// Changes of upstreams per second
    #[bpaf(argument("N"), fallback(10))]
    changes_per_s: usize,
    /// Duration of the measurement in seconds
    #[bpaf(argument("S"), fallback(10))]
    seconds: u64,
    /// Measure a tenth and a third of the size as well, and the powers of growth
    growth: bool,
    /// What happens before the measurement
    #[bpaf(external(event), fallback(Event::None))]
    event: Event,
    /// Format of the rows: table or json
    #[bpaf(argument("FORMAT"), fallback(Format::Table))]
    format: Format,
}

fn event() -> impl bpaf::Parser<Event> {
    let kill_all = bpaf::long("kill-all")
        .help("Stop all hosts at once and start them again")
        .req_flag(Event::KillAll);
    let store_off = bpaf::long("store-off")
        .help("Make the store unavailable for the first half of the measurement")
        .req_flag(Event::StoreOff);
    bpaf::construct!([kill_all, store_off])
}

impl Fleet {
    pub(crate) fn run(&self) {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let needed_mb = self.hosts as f64 * (HOST_MB + self.upstreams as f64 * UPSTREAM_MB);
        let limit_mb = crate::fleet::machine_memory_mb() * MEMORY_SHARE;
        if needed_mb > limit_mb {
            eprintln!(
                "could not run {} hosts before {} upstreams: they need about {needed_mb:.0} MB of the \
                 {limit_mb:.0} MB that this machine allows",
                self.hosts, self.upstreams
            );
            std::process::exit(1);
        }
        let shares = match self.growth {
            true => &GROWTH_SHARES[..],
            false => &[1.0],
        };
        let mut all = Vec::new();
        for share in shares {
            let scaled = |count: usize| ((count as f64 * share).round() as usize).max(1);
            let plan = Plan {
                hosts: scaled(self.hosts),
                upstreams: scaled(self.upstreams),
                changes_per_s: scaled(self.changes_per_s),
                seconds: self.seconds,
                event: self.event,
            };
            let rows = run(plan);
            print_rows(self.format, &rows);
            all.push(rows);
        }
        if self.growth {
            print_growth(self.format, &all);
        }
    }
}
