//! Orders to engines, which bring each model's engines to the declared version.

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
/// Limit on orders per period, since loading a model reads from the rate-limited weight store.
const ORDERS_PER_PERIOD: usize = 2;

/// The model version that an engine should load.
pub struct DesiredVersion {
    /// Name of the engine.
    pub engine: String,
    /// Client of the engine.
    pub client: Arc<dyn Engine>,
    /// Name of the model.
    pub model: String,
    /// Declared version of the model.
    pub version: String,
}

/// Sends the orders of one model while it holds the model's lease.
pub struct OrderDispatcher {
    api: Arc<dyn ObjectApi>,
    clock: Clock,
    host: String,
    key: String,
    lease: Lease,
    /// Versions that engines accepted from this holder, by engine, with the fencing number.
    accepted: HashMap<String, (u64, String)>,
}

impl OrderDispatcher {
    /// Creates a dispatcher that doesn't hold the lease yet.
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

    /// Acquires or renews the lease where possible, then sends the orders that are due. Returns the
    /// number of accepted orders.
    ///
    /// # Errors
    /// [`PlatformError`]; no order is sent without a lease that was renewed in time.
    pub async fn run_once(&mut self, desired: &[DesiredVersion]) -> Result<usize, PlatformError> {
        self.renew_lease().await?;
        let mut count = 0;
        for target in desired {
            if count == ORDERS_PER_PERIOD {
                break;
            }
            // Checked before each order: the process may have been paused since the last one.
            let Some(fencing) = self.lease.order_fencing(self.now_ms()) else {
                return Ok(count);
            };
            let due = (fencing, target.version.clone());
            if self.accepted.get(&target.engine) == Some(&due) {
                continue;
            }
            if send_order(target, fencing).await {
                self.accepted.insert(target.engine.clone(), due);
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
            // Another host wrote the lease first; the next read returns its record.
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
    let time_limit = Duration::from_millis(ORDER_TIMEOUT_MS);
    let answer = tokio::time::timeout(time_limit, desired.client.order(&order)).await;
    match answer {
        Ok(Ok(true)) => {
            info!(
                "orders: {} accepted the order to load version {} of {}, fencing number {fencing}",
                desired.engine, desired.version, desired.model
            );
            true
        }
        Ok(Ok(false)) => {
            warn!(
                "orders: {} refused fencing number {fencing}: it has an order from a newer holder",
                desired.engine
            );
            false
        }
        _ => {
            warn!(
                "orders: {} did not confirm the order to load version {} of {}",
                desired.engine, desired.version, desired.model
            );
            false
        }
    }
}

impl Node {
    /// Sends orders for the models whose home this host is.
    pub(crate) async fn send_orders(self: Arc<Self>) {
        let mut dispatchers: HashMap<String, OrderDispatcher> = HashMap::new();
        loop {
            tokio::time::sleep(PERIOD).await;
            let Some(configuration) = self.documents.active() else {
                continue;
            };
            for model in &configuration.declarations.models {
                let resource = xxh3_64(format!("orders/{}", model.name).as_bytes());
                let home = self.members.lock().homes_of(resource, 1).pop();
                if home.is_none_or(|(key, _)| key != self.key) {
                    dispatchers.remove(&model.name);
                    continue;
                }
                let listing = self.documents.listing();
                let desired: Vec<DesiredVersion> = listing
                    .engines_of(&model.name)
                    .map(|engine| DesiredVersion {
                        engine: engine.entry.name.clone(),
                        client: engine.client.clone(),
                        model: model.name.clone(),
                        version: model.version.clone(),
                    })
                    .collect();
                let dispatcher = dispatchers.entry(model.name.clone()).or_insert_with(|| {
                    let api = self.object_api.clone();
                    OrderDispatcher::new(api, self.clock, &self.settings.host, &model.name)
                });
                if let Err(error) = dispatcher.run_once(&desired).await {
                    warn!(
                        "orders: could not read or write the lease of model {}: {error}",
                        model.name
                    );
                }
            }
        }
    }
}
