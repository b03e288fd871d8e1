//! Puts the pages of a long list of upstreams together, which arrive in any order.

use std::collections::HashMap;

use fulmarpath_policy::{Millis, Revision};

use crate::roster::directory::{DirectoryChange, ListedPage};

/// Time without a page after which the rest of a list is not expected any more: several times the
/// time in which a watcher reads a page.
const STALLED_AFTER_MS: Millis = 500;

/// The pages of one list.
#[derive(Debug, Default)]
pub struct ListAssembly {
    revision: Revision,
    /// Pages by the last name on the page before.
    pages: HashMap<Option<String>, ListedPage>,
    updated_ms: Millis,
}

impl ListAssembly {
    /// Adds a page; returns the complete list with the last one that was missing. Pages of another
    /// list are ignored while those of one arrive.
    pub fn add(&mut self, now_ms: Millis, page: ListedPage) -> Option<DirectoryChange> {
        if page.revision != self.revision {
            if self.is_progressing(now_ms) {
                return None;
            }
            self.revision = page.revision;
            self.pages.clear();
        }
        self.updated_ms = now_ms;
        self.pages.insert(page.after.clone(), page);
        if !self.is_complete() {
            return None;
        }
        let pages = std::mem::take(&mut self.pages);
        Some(DirectoryChange {
            revision: self.revision,
            put: pages.into_values().flat_map(|page| page.put).collect(),
            ..DirectoryChange::default()
        })
    }

    /// Whether pages have arrived lately and more are expected.
    pub fn is_progressing(&self, now_ms: Millis) -> bool {
        !self.pages.is_empty() && now_ms.saturating_sub(self.updated_ms) < STALLED_AFTER_MS
    }

    /// Whether the pages lead from the first one to the last one.
    fn is_complete(&self) -> bool {
        let mut after = &None;
        while let Some(page) = self.pages.get(after) {
            if page.up_to.is_none() {
                return true;
            }
            after = &page.up_to;
        }
        false
    }
}
