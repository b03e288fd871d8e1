//! Grants the starts of requests at brittle upstreams, which fall over if they have to turn away
//! many requests. One host per upstream grants them, as for upstreams that advertise a limit.

use std::collections::HashMap;
use std::sync::Arc;

use fulmarpath_policy::{BrittleStarts, Millis, UpstreamKey};
use fulmarpath_wire::{BrittleLoad, GatewayPeerClient, MemberInfo, NoAnswer, StartAnswer};
use parking_lot::Mutex;
use spdlog::warn;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::upstreams::start_limits::{
    FRACTION_WITHOUT_HOME, HOME_TIMEOUT, REQUEST_TIMEOUT, start_answer,
};

/// The starts that this host has granted at brittle upstreams.
#[derive(Debug, Default)]
pub(crate) struct BrittleLimiter {
    starts: Mutex<HashMap<UpstreamKey, BrittleStarts>>,
}

impl BrittleLimiter {
    fn grant(&self, now_ms: Millis, upstream: UpstreamKey, load: BrittleLoad) -> StartAnswer {
        let mut starts = self.starts.lock();
        starts.retain(|_, starts| !starts.is_idle(now_ms));
        let starts = starts.entry(upstream).or_default();
        start_answer(starts.grant(now_ms, load.slots, load.duration_ms))
    }

    fn record_rejection(&self, now_ms: Millis, upstream: UpstreamKey) {
        let mut starts = self.starts.lock();
        starts.entry(upstream).or_default().record_rejection(now_ms);
    }
}

impl Gateway {
    /// Requests a start from the home of an upstream if it is brittle.
    ///
    /// # Errors
    /// How long to wait before the next request, in ms.
    pub(crate) async fn request_start_if_brittle(
        &self,
        upstream: UpstreamKey,
    ) -> Result<(), Millis> {
        let Some(load) = self.instances.brittle_load(upstream) else {
            return Ok(());
        };
        let answer = match self.home_of_starts(upstream) {
            Some(home) => self.request_brittle_start(&home, upstream, load).await,
            None => self.grant_brittle_start(upstream, load),
        };
        match answer {
            StartAnswer::Now => Ok(()),
            StartAnswer::Later { wait_ms } => {
                self.metrics.brittle_waits.inc();
                Err(wait_ms)
            }
        }
    }

    async fn request_brittle_start(
        &self,
        home: &MemberInfo,
        upstream: UpstreamKey,
        load: BrittleLoad,
    ) -> StartAnswer {
        let call = |client: GatewayPeerClient, context| async move {
            client.ask_brittle_start(context, upstream, load).await
        };
        let reply = (self.fleet.peers).call_with_timeout(home.address, REQUEST_TIMEOUT, call);
        let no_answer = NoAnswer {
            address: home.address,
        };
        let answer = timeout(HOME_TIMEOUT, reply).await;
        answer.unwrap_or(Err(no_answer)).unwrap_or_else(|error| {
            warn!(
                "starts: brittle upstream {:016x} gets only this host's share: {error}",
                upstream.0
            );
            self.grant_share(upstream, load)
        })
    }

    /// Grants a start as the home of a brittle upstream. A host without recent contact to another
    /// takes itself for the home of every upstream, and grants only its own share.
    pub(crate) fn grant_brittle_start(
        &self,
        upstream: UpstreamKey,
        load: BrittleLoad,
    ) -> StartAnswer {
        let now_ms = self.clock.now_ms();
        let is_home =
            self.fleet.has_recent_contact(now_ms) && self.home_of_starts(upstream).is_none();
        match is_home {
            true => self.brittle_limiter.grant(now_ms, upstream, load),
            false => self.grant_share(upstream, load),
        }
    }

    /// Grants one start in the time that all hosts together may use a part of the slots.
    fn grant_share(&self, upstream: UpstreamKey, load: BrittleLoad) -> StartAnswer {
        let hosts = self.fleet.host_count().max(1) as f32;
        let shared_slots = load.slots.max(1) as f32 * FRACTION_WITHOUT_HOME;
        let share = BrittleLoad {
            slots: 1,
            duration_ms: load.duration_ms * (hosts / shared_slots).max(1.0),
        };
        self.brittle_limiter
            .grant(self.clock.now_ms(), upstream, share)
    }

    /// Reports to the home of a brittle upstream that it has turned a request away.
    pub(crate) fn report_rejection(self: &Arc<Self>, upstream: UpstreamKey) {
        if self.instances.brittle_load(upstream).is_none() {
            return;
        }
        let Some(home) = self.home_of_starts(upstream) else {
            return self.handle_rejection(upstream);
        };
        let gateway = self.clone();
        tokio::spawn(async move {
            let call = |client: GatewayPeerClient, context| async move {
                client.report_rejection(context, upstream).await
            };
            if let Err(error) = gateway.fleet.peers.call(home.address, call).await {
                warn!(
                    "starts: could not report that upstream {:016x} is full: {error}",
                    upstream.0
                );
            }
        });
    }

    /// Records a rejection as the home of a brittle upstream.
    pub(crate) fn handle_rejection(&self, upstream: UpstreamKey) {
        let now_ms = self.clock.now_ms();
        self.brittle_limiter.record_rejection(now_ms, upstream);
    }
}
