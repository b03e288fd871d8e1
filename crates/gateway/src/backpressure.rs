//! Takes what upstreams ask of their callers, and writes down what changes.

use fulmarpath_policy::Signals;
use spdlog::info;

use crate::gateway::Gateway;
use crate::instance::Chosen;

impl Gateway {
    /// Takes what the head of an upstream's own answer asks for.
    pub(crate) fn hear_signals(&self, chosen: &Chosen, signals: Signals) {
        let now_ms = self.clock.now_ms();
        let heard = self
            .instances
            .hear_signals(now_ms, chosen.upstream, signals);
        let (before, after) = heard;
        let instance = &chosen.instance;
        match (before.limit_per_s(), after.limit_per_s()) {
            (before, after) if before == after => {}
            (_, Some(limit)) => {
                info!("backpressure: {instance} takes {limit} requests a second from all hosts")
            }
            (_, None) => info!("backpressure: {instance} names no limit any more"),
        }
        if let Some(rest_ms) = signals.rest_ms {
            info!("backpressure: {instance} wants nothing from this host for {rest_ms} ms");
        }
        if after.is_leaving() && !before.is_leaving() {
            info!("backpressure: {instance} says that it leaves");
        }
    }
}
