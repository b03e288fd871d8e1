//! Orders to engines: each model's engines are to have the version that is declared.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmarpath_policy::Millis;
use fulmarpath_store::{ObjectApi, PlatformError};
use fulmarpath_upstream::{Engine, Order, OrderKind};
use spdlog::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::lease::{Lease, LeaseAction, LeaseRecord, ORDER_TIMEOUT_MS};
use crate::node::Node;

const PERIOD: Duration = Duration::from_millis(1_000);
/// Orders accepted in one period: loads read from the weight store, which is rate-limited.
const ORDERS_PER_PERIOD: usize = 2;

/// What an engine is to have, and the engine.
pub struct DesiredVersion {
    /// The engine's name.
    pub engine: String,
    /// Its client.
    pub client: Arc<dyn Engine>,
    /// The model.
    pub model: String,
    /// The version.
    pub version: String,
}

/// Gives the orders of one model while it holds the model's lease.
pub struct OrderDispatcher {
    api: Arc<dyn ObjectApi>,
    clock: Clock,
    host: String,
    key: String,
    lease: Lease,
    /// Versions that engines took from this holder under its present fencing number.
    accepted: HashMap<String, (u64, String)>,
}

impl OrderDispatcher {
    /// An dispatcher that holds nothing yet.
    pub fn new(api: Arc<dyn ObjectApi>, clock: Clock, host: &str, model: &str) -> Self {
        Self {
            api,
            clock,
            host: host.to_owned(),
            key: format!("fulmarpath/orders/{model}"),
            lease: Lease::default(),
            accepted: HashMap::new(),
        }
    }

    /// Takes or renews the lease where it can, then gives the orders that are due; tells how many.
    ///
    /// # Errors
    /// The platform's; no order is accepted without a lease that was renewed in time.
    pub async fn run_once(&mut self, desired: &[DesiredVersion]) -> Result<usize, PlatformError> {
        self.renew_lease().await?;
        let mut count = 0;
        for one in desired {
            if count == ORDERS_PER_PERIOD {
                break;
            }
            // Asked before each order: the process may have been paused since the last one.
            let Some(fencing) = self.lease.order_fencing(self.now_ms()) else {
                return Ok(count);
            };
            let due = (fencing, one.version.clone());
            if self.accepted.get(&one.engine) == Some(&due) {
                continue;
            }
            if send_order(one, fencing).await {
                self.accepted.insert(one.engine.clone(), due);
                count += 1;
            }
        }
        Ok(count)
    }

    fn now_ms(&self) -> Millis {
        self.clock.now_ms()
    }

    async fn renew_lease(&mut self) -> Result<(), PlatformError> {
        let object = self.api.read(&self.key).await?;
        let read = object.and_then(|object| {
            let record: LeaseRecord = serde_json::from_slice(&object.value).ok()?;
            Some((object.version, record))
        });
        let action = self.lease.decide(self.now_ms(), &self.host, read);
        let LeaseAction::Write { over, record } = action else {
            return Ok(());
        };
        let sent_ms = self.now_ms();
        let value = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
        let written = match over {
            Some(version) => self.api.replace(&self.key, value, version).await,
            None => self.api.create(&self.key, value).await,
        };
        match written {
            Ok(version) => {
                self.lease.accepted(sent_ms, record, version);
                Ok(())
            }
            // Somebody else was quicker; the next read tells who.
            Err(PlatformError::Conflict { .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }
}

async fn send_order(desired: &DesiredVersion, fencing: u64) -> bool {
    let order = Order {
        fencing,
        kind: OrderKind::LoadModel {
            model: desired.model.clone(),
            version: desired.version.clone(),
        },
    };
    let bound = Duration::from_millis(ORDER_TIMEOUT_MS);
    let answer = tokio::time::timeout(bound, desired.client.order(&order)).await;
    match answer {
        Ok(Ok(true)) => {
            info!(
                "orders: {} loads version {}",
                desired.engine, desired.version
            );
            true
        }
        Ok(Ok(false)) => {
            warn!("orders: {} has seen a newer holder", desired.engine);
            false
        }
        _ => {
            warn!("orders: {} does not answer", desired.engine);
            false
        }
    }
}

impl Node {
    /// Gives orders for the models whose home this host is.
    pub(crate) async fn send_orders(self: Arc<Self>) {
        let mut dispatchers: HashMap<String, OrderDispatcher> = HashMap::new();
        loop {
            tokio::time::sleep(PERIOD).await;
            let Some(configuration) = self.documents.active() else {
                continue;
            };
            for model in &configuration.declarations.models {
                let thing = xxh3_64(format!("orders/{}", model.name).as_bytes());
                let home = self.members.lock().homes_of(thing, 1).pop();
                if home.is_none_or(|(key, _)| key != self.key) {
                    dispatchers.remove(&model.name);
                    continue;
                }
                let listing = self.documents.listing();
                let desired: Vec<DesiredVersion> = listing
                    .engines_of(&model.name)
                    .map(|upstream| DesiredVersion {
                        engine: upstream.entry.name.clone(),
                        client: upstream.engine.clone(),
                        model: model.name.clone(),
                        version: model.version.clone(),
                    })
                    .collect();
                let dispatcher = dispatchers.entry(model.name.clone()).or_insert_with(|| {
                    let api = self.object_api.clone();
                    OrderDispatcher::new(api, self.clock, &self.settings.host, &model.name)
                });
                if dispatcher.run_once(&desired).await.is_err() {
                    warn!("orders: no word from the platform about {}", model.name);
                }
            }
        }
    }
}
