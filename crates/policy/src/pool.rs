//! Decides which other cell of its service the home of a cell asks to take a request, and when.
//!
//! A home knows only its own cell. It learns about another one from the answers to the requests
//! that it tries to hand on. Asking every cell would cost messages in proportion to the square of
//! the number of cells, so it asks the cheapest of those that answered recently, or one drawn at
//! random if there is none (power of two choices: Mitzenmacher, "The Power of Two Choices in
//! Randomized Load Balancing", IEEE TPDS 2001). What it learned is soft state; a new home begins
//! without any.

use std::collections::BTreeMap;

use crate::key::Millis;

/// How long a cost difference is used. Each answer changes the cost at the cell that gave it, and
/// generations start and end there some tens of times a second.
const DIFFERENCE_TTL_MS: Millis = 400;
/// How long a cell that declined for lack of room is not asked. Tens of generations end there in a
/// second, so it may have room again after this time.
const DECLINE_TTL_MS: Millis = 100;
/// How long a cell whose home did not answer is not asked. A host that has died is no home any more
/// after about this time.
const SILENCE_TTL_MS: Millis = 1_000;
/// Minimum time between two draws of a cell to learn its cost while the own one has room.
const PROBE_INTERVAL_MS: Millis = 100;
/// What it is worth to avoid the call to another home, and traffic to engines of another cell.
const HOP_COST_MS: f32 = 50.0;
/// Cost of a lightly loaded engine. Below it, another cell saves at most as much as a hop costs
/// twice, which no caller notices.
const LIGHT_COST_MS: f32 = 100.0;
/// Cost of a cell without room, for differences: about that of an engine just before it is full.
const FULL_COST_MS: f32 = 500.0;
/// Maximum number of cells that are asked for one call of a relaying host, which waits for it.
const MAX_ASKED: usize = 2;
/// If this many cells were of no help within [`DECLINE_TTL_MS`], no further one is drawn. This
/// bounds the messages of a home while the whole service is full, whatever the number of its cells.
const MAX_FAILED_DRAWS: usize = 8;
/// Maximum number of cells that are remembered. More than twice as many as can be asked in vain
/// within [`SILENCE_TTL_MS`].
const MAX_KNOWN: usize = 192;

/// The other cells of a service that have engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OtherCells<C> {
    /// Cells of the same data centre.
    pub near: Vec<C>,
    /// Cells of other data centres.
    pub far: Vec<C>,
}

/// The next cell to ask for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask<C> {
    /// The cell.
    pub cell: C,
    /// It takes the request only if that costs less there; `None` for any cost.
    pub max_cost_ms: Option<f32>,
}

/// What a request to the home of another cell resulted in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PoolAnswer {
    /// It took the request.
    Placed {
        /// Cost of the request there.
        cost_ms: f32,
    },
    /// It did not take the request.
    Declined {
        /// Cost of the request there, if there is room.
        cost_ms: Option<f32>,
    },
    /// The host that was asked is not the home of the cell.
    NotHome,
    /// No answer arrived in time.
    Silent,
}

/// What is known of another cell.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    updated_ms: Millis,
    /// Its cost minus the own cost for the same request, and when it was learned.
    difference: Option<(f32, Millis)>,
    /// When it last declined for lack of room.
    declined_ms: Option<Millis>,
    /// When its home last did not answer.
    silent_ms: Option<Millis>,
}

impl Known {
    fn may_be_asked(&self, now_ms: Millis) -> bool {
        !is_within(now_ms, self.declined_ms, DECLINE_TTL_MS)
            && !is_within(now_ms, self.silent_ms, SILENCE_TTL_MS)
    }

    fn has_just_failed(&self, now_ms: Millis) -> bool {
        is_within(now_ms, self.declined_ms, DECLINE_TTL_MS)
            || is_within(now_ms, self.silent_ms, DECLINE_TTL_MS)
    }

    fn difference_ms(&self, now_ms: Millis) -> Option<f32> {
        let (difference_ms, learned_ms) = self.difference?;
        let is_recent = is_within(now_ms, Some(learned_ms), DIFFERENCE_TTL_MS);
        is_recent.then_some(difference_ms)
    }
}

fn is_below(cost_ms: f32, max_cost_ms: Option<f32>) -> bool {
    max_cost_ms.is_none_or(|max_cost_ms| cost_ms < max_cost_ms)
}

fn is_within(now_ms: Millis, at_ms: Option<Millis>, period_ms: Millis) -> bool {
    at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < period_ms)
}

/// What the home of one cell knows of the other cells of its service; `C` is the key of a cell.
#[derive(Debug)]
pub struct Pool<C> {
    known: BTreeMap<C, Known>,
    /// When a cell was last drawn to learn its cost.
    probed_ms: Option<Millis>,
}

impl<C> Default for Pool<C> {
    fn default() -> Self {
        Self {
            known: BTreeMap::new(),
            probed_ms: None,
        }
    }
}

impl<C: Copy + Ord> Pool<C> {
    /// The cost in ms below which a request is placed in the own cell at once; `None` if that holds
    /// at any cost. No other cell is asked then.
    pub fn undisputed_cost_ms(&self, now_ms: Millis) -> Option<f32> {
        let cheapest = self.cheapest(now_ms, &[]);
        if cheapest.is_some_and(|(_, difference_ms)| difference_ms < -HOP_COST_MS) {
            return Some(HOP_COST_MS);
        }
        self.is_probe_due(now_ms).then_some(LIGHT_COST_MS)
    }

    /// The cell to ask next for a request that costs `own_cost_ms` in the own cell, or has no room
    /// there if that is `None`. `draw` is random, `asked` are the cells that were asked for the same
    /// call of a relaying host.
    pub fn candidate(
        &mut self,
        now_ms: Millis,
        own_cost_ms: Option<f32>,
        others: &OtherCells<C>,
        draw: u64,
        asked: &[C],
    ) -> Option<Ask<C>> {
        if asked.len() >= MAX_ASKED {
            return None;
        }
        let max_cost_ms = own_cost_ms.map(|own_cost_ms| own_cost_ms - HOP_COST_MS);
        if max_cost_ms.is_some_and(|max_cost_ms| max_cost_ms <= 0.0) {
            return None;
        }
        let own_cost_ms = own_cost_ms.unwrap_or(FULL_COST_MS);
        let best = self.cheapest(now_ms, asked);
        let best = best.map(|(cell, difference_ms)| (cell, own_cost_ms + difference_ms));
        let best = best.filter(|(_, cost_ms)| is_below(*cost_ms, max_cost_ms));
        let Some((best, best_cost_ms)) = best else {
            // A cell with room asks only from time to time if it knows none that is cheaper.
            let may_draw = max_cost_ms.is_none()
                || asked.is_empty() && own_cost_ms >= LIGHT_COST_MS && self.begin_probe(now_ms);
            let drawn = may_draw.then(|| self.draw(now_ms, others, draw, asked));
            let cell = drawn.flatten()?;
            return Some(Ask { cell, max_cost_ms });
        };
        // The cheapest known one is asked second if another one may well be cheaper.
        let is_drawn_first =
            asked.is_empty() && (best_cost_ms >= LIGHT_COST_MS || self.begin_probe(now_ms));
        let drawn = is_drawn_first.then(|| self.draw(now_ms, others, draw, &[best]));
        Some(match drawn.flatten() {
            Some(cell) => Ask {
                cell,
                max_cost_ms: Some(best_cost_ms),
            },
            None => Ask {
                cell: best,
                max_cost_ms,
            },
        })
    }

    /// Records the answer of a cell to a request that costs `own_cost_ms` in the own one; `None` if
    /// there is no room.
    pub fn record(
        &mut self,
        now_ms: Millis,
        cell: C,
        own_cost_ms: Option<f32>,
        answer: PoolAnswer,
    ) {
        let known = self.known.entry(cell).or_default();
        known.updated_ms = now_ms;
        match answer {
            PoolAnswer::Placed { cost_ms }
            | PoolAnswer::Declined {
                cost_ms: Some(cost_ms),
            } => {
                let difference_ms = cost_ms - own_cost_ms.unwrap_or(FULL_COST_MS);
                *known = Known {
                    updated_ms: now_ms,
                    difference: Some((difference_ms, now_ms)),
                    ..Known::default()
                };
            }
            PoolAnswer::Declined { cost_ms: None } | PoolAnswer::NotHome => {
                known.difference = None;
                known.declined_ms = Some(now_ms);
            }
            PoolAnswer::Silent => {
                known.difference = None;
                known.silent_ms = Some(now_ms);
            }
        }
        self.truncate();
    }

    /// Whether the home of a cell is known not to answer.
    pub fn is_silent(&self, now_ms: Millis, cell: C) -> bool {
        let known = self.known.get(&cell);
        known.is_some_and(|known| is_within(now_ms, known.silent_ms, SILENCE_TTL_MS))
    }

    /// Number of cells that are remembered.
    pub fn known_count(&self) -> usize {
        self.known.len()
    }

    fn cheapest(&self, now_ms: Millis, asked: &[C]) -> Option<(C, f32)> {
        let askable = self
            .known
            .iter()
            .filter(|(cell, known)| known.may_be_asked(now_ms) && !asked.contains(cell));
        let differences =
            askable.filter_map(|(cell, known)| Some((*cell, known.difference_ms(now_ms)?)));
        differences.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn is_probe_due(&self, now_ms: Millis) -> bool {
        !is_within(now_ms, self.probed_ms, PROBE_INTERVAL_MS)
    }

    fn begin_probe(&mut self, now_ms: Millis) -> bool {
        let is_due = self.is_probe_due(now_ms);
        if is_due {
            self.probed_ms = Some(now_ms);
        }
        is_due
    }

    /// Draws a cell, half of the time from the own data centre.
    fn draw(&self, now_ms: Millis, others: &OtherCells<C>, draw: u64, asked: &[C]) -> Option<C> {
        let failed = self.known.values();
        let failed = failed.filter(|known| known.has_just_failed(now_ms));
        if failed.count() >= MAX_FAILED_DRAWS {
            return None;
        }
        let (first, second) = match draw % 2 {
            0 => (&others.near, &others.far),
            _ => (&others.far, &others.near),
        };
        let from = |cells| self.draw_from(now_ms, cells, draw / 2, asked);
        from(first).or_else(|| from(second))
    }

    fn draw_from(&self, now_ms: Millis, cells: &[C], draw: u64, asked: &[C]) -> Option<C> {
        let start = (draw % cells.len().max(1) as u64) as usize;
        let (before, after) = cells.split_at(start);
        let mut in_turn = after.iter().chain(before).copied();
        in_turn.find(|cell| {
            let known = self.known.get(cell);
            known.is_none_or(|known| known.may_be_asked(now_ms)) && !asked.contains(cell)
        })
    }

    /// Forgets the cell that has not answered for longest if there are too many.
    fn truncate(&mut self) {
        if self.known.len() <= MAX_KNOWN {
            return;
        }
        let oldest = self.known.iter().min_by_key(|(_, known)| known.updated_ms);
        if let Some(oldest) = oldest.map(|(cell, _)| *cell) {
            self.known.remove(&oldest);
        }
    }
}
