//! Carries on a generation when the link to its engine is lost in the middle of its stream.
//!
//! A lost link resets no connection, so the stream is silent, although the engine generates on and
//! other hosts reach it. Without this the stream would break once the connection's keepalive
//! failed, after seconds.

use std::time::Duration;

use fulmarpath_policy::Millis;
use spdlog::info;

use crate::relay::{Relay, StoppedGeneration};
use crate::upstreams::instance::Destination;

/// Multiple of the route's gap target after which the link to a silent engine is checked. Engines
/// are often silent for shorter times while they read other prompts.
const SILENCE_TARGETS: Millis = 2;
/// Time between two checks of the link to an engine that stays silent.
const LINK_CHECK_PERIOD_MS: Millis = 1_000;
/// Time limit of such a check: several round trips between data centres.
const LINK_CHECK_LIMIT: Duration = Duration::from_millis(150);

impl Relay {
    /// When to check the link to an engine that has been silent since `since_ms`.
    pub(crate) fn link_check_ms(&self, since_ms: Millis, target_ms: Millis) -> Millis {
        let silent_ms = since_ms + target_ms * SILENCE_TARGETS;
        silent_ms.max(self.link_checked_ms + LINK_CHECK_PERIOD_MS)
    }

    /// If the link to a silent engine is lost, stops the generation there, over a tunnel, so that it
    /// can resume; returns whether it has been stopped.
    pub(crate) async fn stop_over_tunnel(&mut self) -> bool {
        let gateway = self.gateway.clone();
        self.link_checked_ms = gateway.clock.now_ms();
        let source = self.stream.address();
        let link = gateway.dial.test_own_link(source, LINK_CHECK_LIMIT).await;
        if link.is_ok() {
            return false;
        }
        let traits = gateway.engine_traits(&self.inbound.service);
        let to = self.other_engine();
        let Some(to) = to.filter(|_| traits.is_some_and(|traits| traits.can_move)) else {
            return false;
        };
        let id = self.tracker.id.clone();
        let stopped = gateway
            .control
            .stop_and_copy(&gateway.dial, source, &id, to.address)
            .await;
        info!(
            "moves: request {id} leaves engine {}, to which this host's link is lost: {}",
            self.stream.in_flight.chosen.instance,
            if stopped.is_ok() {
                "copied"
            } else {
                "not copied"
            }
        );
        self.stopped = StoppedGeneration::confirmed(stopped, to);
        self.stopped.is_some()
    }

    /// An engine that may take the generation over.
    fn other_engine(&self) -> Option<Destination> {
        let now_ms = self.gateway.clock.now_ms();
        let source = self.stream.engine().upstream;
        let instances = &self.gateway.instances;
        instances.other_destination(now_ms, &self.inbound.service, source)
    }
}
