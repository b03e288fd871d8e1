//! The suspected contents that a home knows, weighed against each other.

use std::collections::HashMap;

use crate::circuit::Companions;
use crate::circuit::suspect::{CRASH_EXPIRY_MS, ContentKind, Crash, Suspect};
use crate::key::{ContentKey, Millis};

/// Maximum number of suspected contents: about 1.5 MB. Those with the fewest crashes are evicted, the
/// oldest first.
const MAX_SUSPECTS: usize = 4_096;
/// Number of suspects that remain after an eviction, which sorts all of them.
const SUSPECTS_AFTER_EVICTION: usize = 3_072;
/// Maximum number of other contents that are weighed as the cause of the same crashes, in pairs.
const MAX_WEIGHED: usize = 128;

/// Suspected contents.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspects {
    all: HashMap<ContentKey, Suspect>,
}

impl Suspects {
    pub(super) fn get(&self, content: ContentKey) -> Option<&Suspect> {
        self.all.get(&content)
    }

    pub(super) fn get_mut(&mut self, content: ContentKey) -> Option<&mut Suspect> {
        self.all.get_mut(&content)
    }

    pub(super) fn get_or_insert(&mut self, content: ContentKey, suspect: Suspect) -> &mut Suspect {
        self.all.entry(content).or_insert(suspect)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (ContentKey, &Suspect)> {
        self.all
            .iter()
            .map(|(content, suspect)| (*content, suspect))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (ContentKey, &mut Suspect)> {
        let all = self.all.iter_mut();
        all.map(|(content, suspect)| (*content, suspect))
    }

    pub(super) fn remove(&mut self, content: ContentKey) {
        self.all.remove(&content);
    }

    /// Makes room for further suspects.
    pub(super) fn evict(&mut self, now_ms: Millis) {
        if self.all.len() < MAX_SUSPECTS {
            return;
        }
        self.all
            .retain(|_, suspect| now_ms.saturating_sub(suspect.reported_ms) < CRASH_EXPIRY_MS);
        let rank = |(content, suspect): (ContentKey, &Suspect)| {
            (suspect.crashes.len(), suspect.reported_ms, content)
        };
        let mut ranked: Vec<_> = self.iter().map(rank).collect();
        ranked.sort_unstable();
        let surplus = ranked.len().saturating_sub(SUSPECTS_AFTER_EVICTION);
        for (_, _, content) in &ranked[..surplus] {
            self.remove(*content);
        }
    }

    /// Whether a content of other requests was on all the same upstreams. Either one may then be
    /// the cause, as when two requests are retried on other upstreams together. Running one at a
    /// time tells them apart.
    pub(super) fn has_rival(&self, content: ContentKey, crashes: &[Crash]) -> bool {
        let mut others = self.iter().filter(|(other, _)| *other != content);
        others.any(|(_, other)| other.came_with(crashes) == Some(false))
    }

    /// Whether requests with a part for one model were on all upstreams that crashed with the part.
    pub(super) fn is_in_one_model(&self, content: ContentKey, crashes: &[Crash]) -> bool {
        let mut others = self.all.values();
        others.any(|other| {
            let is_in_model = other.kind == ContentKind::PartInModel;
            let is_same_part = is_in_model && other.sibling == Some(content);
            is_same_part && other.came_with(crashes).is_some()
        })
    }

    /// Whether two contents stand for the same part, one of them for any model.
    pub(super) fn are_of_one_part(&self, one: ContentKey, two: ContentKey) -> bool {
        let is_sibling = |of: ContentKey, content| {
            let suspect = self.get(of);
            suspect.is_some_and(|suspect| suspect.sibling == Some(content))
        };
        is_sibling(one, two) || is_sibling(two, one)
    }

    /// What came with a content on the upstreams that crashed with it.
    pub(super) fn companions(&self, content: ContentKey, crashes: &[Crash]) -> Companions {
        let Some(suspect) = self.get(content) else {
            return Companions::none();
        };
        if suspect.kind == ContentKind::Whole {
            return Companions::none();
        }
        let others = self.others_on(content, crashes);
        let with_crashes = |enough: usize| {
            let found = others.iter().filter(|(_, is_on)| count(is_on) >= enough);
            found.map(|(key, _)| *key).collect()
        };
        let mut companions = Companions {
            is_sole_cause: !is_covered(&suspect.weighed(crashes), &others),
            common: with_crashes(crashes.len()),
            frequent: with_crashes(2),
        };
        companions.truncate();
        companions
    }

    /// The other contents on upstreams that crashed with a part, and on which of these they were;
    /// those on the most first.
    fn others_on(&self, content: ContentKey, crashes: &[Crash]) -> Vec<(ContentKey, Vec<bool>)> {
        let others = self
            .iter()
            .filter(|(key, _)| *key != content && !self.are_of_one_part(*key, content));
        let mut others: Vec<(ContentKey, Vec<bool>)> = others
            .map(|(key, other)| (key, other.is_on(crashes)))
            .filter(|(_, is_on)| is_on.contains(&true))
            .collect();
        others.sort_unstable_by_key(|(key, is_on)| (std::cmp::Reverse(count(is_on)), *key));
        others.truncate(MAX_WEIGHED);
        others
    }
}

fn count(is_on: &[bool]) -> usize {
    is_on.iter().filter(|is_on| **is_on).count()
}

/// Whether one or two other contents were on each of the upstreams that `weighed` selects. Two,
/// because several parts that crash upstreams may have come with one harmless part.
fn is_covered(weighed: &[bool], others: &[(ContentKey, Vec<bool>)]) -> bool {
    let covers = |one: &[bool], two: &[bool]| {
        let mut each = weighed.iter().zip(one.iter().zip(two));
        each.all(|(is_weighed, (one, two))| !is_weighed || *one || *two)
    };
    let mut pairs = others
        .iter()
        .enumerate()
        .flat_map(|(index, one)| others[index..].iter().map(move |two| (one, two)));
    pairs.any(|((_, one), (_, two))| covers(one, two))
}
