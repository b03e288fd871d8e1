//! Fair queueing between organisations by virtual token counters.
//!
//! Each organisation is charged its tokens divided by its weight. The one charged least is served
//! first, and none may run ahead of a waiting one by more than a bound. (Sheng et al., "Fairness
//! in Serving Large Language Models", OSDI 2024.)

use std::collections::HashMap;

use crate::key::OrganisationKey;

#[derive(Debug, Clone, Copy)]
struct Account {
    charged: f64,
    weight: f64,
    /// Tokens of engine memory in use.
    held_tokens: u64,
    queued: u32,
    running: u32,
}

/// The counters of all active organisations at one engine.
#[derive(Debug, Default)]
pub struct Fairness {
    accounts: HashMap<OrganisationKey, Account>,
    /// Charge at which idle organisations start: the highest value that the lowest charge of the
    /// busy ones has reached.
    floor: f64,
}

impl Fairness {
    /// Counts a queued request.
    ///
    /// An organisation that was idle starts at the floor. Credit from idle time would let it block
    /// all others for as long as it had been idle.
    pub fn enqueue(&mut self, organisation: OrganisationKey, weight: f32) {
        let floor = self.floor;
        let account = self.accounts.entry(organisation).or_insert(Account {
            charged: floor,
            weight: 1.0,
            held_tokens: 0,
            queued: 0,
            running: 0,
        });
        account.weight = f64::from(weight.max(0.01));
        if account.queued == 0 && account.running == 0 {
            account.charged = account.charged.max(floor);
        }
        account.queued += 1;
    }

    /// Counts a request that left the queue without a permit.
    pub fn dequeue(&mut self, organisation: OrganisationKey) {
        if let Some(account) = self.accounts.get_mut(&organisation) {
            account.queued = account.queued.saturating_sub(1);
        }
        self.forget(organisation);
    }

    /// Counts a granted request that holds `tokens`.
    pub fn start(&mut self, organisation: OrganisationKey, tokens: u32) {
        if let Some(account) = self.accounts.get_mut(&organisation) {
            account.queued = account.queued.saturating_sub(1);
            account.running += 1;
        }
        self.charge(organisation, tokens);
    }

    /// Charges `tokens` that a generation holds in addition.
    pub fn charge(&mut self, organisation: OrganisationKey, tokens: u32) {
        if let Some(account) = self.accounts.get_mut(&organisation) {
            account.charged += f64::from(tokens) / account.weight;
            account.held_tokens += u64::from(tokens);
        }
    }

    /// Counts the end of a generation that held `tokens`.
    pub fn end(&mut self, organisation: OrganisationKey, tokens: u32) {
        if let Some(account) = self.accounts.get_mut(&organisation) {
            account.running = account.running.saturating_sub(1);
            account.held_tokens = account.held_tokens.saturating_sub(u64::from(tokens));
        }
        self.raise_floor();
        self.forget(organisation);
    }

    /// How far an organisation is ahead of the least served waiting one, in tokens per weight.
    pub fn lead(&self, organisation: OrganisationKey) -> f64 {
        let Some(account) = self.accounts.get(&organisation) else {
            return 0.0;
        };
        account.charged - self.least_waiting()
    }

    /// The charge of the least served waiting organisation, in tokens per weight.
    pub fn least_waiting(&self) -> f64 {
        let waiting = self.accounts.values().filter(|other| other.queued > 0);
        waiting
            .map(|other| other.charged)
            .fold(f64::INFINITY, f64::min)
    }

    /// The charge of an organisation, in tokens per weight.
    pub fn charged(&self, organisation: OrganisationKey) -> f64 {
        self.accounts
            .get(&organisation)
            .map_or(self.floor, |account| account.charged)
    }

    /// Engine memory held by an organisation.
    pub fn held_tokens(&self, organisation: OrganisationKey) -> u64 {
        self.accounts
            .get(&organisation)
            .map_or(0, |account| account.held_tokens)
    }

    /// Number of organisations with a counter.
    pub fn active(&self) -> usize {
        self.accounts.len()
    }

    fn raise_floor(&mut self) {
        let least = self
            .accounts
            .values()
            .filter(|account| account.queued + account.running > 0)
            .map(|account| account.charged)
            .fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            self.floor = self.floor.max(least);
        }
    }

    /// Drops an idle account whose charge is not above the floor, which bounds the table by the
    /// number of active organisations.
    fn forget(&mut self, organisation: OrganisationKey) {
        let Some(account) = self.accounts.get(&organisation) else {
            return;
        };
        if account.queued + account.running == 0 && account.charged <= self.floor {
            self.accounts.remove(&organisation);
        }
    }
}
