//! The machine of an engine: its speed, and the phases in which other work shares it.

use std::ops::Range;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Phases in which the machine of an engine is shared with other work.
#[derive(Debug)]
pub(super) struct SharedMachines {
    /// Share of the time that is in such phases.
    pub(super) share: f64,
    /// Duration of a step in such a phase, relative to other times.
    pub(super) slowdown: f64,
    pub(super) phase_us: Range<u64>,
}

#[derive(Debug)]
pub(super) struct Machine {
    /// Duration of a step relative to the usual one.
    pub(super) step_factor: f64,
    phases: Option<Phases>,
}

/// The current or next phase of a machine.
#[derive(Debug)]
struct Phases {
    shared: &'static SharedMachines,
    rng: ChaCha8Rng,
    phase_us: Range<u64>,
}

impl Machine {
    /// A machine whose phases depend on the seed only.
    pub(super) fn new(
        now_us: u64,
        step_factor: f64,
        shared: Option<&'static SharedMachines>,
        seed: u64,
    ) -> Self {
        let phases = shared.map(|shared| Phases {
            shared,
            rng: ChaCha8Rng::seed_from_u64(seed),
            phase_us: now_us..now_us,
        });
        Self {
            step_factor,
            phases,
        }
    }

    /// Duration of a step that begins now, relative to the usual one. Times must not go back.
    pub(super) fn step_factor_at(&mut self, now_us: u64) -> f64 {
        let Some(phases) = &mut self.phases else {
            return self.step_factor;
        };
        match phases.is_shared_at(now_us) {
            true => self.step_factor * phases.shared.slowdown,
            false => self.step_factor,
        }
    }
}

impl Phases {
    fn is_shared_at(&mut self, now_us: u64) -> bool {
        while self.phase_us.end <= now_us {
            let quiet_us = self.draw_quiet_us();
            let start_us = self.phase_us.end + quiet_us;
            let duration_us = self.rng.random_range(self.shared.phase_us.clone());
            self.phase_us = start_us..start_us + duration_us;
        }
        self.phase_us.contains(&now_us)
    }

    /// Time until the next phase, exponentially distributed.
    fn draw_quiet_us(&mut self) -> u64 {
        let Range { start, end } = self.shared.phase_us;
        let mean_phase_us = (start + end) as f64 / 2.0;
        let mean_us = mean_phase_us * (1.0 - self.shared.share) / self.shared.share;
        (-(1.0 - self.rng.random::<f64>()).ln() * mean_us) as u64
    }
}
