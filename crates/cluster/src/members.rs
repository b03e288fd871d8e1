//! The table of members: beliefs about liveness, spread by rumour.
//!
//! (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", DSN 2002.)

use std::collections::HashMap;

use fulmarpath_policy::{HostKey, Millis, rank};
use fulmarpath_wire::{MemberNote, MemberState, Rumour};

/// How long a suspect may refute before it counts as dead.
const SUSPICION_MS: Millis = 1_500;
/// A dead member is remembered so long, lest an old rumour bring it back.
const FORGET_MS: Millis = 60_000;
/// Rumours in one message.
const RUMOURS: usize = 8;

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
    round: Vec<HostKey>,
}

impl Members {
    /// A table that knows only this host.
    ///
    /// `incarnation` must be higher than at any earlier start of the same name; the wall clock
    /// serves, and where it doesn't, the host refutes its own death and goes on from there.
    pub fn new(me: MemberNote, incarnation: u64) -> Self {
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
            round: Vec::new(),
        }
    }

    /// This host's own rumour.
    pub fn me(&self) -> Rumour {
        self.known[&self.me].rumour.clone()
    }

    /// This host's key.
    pub fn my_key(&self) -> HostKey {
        self.me
    }

    /// Adds a member that the host list names and nobody has heard of.
    pub fn seed(&mut self, now_ms: Millis, member: MemberNote) {
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
    pub fn hear(&mut self, now_ms: Millis, rumour: Rumour) {
        let key = HostKey::of(&rumour.member.name);
        if key == self.me {
            self.refute(now_ms, &rumour);
            return;
        }
        let news = self.known.get(&key).is_none_or(|known| {
            let held = (known.rumour.incarnation, known.rumour.state);
            (rumour.incarnation, rumour.state) > held
        });
        if news {
            let sends = self.sends();
            self.insert(now_ms, key, rumour, sends);
        }
    }

    /// A member didn't answer, neither directly nor through others.
    pub fn suspect(&mut self, now_ms: Millis, key: HostKey) {
        let Some(known) = self.known.get(&key) else {
            return;
        };
        if known.rumour.state == MemberState::Alive {
            let mut rumour = known.rumour.clone();
            rumour.state = MemberState::Suspect;
            self.hear(now_ms, rumour);
        }
    }

    /// A member answered: whatever was suspected of that incarnation is wrong.
    pub fn answered(&mut self, now_ms: Millis, rumour: &Rumour) {
        let key = HostKey::of(&rumour.member.name);
        if let Some(known) = self.known.get_mut(&key)
            && known.rumour.state == MemberState::Suspect
            && rumour.incarnation == known.rumour.incarnation
            && rumour.state == MemberState::Alive
        {
            known.rumour.state = MemberState::Alive;
            known.since_ms = now_ms;
        }
        self.hear(now_ms, rumour.clone());
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
            self.hear(now_ms, rumour);
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

    /// The next member to ping: each once in a round, in an order that `draw` shuffles.
    pub fn next_target(&mut self, draw: u64) -> Option<MemberNote> {
        loop {
            if self.round.is_empty() {
                self.round = self.others().map(|(key, _)| key).collect();
                self.round.sort_by_key(|key| rank(draw, key.0));
            }
            let key = self.round.pop()?;
            if let Some(known) = self.known.get(&key)
                && known.rumour.state != MemberState::Dead
            {
                return Some(known.rumour.member.clone());
            }
        }
    }

    /// Members that may be asked to ping another one.
    pub fn helpers(&self, target: HostKey, draw: u64, count: usize) -> Vec<MemberNote> {
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
    pub fn homes(&self) -> impl Iterator<Item = (HostKey, &MemberNote)> {
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
    pub fn homes_of(&self, thing: u64, count: usize) -> Vec<(HostKey, MemberNote)> {
        best(thing, self.homes(), count)
    }

    /// The homes of a thing that stands in a data centre: hosts there, or any where none is left.
    ///
    /// A host's streams run mostly on near engines; near homes save a way over the data centres
    /// for each permit, and let one message report on many engines.
    pub fn homes_near(
        &self,
        thing: u64,
        data_centre: &str,
        count: usize,
    ) -> Vec<(HostKey, MemberNote)> {
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
    members: impl Iterator<Item = (HostKey, &'a MemberNote)>,
    count: usize,
) -> Vec<(HostKey, MemberNote)> {
    let mut ranked: Vec<(u64, HostKey, &MemberNote)> = members
        .map(|(key, note)| (rank(thing, key.0), key, note))
        .collect();
    ranked.sort_by_key(|(rank, _, _)| std::cmp::Reverse(*rank));
    ranked.truncate(count);
    let ranked = ranked.into_iter();
    ranked.map(|(_, key, note)| (key, note.clone())).collect()
}
