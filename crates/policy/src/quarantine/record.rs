//! What the home of a service knows of upstreams that ended, and how it rules.

use std::collections::HashMap;

use crate::key::{ContentKey, Millis, UpstreamKey};
use crate::quarantine::{
    Admission, BAR_CRASHES, HOLD_CRASHES, MOST_CRASHES, Ruling, Rulings, Standing,
};

/// After a crash its home waits so long before it counts it: the reports of one crash come from
/// several hosts, some after a connection that is not refused but unanswered (250 ms). Counted at
/// the first report, whoever is reported first would be blamed for the others. Each crash settles by
/// itself: a caller who comes again sooner than this would put the ruling off for as long as he comes.
const SETTLE_MS: Millis = 300;
/// How long one request of a content keeps others from running: until its first token and what may
/// follow it on a crowded engine. Its end frees the content sooner.
const TRIAL_MS: Millis = 5_000;
/// A crash counts for so long. A caller that comes back later is like a new one.
const CRASH_MS: Millis = 600_000;
/// Contents that were reported, at most: some 1 MB. The oldest reports yield.
const MOST_SUSPECTS: usize = 4_096;
/// Crashes whose cause is known, at most. Reports of a crash come within seconds of it.
const MOST_EXPLAINED: usize = 1_024;

/// An upstream's end, as it was reported for one content.
#[derive(Debug, Clone, Copy)]
struct Crash {
    upstream: UpstreamKey,
    reported_ms: Millis,
    is_judged: bool,
}

impl Crash {
    fn is_settled(&self, now_ms: Millis) -> bool {
        now_ms.saturating_sub(self.reported_ms) >= SETTLE_MS
    }
}

/// A content that had just begun on upstreams as they ended.
#[derive(Debug, Clone, Default)]
struct Suspect {
    crashes: Vec<Crash>,
    struck_ms: Millis,
}

impl Suspect {
    fn was_on(&self, upstream: UpstreamKey) -> bool {
        self.crashes.iter().any(|crash| crash.upstream == upstream)
    }

    fn add(&mut self, crash: Crash) {
        if self.was_on(crash.upstream) {
            return;
        }
        if self.crashes.len() >= MOST_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
    }

    /// Whether a crash has settled that was not ruled on; it counts as ruled on from then on.
    fn take_due(&mut self, now_ms: Millis) -> bool {
        let mut is_due = false;
        for crash in &mut self.crashes {
            if !crash.is_judged && crash.is_settled(now_ms) {
                crash.is_judged = true;
                is_due = true;
            }
        }
        is_due
    }
}

/// What the home of a service knows of upstreams that ended.
#[derive(Debug, Clone, Default)]
pub struct CrashRecord {
    suspects: HashMap<ContentKey, Suspect>,
    /// Who ended an upstream, where that is known.
    explained: HashMap<UpstreamKey, ContentKey>,
    /// Until when one request of a content may be running.
    trials: HashMap<ContentKey, Millis>,
}

impl CrashRecord {
    /// A request of this content had just begun on an upstream that ended.
    pub fn strike(&mut self, now_ms: Millis, content: ContentKey, upstream: UpstreamKey) {
        let cause = self.explained.get(&upstream);
        if cause.is_some_and(|cause| *cause != content) {
            return;
        }
        self.make_room(now_ms);
        let suspect = self.suspects.entry(content).or_default();
        if now_ms.saturating_sub(suspect.struck_ms) >= CRASH_MS {
            suspect.crashes.clear();
        }
        if suspect.was_on(upstream) {
            return;
        }
        suspect.add(Crash {
            upstream,
            reported_ms: now_ms,
            is_judged: false,
        });
        suspect.struck_ms = now_ms;
    }

    /// Rules on the contents whose reports have come; `rulings` has taken each of them.
    pub fn judge(&mut self, now_ms: Millis, rulings: &mut Rulings) -> Vec<Ruling> {
        let suspects = self.suspects.iter_mut();
        let due = suspects.filter_map(|(content, suspect)| {
            let is_due = suspect.take_due(now_ms);
            is_due.then_some(*content)
        });
        let mut due: Vec<ContentKey> = due.collect();
        due.sort_unstable();
        let mut made = Vec::new();
        for content in due {
            self.rule(now_ms, content, rulings, &mut made);
        }
        made
    }

    /// Whether reports wait to be ruled on.
    pub fn has_unjudged(&self) -> bool {
        let crashes = self.suspects.values().flat_map(|one| &one.crashes);
        crashes.into_iter().any(|crash| !crash.is_judged)
    }

    /// A request of this content was answered whole: it is not what ends upstreams.
    pub fn clear(
        &mut self,
        now_ms: Millis,
        content: ContentKey,
        rulings: &mut Rulings,
    ) -> Option<Ruling> {
        self.trials.remove(&content);
        self.explained.retain(|_, cause| *cause != content);
        if let Some(innocent) = self.suspects.remove(&content) {
            let upstreams = innocent.crashes.iter().map(|crash| crash.upstream);
            self.judge_again(&upstreams.collect::<Vec<_>>(), rulings);
        }
        free(now_ms, content, rulings)
    }

    /// Who else was on these upstreams is the likelier cause now. One that is barred was taken for the
    /// cause already: ruled on again when its term is over, it would get the next term for nothing new.
    fn judge_again(&mut self, upstreams: &[UpstreamKey], rulings: &Rulings) {
        let others = self.suspects.iter_mut().filter(|(content, _)| {
            let known = rulings.find(**content);
            known.is_none_or(|known| known.standing != Standing::Barred)
        });
        for crash in others.flat_map(|(_, one)| &mut one.crashes) {
            crash.is_judged &= !upstreams.contains(&crash.upstream);
        }
    }

    /// Whether a request of a content that runs one at a time may be the one.
    pub fn grant(&mut self, now_ms: Millis, content: ContentKey) -> bool {
        self.trials.retain(|_, until_ms| now_ms < *until_ms);
        if self.trials.contains_key(&content) {
            return false;
        }
        self.trials.insert(content, now_ms + TRIAL_MS);
        true
    }

    fn rule(
        &mut self,
        now_ms: Millis,
        content: ContentKey,
        rulings: &mut Rulings,
        made: &mut Vec<Ruling>,
    ) {
        let Some(crashes) = self.crashes_of(now_ms, content, rulings) else {
            return;
        };
        let known = rulings.find(content).cloned();
        let standing = match crashes.len() {
            count if count >= BAR_CRASHES && !self.may_be_another(content, &crashes) => {
                Standing::Barred
            }
            count if count >= HOLD_CRASHES => Standing::OneAtATime,
            _ => return,
        };
        let is_barred = matches!(rulings.admit(now_ms, content), Admission::Refused { .. });
        if standing == Standing::Barred {
            self.explain(content, &crashes);
        }
        // Requests that were on their way as it was barred change nothing.
        if !is_barred && (standing == Standing::Barred || known.as_ref().is_none_or(is_free)) {
            let restricted = known.as_ref().filter(|known| !is_free(known));
            let bars = restricted.map_or(0, |known| known.bars);
            let ruling = Ruling {
                turn: known.map_or(1, |known| known.turn + 1),
                bars: bars.saturating_add(u32::from(standing == Standing::Barred)),
                crashes: crashes.clone(),
                age_ms: 0,
                content,
                standing,
            };
            rulings.adopt(now_ms, ruling.clone());
            made.push(ruling);
        }
        if standing == Standing::Barred {
            made.extend(self.acquit_others(now_ms, content, &crashes, rulings));
        }
    }

    /// The settled, unexplained crashes of a content, with those of its ruling: a home that has just
    /// become one has only that. `None` where nothing is left.
    fn crashes_of(
        &mut self,
        now_ms: Millis,
        content: ContentKey,
        rulings: &Rulings,
    ) -> Option<Vec<UpstreamKey>> {
        let suspect = self.suspects.get_mut(&content)?;
        let ruled = rulings.find(content).filter(|known| !is_free(known));
        for upstream in ruled.iter().flat_map(|known| &known.crashes) {
            suspect.add(Crash {
                upstream: *upstream,
                reported_ms: 0,
                is_judged: true,
            });
        }
        let settled = suspect.crashes.iter().filter(|one| one.is_settled(now_ms));
        Some(settled.map(|crash| crash.upstream).collect())
    }

    /// Whether another content was on all the same upstreams. Either may be the cause then, as where
    /// two are sent on to other upstreams in step. Running one at a time tells which.
    fn may_be_another(&self, content: ContentKey, crashes: &[UpstreamKey]) -> bool {
        self.suspects.iter().any(|(other, suspect)| {
            let shares_all = crashes.iter().all(|crash| suspect.was_on(*crash));
            *other != content && shares_all
        })
    }

    fn explain(&mut self, content: ContentKey, crashes: &[UpstreamKey]) {
        if self.explained.len() + crashes.len() > MOST_EXPLAINED {
            self.explained.clear();
        }
        let causes = crashes.iter().map(|crash| (*crash, content));
        self.explained.extend(causes);
    }

    /// Takes back what others were blamed for of crashes whose cause is known now.
    fn acquit_others(
        &mut self,
        now_ms: Millis,
        culprit: ContentKey,
        crashes: &[UpstreamKey],
        rulings: &mut Rulings,
    ) -> Vec<Ruling> {
        let mut acquitted = Vec::new();
        for (content, suspect) in &mut self.suspects {
            let standing = rulings.find(*content).map(|known| known.standing);
            if *content == culprit || standing == Some(Standing::Barred) {
                continue;
            }
            let before = suspect.crashes.len();
            suspect
                .crashes
                .retain(|crash| !crashes.contains(&crash.upstream));
            let fell = suspect.crashes.len() < before;
            if fell && suspect.crashes.len() < HOLD_CRASHES {
                acquitted.push(*content);
            }
        }
        self.suspects
            .retain(|_, suspect| !suspect.crashes.is_empty());
        acquitted.sort_unstable();
        let freed = acquitted.into_iter();
        freed
            .filter_map(|content| free(now_ms, content, rulings))
            .collect()
    }

    fn make_room(&mut self, now_ms: Millis) {
        if self.suspects.len() < MOST_SUSPECTS {
            return;
        }
        self.suspects
            .retain(|_, suspect| now_ms.saturating_sub(suspect.struck_ms) < CRASH_MS);
        if self.suspects.len() < MOST_SUSPECTS {
            return;
        }
        let oldest = self.suspects.iter().min_by_key(|(_, one)| one.struck_ms);
        if let Some((content, _)) = oldest.map(|(content, one)| (*content, one.struck_ms)) {
            self.suspects.remove(&content);
        }
    }
}

/// Lifts the ruling on a content, where there is one.
fn free(now_ms: Millis, content: ContentKey, rulings: &mut Rulings) -> Option<Ruling> {
    let known = rulings.find(content).filter(|known| !is_free(known))?;
    let ruling = Ruling {
        turn: known.turn + 1,
        standing: Standing::Free,
        bars: known.bars,
        crashes: Vec::new(),
        age_ms: 0,
        content,
    };
    rulings.adopt(now_ms, ruling.clone());
    Some(ruling)
}

fn is_free(ruling: &Ruling) -> bool {
    ruling.standing == Standing::Free
}
