//! The table of members: beliefs about liveness, spread by rumour.
//!
//! (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", DSN 2002.)

use std::collections::HashMap;

use fulmarpath_policy::{HostKey, Millis, rank};
use fulmarpath_wire::{MemberInfo, MemberState, Rumour};

/// How long a suspect may refute before it counts as dead.
const SUSPICION_MS: Millis = 1_500;
/// A dead member is remembered so long, lest an old rumour bring it back.
const FORGET_MS: Millis = 60_000;
/// Rumours in one message.
const RUMOURS: usize = 8;
/// Members of a data centre from which on most pings stay within it. Bytes between data centres are
/// paid for; with a dozen hosts there the others still hear from it several times a second, and a
/// data centre that is lost whole is found out within a second.
const NEAR_MEMBERS: usize = 12;
/// One ping in so many may go anywhere then.
const FAR_PERIOD: u32 = 3;

#[derive(Debug)]
struct Known {
    rumour: Rumour,
    since_ms: Millis,
    sends_left: u32,
}

/// What this host believes of all members, itself with them.
#[derive(Debug)]
pub struct Members {
    me: HostKey,
    known: HashMap<HostKey, Known>,
    /// Members of this host's data centre that are still to be pinged in this round of them.
    near: Vec<HostKey>,
    /// The same of all members.
    all: Vec<HostKey>,
    pings: u32,
}

impl Members {
    /// A table that knows only this host.
    ///
    /// `incarnation` must be higher than at any earlier start of the same name; the wall clock
    /// serves, and where it doesn't, the host refutes its own death and goes on from there.
    pub fn new(me: MemberInfo, incarnation: u64) -> Self {
        let key = HostKey::of(&me.name);
        let rumour = Rumour {
            member: me,
            state: MemberState::Alive,
            incarnation,
        };
        let known = HashMap::from([(
            key,
            Known {
                rumour,
                since_ms: 0,
                sends_left: 0,
            },
        )]);
        Self {
            me: key,
            known,
            near: Vec::new(),
            all: Vec::new(),
            pings: 0,
        }
    }

    /// This host's own rumour.
    pub fn own_rumour(&self) -> Rumour {
        self.known[&self.me].rumour.clone()
    }

    /// This host's key.
    pub fn own_key(&self) -> HostKey {
        self.me
    }

    /// Adds a member that the host list names and nobody has heard of.
    pub fn seed(&mut self, now_ms: Millis, member: MemberInfo) {
        let key = HostKey::of(&member.name);
        if self.known.contains_key(&key) {
            return;
        }
        let rumour = Rumour {
            member,
            state: MemberState::Alive,
            incarnation: 0,
        };
        self.insert(now_ms, key, rumour, 0);
    }

    /// Takes in a rumour.
    pub fn apply(&mut self, now_ms: Millis, rumour: Rumour) {
        let key = HostKey::of(&rumour.member.name);
        if key == self.me {
            self.refute(now_ms, &rumour);
            return;
        }
        if self.is_news(key, &rumour) {
            let sends = self.sends();
            self.insert(now_ms, key, rumour, sends);
        }
    }

    /// Takes in what reaches every member on another way, so that it isn't passed on from here; true
    /// where it was news.
    ///
    /// With each of some hundred newcomers told again by all who hear of it, a ping's few rumours would
    /// be old news for long after all hosts have started, and suspicions would wait behind them.
    pub fn apply_unrelayed(&mut self, now_ms: Millis, rumour: Rumour) -> bool {
        let key = HostKey::of(&rumour.member.name);
        if key == self.me {
            self.refute(now_ms, &rumour);
            return false;
        }
        let is_news = self.is_news(key, &rumour);
        if is_news {
            self.insert(now_ms, key, rumour, 0);
        }
        is_news
    }

    fn is_news(&self, key: HostKey, rumour: &Rumour) -> bool {
        self.known.get(&key).is_none_or(|known| {
            let held = (known.rumour.incarnation, known.rumour.state);
            (rumour.incarnation, rumour.state) > held
        })
    }

    /// A member didn't answer, neither directly nor through others.
    pub fn suspect(&mut self, now_ms: Millis, key: HostKey) {
        let Some(known) = self.known.get(&key) else {
            return;
        };
        if known.rumour.state == MemberState::Alive {
            let mut rumour = known.rumour.clone();
            rumour.state = MemberState::Suspect;
            self.apply(now_ms, rumour);
        }
    }

    /// A member answered: whatever was suspected of that incarnation is wrong.
    pub fn record_answer(&mut self, now_ms: Millis, rumour: &Rumour) {
        let key = HostKey::of(&rumour.member.name);
        if let Some(known) = self.known.get_mut(&key)
            && known.rumour.state == MemberState::Suspect
            && rumour.incarnation == known.rumour.incarnation
            && rumour.state == MemberState::Alive
        {
            known.rumour.state = MemberState::Alive;
            known.since_ms = now_ms;
        }
        self.apply(now_ms, rumour.clone());
    }

    /// This host leaves: it is home of nothing from now on.
    pub fn leave(&mut self) {
        let sends = self.sends();
        if let Some(known) = self.known.get_mut(&self.me) {
            known.rumour.state = MemberState::Leaving;
            known.rumour.incarnation += 1;
            known.sends_left = sends;
        }
    }

    /// Suspects that did not refute in time are dead; the long dead are forgotten.
    pub fn expire(&mut self, now_ms: Millis) {
        let overdue: Vec<Rumour> = self
            .known
            .values()
            .filter(|known| known.rumour.state == MemberState::Suspect)
            .filter(|known| now_ms.saturating_sub(known.since_ms) >= SUSPICION_MS)
            .map(|known| known.rumour.clone())
            .collect();
        for mut rumour in overdue {
            rumour.state = MemberState::Dead;
            self.apply(now_ms, rumour);
        }
        self.known.retain(|_, known| {
            known.rumour.state != MemberState::Dead
                || now_ms.saturating_sub(known.since_ms) < FORGET_MS
        });
    }

    /// Rumours to send now; each is sent a number of times that grows with the logarithm of the
    /// members.
    pub fn rumours(&mut self) -> Vec<Rumour> {
        let mut fresh: Vec<&mut Known> = self
            .known
            .values_mut()
            .filter(|known| known.sends_left > 0)
            .collect();
        fresh.sort_by_key(|known| std::cmp::Reverse(known.sends_left));
        let chosen = fresh.into_iter().take(RUMOURS);
        chosen
            .map(|known| {
                known.sends_left -= 1;
                known.rumour.clone()
            })
            .collect()
    }

    /// The next member to ping: each once in a round, in an order that `draw` shuffles. Where many stand
    /// near, most pings go to them.
    pub fn next_target(&mut self, draw: u64) -> Option<MemberInfo> {
        self.pings = self.pings.wrapping_add(1);
        let is_far = self.pings.is_multiple_of(FAR_PERIOD);
        let data_centre = self.known[&self.me].rumour.member.data_centre.clone();
        let is_near = |known: &Known| known.rumour.member.data_centre == data_centre;
        let near = self.others().filter(|(_, known)| is_near(known)).count();
        if near < NEAR_MEMBERS || is_far {
            let mut round = std::mem::take(&mut self.all);
            let target = self.take_target(&mut round, draw, |_| true);
            self.all = round;
            return target;
        }
        let mut round = std::mem::take(&mut self.near);
        let target = self.take_target(&mut round, draw, is_near);
        self.near = round;
        target
    }

    fn take_target(
        &self,
        round: &mut Vec<HostKey>,
        draw: u64,
        is_of_round: impl Fn(&Known) -> bool,
    ) -> Option<MemberInfo> {
        loop {
            if round.is_empty() {
                let others = self.others().filter(|(_, known)| is_of_round(known));
                *round = others.map(|(key, _)| key).collect();
                round.sort_by_key(|key| rank(draw, key.0));
            }
            let key = round.pop()?;
            if let Some(known) = self.known.get(&key)
                && known.rumour.state != MemberState::Dead
            {
                return Some(known.rumour.member.clone());
            }
        }
    }

    /// Members that answer, a few drawn at random, for a newcomer to ask: those of its data centre first;
    /// this host among those that may be drawn. Whoever had its address before is gone, though nobody
    /// may have noticed yet: it would ask itself.
    pub fn sample(&self, newcomer: &MemberInfo, draw: u64, count: usize) -> Vec<Rumour> {
        let alive = self.known.iter();
        let mut alive: Vec<((bool, u64), &Known)> = alive
            .filter(|(_, known)| known.rumour.state == MemberState::Alive)
            .filter(|(_, known)| known.rumour.member.address != newcomer.address)
            .map(|(key, known)| {
                let is_far = known.rumour.member.data_centre != newcomer.data_centre;
                ((is_far, rank(draw, key.0)), known)
            })
            .collect();
        alive.sort_by_key(|(order, _)| *order);
        let chosen = alive.into_iter().take(count);
        chosen.map(|(_, known)| known.rumour.clone()).collect()
    }

    /// All that is believed, of the dead as well.
    pub fn snapshot(&self) -> Vec<Rumour> {
        let all = self.known.values();
        all.map(|known| known.rumour.clone()).collect()
    }

    /// Equal at two hosts that believe the same members present. Suspects count as present, lest
    /// each missed ping makes all differ.
    pub fn digest(&self) -> u64 {
        let keys = self.homes().map(|(key, _)| rank(key.0, 0));
        keys.fold(0, u64::wrapping_add)
    }

    /// Members that may be asked to ping another one.
    pub fn probe_relays(&self, target: HostKey, draw: u64, count: usize) -> Vec<MemberInfo> {
        let mut others: Vec<(HostKey, &Known)> = self
            .others()
            .filter(|(key, known)| *key != target && known.rumour.state == MemberState::Alive)
            .collect();
        others.sort_by_key(|(key, _)| rank(draw, key.0));
        let chosen = others.into_iter().take(count);
        chosen
            .map(|(_, known)| known.rumour.member.clone())
            .collect()
    }

    /// Members that can be home of something; suspects still count, lest homes move at each hiccup.
    pub fn homes(&self) -> impl Iterator<Item = (HostKey, &MemberInfo)> {
        self.known
            .iter()
            .filter(|(_, known)| {
                matches!(
                    known.rumour.state,
                    MemberState::Alive | MemberState::Suspect
                )
            })
            .map(|(key, known)| (*key, &known.rumour.member))
    }

    /// The homes of a thing, best first.
    pub fn homes_of(&self, thing: u64, count: usize) -> Vec<(HostKey, MemberInfo)> {
        best(thing, self.homes(), count)
    }

    /// The homes of a thing that stands in a data centre: hosts there, or any where none is left.
    ///
    /// A host's streams run mostly on near engines; near homes save a way over the data centres
    /// for each permit, and let one message report on many engines.
    pub fn homes_in(
        &self,
        thing: u64,
        data_centre: &str,
        count: usize,
    ) -> Vec<(HostKey, MemberInfo)> {
        let near = self
            .homes()
            .filter(|(_, note)| note.data_centre == data_centre);
        let near = best(thing, near, count);
        if near.is_empty() {
            return self.homes_of(thing, count);
        }
        near
    }

    /// Every member that isn't dead, this host with them.
    pub fn present(&self) -> impl Iterator<Item = &Rumour> {
        self.known
            .values()
            .map(|known| &known.rumour)
            .filter(|rumour| rumour.state != MemberState::Dead)
    }

    /// A present member by key.
    pub fn find(&self, key: HostKey) -> Option<&Rumour> {
        self.known
            .get(&key)
            .map(|known| &known.rumour)
            .filter(|rumour| rumour.state != MemberState::Dead)
    }

    fn others(&self) -> impl Iterator<Item = (HostKey, &Known)> {
        let me = self.me;
        self.known
            .iter()
            .filter(move |(key, known)| **key != me && known.rumour.state != MemberState::Dead)
            .map(|(key, known)| (*key, known))
    }

    /// A rumour against this host is answered with a higher incarnation. Without that a host that
    /// was paused for some seconds would stay dead to all others.
    fn refute(&mut self, now_ms: Millis, rumour: &Rumour) {
        let sends = self.sends();
        let Some(mine) = self.known.get_mut(&self.me) else {
            return;
        };
        let against =
            (rumour.incarnation, rumour.state) > (mine.rumour.incarnation, mine.rumour.state);
        if against {
            mine.rumour.incarnation = rumour.incarnation + 1;
            mine.since_ms = now_ms;
            mine.sends_left = sends;
        }
    }

    fn insert(&mut self, now_ms: Millis, key: HostKey, rumour: Rumour, sends_left: u32) {
        self.known.insert(
            key,
            Known {
                rumour,
                since_ms: now_ms,
                sends_left,
            },
        );
    }

    fn sends(&self) -> u32 {
        3 * (self.known.len() as u32 + 1).ilog2().max(1)
    }
}

fn best<'a>(
    thing: u64,
    members: impl Iterator<Item = (HostKey, &'a MemberInfo)>,
    count: usize,
) -> Vec<(HostKey, MemberInfo)> {
    let mut ranked: Vec<(u64, HostKey, &MemberInfo)> = members
        .map(|(key, note)| (rank(thing, key.0), key, note))
        .collect();
    ranked.sort_by_key(|(rank, _, _)| std::cmp::Reverse(*rank));
    ranked.truncate(count);
    let ranked = ranked.into_iter();
    ranked.map(|(_, key, note)| (key, note.clone())).collect()
}
