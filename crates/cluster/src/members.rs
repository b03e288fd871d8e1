//! The membership table: the liveness of all members, disseminated by gossip.
//!
//! (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", DSN 2002.)

use std::collections::HashMap;
use std::net::SocketAddr;

use fulmarpath_policy::{HomeIndex, HostKey, Millis, rank};
use fulmarpath_wire::{MemberInfo, MemberState, Rumour};

/// How long a suspect may refute the suspicion before it counts as dead.
const SUSPICION_MS: Millis = 1_500;
/// Retention time of dead members, which prevents stale rumours from reviving them.
const DEAD_RETENTION_MS: Millis = 60_000;
/// Limit on the rumours in one message.
const MAX_RUMOURS: usize = 8;
/// Number of other members in this host's data centre from which on most pings stay within it,
/// since traffic between data centres is paid for. A dozen hosts together still ping other data
/// centres several times per second, which detects the loss of a whole data centre within a second.
const LOCAL_PING_MIN_MEMBERS: usize = 12;
/// One ping in this many may then go to any data centre.
const GLOBAL_PING_PERIOD: u32 = 3;
/// Number of members of a data centre whose pings to other data centres add up to one at a time.
/// Beyond [`GLOBAL_PING_PERIOD`] times as many, the pings between data centres no longer grow with
/// the fleet.
const GLOBAL_PING_MEMBERS: u32 = 12;

#[derive(Debug)]
struct MemberRecord {
    rumour: Rumour,
    /// Time of the last change of state or incarnation.
    since_ms: Millis,
    /// Number of messages that still have to carry the rumour.
    sends_left: u32,
}

impl MemberRecord {
    /// Whether the member may be a home. Suspects still count; otherwise homes would move at each
    /// missed ping.
    fn is_eligible(&self) -> bool {
        matches!(self.rumour.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// The membership table of one host, which includes the host itself.
#[derive(Debug)]
pub struct Members {
    own_key: HostKey,
    records: HashMap<HostKey, MemberRecord>,
    /// Members of this host's data centre that remain to be pinged in the current local round.
    local_round: Vec<HostKey>,
    /// Members of all data centres that remain to be pinged in the current global round.
    global_round: Vec<HostKey>,
    pings: u32,
    home_index: HomeIndex,
    /// Sum of a hash of each member that is eligible as a home.
    digest: u64,
    /// Grows with each change of the members that are eligible as homes.
    homes_version: u64,
}

impl Members {
    /// Creates a table that contains only this host.
    ///
    /// `incarnation` must be higher than at any earlier start under the same name. The wall clock
    /// suffices; should it be wrong, the host refutes its own death with a higher incarnation.
    pub fn new(info: MemberInfo, incarnation: u64) -> Self {
        let key = HostKey::of(&info.name);
        let rumour = Rumour {
            member: info,
            state: MemberState::Alive,
            incarnation,
        };
        let records = HashMap::from([(
            key,
            MemberRecord {
                rumour,
                since_ms: 0,
                sends_left: 0,
            },
        )]);
        Self {
            own_key: key,
            records,
            local_round: Vec::new(),
            global_round: Vec::new(),
            pings: 0,
            home_index: HomeIndex::default(),
            digest: hash(key),
            homes_version: 0,
        }
    }

    /// This host's own rumour.
    pub fn own_rumour(&self) -> Rumour {
        self.records[&self.own_key].rumour.clone()
    }

    /// This host's key.
    pub fn own_key(&self) -> HostKey {
        self.own_key
    }

    /// Adds a member from the host list if it is unknown.
    pub fn seed(&mut self, now_ms: Millis, member: MemberInfo) {
        let key = HostKey::of(&member.name);
        if self.records.contains_key(&key) {
            return;
        }
        let rumour = Rumour {
            member,
            state: MemberState::Alive,
            incarnation: 0,
        };
        self.insert(now_ms, key, rumour, 0);
    }

    /// Applies a rumour and schedules it for gossip if it is an update.
    pub fn apply(&mut self, now_ms: Millis, rumour: Rumour) {
        let key = HostKey::of(&rumour.member.name);
        if key == self.own_key {
            self.refute(now_ms, &rumour);
            return;
        }
        if self.is_update(key, &rumour) {
            let sends = self.send_count();
            self.insert(now_ms, key, rumour, sends);
        }
    }

    /// Applies a rumour that reaches every member by other means and needs no gossip; true where it
    /// was an update.
    ///
    /// If every host relayed each of some hundred joining hosts, stale rumours would fill the pings
    /// for long after all hosts have started, and suspicions would queue behind them.
    pub fn apply_unrelayed(&mut self, now_ms: Millis, rumour: Rumour) -> bool {
        let key = HostKey::of(&rumour.member.name);
        if key == self.own_key {
            self.refute(now_ms, &rumour);
            return false;
        }
        let is_update = self.is_update(key, &rumour);
        if is_update {
            self.insert(now_ms, key, rumour, 0);
        }
        is_update
    }

    fn is_update(&self, key: HostKey, rumour: &Rumour) -> bool {
        self.records.get(&key).is_none_or(|record| {
            let held = (record.rumour.incarnation, record.rumour.state);
            (rumour.incarnation, rumour.state) > held
        })
    }

    /// Marks a member that answered neither direct nor indirect pings as suspect.
    pub fn suspect(&mut self, now_ms: Millis, key: HostKey) {
        let Some(record) = self.records.get(&key) else {
            return;
        };
        if record.rumour.state == MemberState::Alive {
            let mut rumour = record.rumour.clone();
            rumour.state = MemberState::Suspect;
            self.apply(now_ms, rumour);
        }
    }

    /// Records a ping or an answer from a member, which clears any suspicion of that incarnation.
    pub fn record_contact(&mut self, now_ms: Millis, rumour: &Rumour) {
        let key = HostKey::of(&rumour.member.name);
        if let Some(record) = self.records.get_mut(&key)
            && record.rumour.state == MemberState::Suspect
            && rumour.incarnation == record.rumour.incarnation
            && rumour.state == MemberState::Alive
        {
            record.rumour.state = MemberState::Alive;
            record.since_ms = now_ms;
        }
        self.apply(now_ms, rumour.clone());
    }

    /// Marks this host as leaving; it is no home from then on.
    pub fn leave(&mut self) {
        let sends = self.send_count();
        let was_eligible = self.is_eligible(self.own_key);
        if let Some(record) = self.records.get_mut(&self.own_key) {
            record.rumour.state = MemberState::Leaving;
            record.rumour.incarnation += 1;
            record.sends_left = sends;
        }
        self.apply_eligibility(self.own_key, was_eligible);
    }

    /// Marks suspects that did not refute in time as dead, and removes members dead for 60 s.
    pub fn expire(&mut self, now_ms: Millis) {
        let overdue: Vec<Rumour> = self
            .records
            .values()
            .filter(|record| record.rumour.state == MemberState::Suspect)
            .filter(|record| now_ms.saturating_sub(record.since_ms) >= SUSPICION_MS)
            .map(|record| record.rumour.clone())
            .collect();
        for mut rumour in overdue {
            rumour.state = MemberState::Dead;
            self.apply(now_ms, rumour);
        }
        self.records.retain(|_, record| {
            record.rumour.state != MemberState::Dead
                || now_ms.saturating_sub(record.since_ms) < DEAD_RETENTION_MS
        });
    }

    /// Takes the rumours to send with the next message. Each is sent a number of times that grows
    /// with the logarithm of the number of members.
    pub fn rumours(&mut self) -> Vec<Rumour> {
        let mut pending: Vec<&mut MemberRecord> = self
            .records
            .values_mut()
            .filter(|record| record.sends_left > 0)
            .collect();
        pending.sort_by_key(|record| std::cmp::Reverse(record.sends_left));
        let selected = pending.into_iter().take(MAX_RUMOURS);
        selected
            .map(|record| {
                record.sends_left -= 1;
                record.rumour.clone()
            })
            .collect()
    }

    /// The next member to ping. Each member is pinged once per round, in an order shuffled by
    /// `draw`. In a large data centre most pings stay local.
    pub fn next_target(&mut self, draw: u64) -> Option<MemberInfo> {
        self.pings = self.pings.wrapping_add(1);
        let data_centre = self.records[&self.own_key]
            .rumour
            .member
            .data_centre
            .clone();
        let is_local = |record: &MemberRecord| record.rumour.member.data_centre == data_centre;
        let local_members = self.others().filter(|(_, record)| is_local(record)).count();
        let period = GLOBAL_PING_PERIOD.max(local_members as u32 / GLOBAL_PING_MEMBERS);
        let is_global = self.pings.is_multiple_of(period);
        if local_members < LOCAL_PING_MIN_MEMBERS || is_global {
            let mut round = std::mem::take(&mut self.global_round);
            let target = self.take_target(&mut round, draw, |_| true);
            self.global_round = round;
            return target;
        }
        let mut round = std::mem::take(&mut self.local_round);
        let target = self.take_target(&mut round, draw, is_local);
        self.local_round = round;
        target
    }

    /// Whether this host's data centre has enough other members to provide the state of the fleet.
    pub fn has_local_peers(&self) -> bool {
        let data_centre = &self.records[&self.own_key].rumour.member.data_centre;
        let is_local = |record: &MemberRecord| record.rumour.member.data_centre == *data_centre;
        let local = self.others().filter(|(_, record)| is_local(record));
        local.take(LOCAL_PING_MIN_MEMBERS).count() == LOCAL_PING_MIN_MEMBERS
    }

    fn take_target(
        &self,
        round: &mut Vec<HostKey>,
        draw: u64,
        is_in_round: impl Fn(&MemberRecord) -> bool,
    ) -> Option<MemberInfo> {
        loop {
            if round.is_empty() {
                let others = self.others().filter(|(_, record)| is_in_round(record));
                *round = others.map(|(key, _)| key).collect();
                round.sort_by_key(|key| rank(draw, key.0));
            }
            let key = round.pop()?;
            if let Some(record) = self.records.get(&key)
                && record.rumour.state != MemberState::Dead
            {
                return Some(record.rumour.member.clone());
            }
        }
    }

    /// A random sample of live members for a joining host to query, those of its data centre first.
    /// This host may be in the sample. A member with the address of the joining host is left out:
    /// it is an earlier instance whose end may be undetected, and the host would query itself.
    pub fn sample(&self, joining: &MemberInfo, draw: u64, count: usize) -> Vec<Rumour> {
        let alive = self.records.iter();
        let mut alive: Vec<((bool, u64), &MemberRecord)> = alive
            .filter(|(_, record)| record.rumour.state == MemberState::Alive)
            .filter(|(_, record)| record.rumour.member.address != joining.address)
            .map(|(key, record)| {
                let is_remote = record.rumour.member.data_centre != joining.data_centre;
                ((is_remote, rank(draw, key.0)), record)
            })
            .collect();
        alive.sort_by_key(|(order, _)| *order);
        let selected = alive.into_iter().take(count);
        selected.map(|(_, record)| record.rumour.clone()).collect()
    }

    /// The rumours of all known members, including dead ones.
    pub fn snapshot(&self) -> Vec<Rumour> {
        let all = self.records.values();
        all.map(|record| record.rumour.clone()).collect()
    }

    /// A digest of the members eligible as homes, equal on hosts that agree on them. Suspects are
    /// included; otherwise each missed ping would make the digests differ.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// A number that differs after each change of the members that are eligible as homes.
    pub fn homes_version(&self) -> u64 {
        self.homes_version
    }

    /// Members through which to ping `target` indirectly.
    pub fn probe_relays(&self, target: HostKey, draw: u64, count: usize) -> Vec<MemberInfo> {
        let mut others: Vec<(HostKey, &MemberRecord)> = self
            .others()
            .filter(|(key, record)| *key != target && record.rumour.state == MemberState::Alive)
            .collect();
        others.sort_by_key(|(key, _)| rank(draw, key.0));
        let selected = others.into_iter().take(count);
        selected
            .map(|(_, record)| record.rumour.member.clone())
            .collect()
    }

    /// Addresses of live members in random order, those of this host's data centre and of others in
    /// turn: either kind may be out of reach together.
    pub fn neighbours(&self, draw: u64, count: usize) -> Vec<SocketAddr> {
        let data_centre = &self.records[&self.own_key].rumour.member.data_centre;
        let alive = self.others();
        let mut alive: Vec<(u64, &MemberInfo)> = alive
            .filter(|(_, record)| record.rumour.state == MemberState::Alive)
            .map(|(key, record)| (rank(draw, key.0), &record.rumour.member))
            .collect();
        alive.sort_by_key(|(order, _)| *order);
        let (local, remote): (Vec<_>, Vec<_>) = alive
            .into_iter()
            .map(|(_, member)| member)
            .partition(|member| member.data_centre == *data_centre);
        let pairs = local.len().max(remote.len());
        let turns = (0..pairs).flat_map(|turn| [local.get(turn), remote.get(turn)]);
        let addresses = turns.flatten().map(|member| member.address);
        addresses.take(count).collect()
    }

    /// Members eligible as homes.
    pub fn homes(&self) -> impl Iterator<Item = (HostKey, &MemberInfo)> {
        self.records
            .iter()
            .filter(|(_, record)| record.is_eligible())
            .map(|(key, record)| (*key, &record.rumour.member))
    }

    /// The home of a resource by rendezvous hashing, kept until the members change.
    pub fn home_of(&mut self, resource: u64) -> Option<HostKey> {
        let records = self.records.iter();
        let eligible = records.filter(|(_, record)| record.is_eligible());
        let hosts = eligible.map(|(key, _)| *key);
        self.home_index.home_of(resource, hosts)
    }

    /// The homes of a resource by rendezvous hashing, best first.
    pub fn homes_of(&self, resource: u64, count: usize) -> Vec<(HostKey, MemberInfo)> {
        rank_homes(resource, self.homes(), count)
    }

    /// The homes of a resource in a data centre: hosts there, or any host where none is left.
    ///
    /// A host's streams run mostly on engines of its own data centre. Homes there save a round trip
    /// between data centres for each permit, and let one message report on many engines.
    pub fn homes_in(
        &self,
        resource: u64,
        data_centre: &str,
        count: usize,
    ) -> Vec<(HostKey, MemberInfo)> {
        let local = self
            .homes()
            .filter(|(_, info)| info.data_centre == data_centre);
        let local = rank_homes(resource, local, count);
        if local.is_empty() {
            return self.homes_of(resource, count);
        }
        local
    }

    /// Every member that isn't dead, including this host.
    pub fn present(&self) -> impl Iterator<Item = &Rumour> {
        self.records
            .values()
            .map(|record| &record.rumour)
            .filter(|rumour| rumour.state != MemberState::Dead)
    }

    /// A present member by key.
    pub fn find(&self, key: HostKey) -> Option<&Rumour> {
        self.records
            .get(&key)
            .map(|record| &record.rumour)
            .filter(|rumour| rumour.state != MemberState::Dead)
    }

    fn others(&self) -> impl Iterator<Item = (HostKey, &MemberRecord)> {
        let own = self.own_key;
        self.records
            .iter()
            .filter(move |(key, record)| **key != own && record.rumour.state != MemberState::Dead)
            .map(|(key, record)| (*key, record))
    }

    /// Refutes a rumour against this host with a higher incarnation. Without this, a host that was
    /// paused for some seconds would stay dead to all others.
    fn refute(&mut self, now_ms: Millis, rumour: &Rumour) {
        let sends = self.send_count();
        let Some(own_record) = self.records.get_mut(&self.own_key) else {
            return;
        };
        let is_against = (rumour.incarnation, rumour.state)
            > (own_record.rumour.incarnation, own_record.rumour.state);
        if is_against {
            own_record.rumour.incarnation = rumour.incarnation + 1;
            own_record.since_ms = now_ms;
            own_record.sends_left = sends;
        }
    }

    fn insert(&mut self, now_ms: Millis, key: HostKey, rumour: Rumour, sends_left: u32) {
        let was_eligible = self.is_eligible(key);
        self.records.insert(
            key,
            MemberRecord {
                rumour,
                since_ms: now_ms,
                sends_left,
            },
        );
        self.apply_eligibility(key, was_eligible);
    }

    fn is_eligible(&self, key: HostKey) -> bool {
        self.records
            .get(&key)
            .is_some_and(MemberRecord::is_eligible)
    }

    /// Updates what is derived from the eligible members after a change of one of them.
    fn apply_eligibility(&mut self, key: HostKey, was_eligible: bool) {
        match (was_eligible, self.is_eligible(key)) {
            (false, true) => {
                self.home_index.add(key);
                self.digest = self.digest.wrapping_add(hash(key));
            }
            (true, false) => {
                self.home_index.remove(key);
                self.digest = self.digest.wrapping_sub(hash(key));
            }
            _ => return,
        }
        self.homes_version += 1;
    }

    fn send_count(&self) -> u32 {
        3 * (self.records.len() as u32 + 1).ilog2().max(1)
    }
}

fn hash(key: HostKey) -> u64 {
    rank(key.0, 0)
}

fn rank_homes<'a>(
    resource: u64,
    members: impl Iterator<Item = (HostKey, &'a MemberInfo)>,
    count: usize,
) -> Vec<(HostKey, MemberInfo)> {
    let mut ranked: Vec<(u64, HostKey, &MemberInfo)> = members
        .map(|(key, info)| (rank(resource, key.0), key, info))
        .collect();
    ranked.sort_by_key(|(rank, _, _)| std::cmp::Reverse(*rank));
    ranked.truncate(count);
    let ranked = ranked.into_iter();
    ranked.map(|(_, key, info)| (key, info.clone())).collect()
}
