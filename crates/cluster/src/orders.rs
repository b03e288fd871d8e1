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
use crate::lease::{Lease, LeaseRecord, ORDER_MS, Turn};
use crate::node::Node;

const PERIOD: Duration = Duration::from_millis(1_000);
/// Orders given in one period: loads read from the weight store, which is rate-limited.
const LOADS_A_PERIOD: usize = 2;

/// What an engine is to have, and the engine.
pub struct Wanted {
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
pub struct Orderer {
    api: Arc<dyn ObjectApi>,
    clock: Clock,
    me: String,
    key: String,
    lease: Lease,
    /// Versions that engines took from this holder under its present fencing number.
    given: HashMap<String, (u64, String)>,
}

impl Orderer {
    /// An orderer that holds nothing yet.
    pub fn new(api: Arc<dyn ObjectApi>, clock: Clock, me: &str, model: &str) -> Self {
        Self {
            api,
            clock,
            me: me.to_owned(),
            key: format!("fulmarpath/orders/{model}"),
            lease: Lease::default(),
            given: HashMap::new(),
        }
    }

    /// Takes or renews the lease where it can, then gives the orders that are due; tells how many.
    ///
    /// # Errors
    /// The platform's; no order is given without a lease that was renewed in time.
    pub async fn turn(&mut self, wanted: &[Wanted]) -> Result<usize, PlatformError> {
        self.hold().await?;
        let mut count = 0;
        for one in wanted {
            if count == LOADS_A_PERIOD {
                break;
            }
            // Asked before each order: the process may have been paused since the last one.
            let Some(fencing) = self.lease.may_order(self.now_ms()) else {
                return Ok(count);
            };
            let due = (fencing, one.version.clone());
            if self.given.get(&one.engine) == Some(&due) {
                continue;
            }
            if give(one, fencing).await {
                self.given.insert(one.engine.clone(), due);
                count += 1;
            }
        }
        Ok(count)
    }

    fn now_ms(&self) -> Millis {
        self.clock.now_ms()
    }

    async fn hold(&mut self) -> Result<(), PlatformError> {
        let object = self.api.read(&self.key).await?;
        let read = object.and_then(|object| {
            let record: LeaseRecord = serde_json::from_slice(&object.value).ok()?;
            Some((object.version, record))
        });
        let turn = self.lease.decide(self.now_ms(), &self.me, read);
        let Turn::Write { over, record } = turn else {
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

async fn give(wanted: &Wanted, fencing: u64) -> bool {
    let order = Order {
        fencing,
        kind: OrderKind::LoadModel {
            model: wanted.model.clone(),
            version: wanted.version.clone(),
        },
    };
    let bound = Duration::from_millis(ORDER_MS);
    let answer = tokio::time::timeout(bound, wanted.client.order(&order)).await;
    match answer {
        Ok(Ok(true)) => {
            info!("orders: {} loads version {}", wanted.engine, wanted.version);
            true
        }
        Ok(Ok(false)) => {
            warn!("orders: {} has seen a newer holder", wanted.engine);
            false
        }
        _ => {
            warn!("orders: {} does not answer", wanted.engine);
            false
        }
    }
}

impl Node {
    /// Gives orders for the models whose home this host is.
    pub(crate) async fn give_orders(self: Arc<Self>) {
        let mut orderers: HashMap<String, Orderer> = HashMap::new();
        loop {
            tokio::time::sleep(PERIOD).await;
            let Some(in_force) = self.documents.in_force() else {
                continue;
            };
            for model in &in_force.declarations.models {
                let thing = xxh3_64(format!("orders/{}", model.name).as_bytes());
                let home = self.members.lock().homes_of(thing, 1).pop();
                if home.is_none_or(|(key, _)| key != self.key) {
                    orderers.remove(&model.name);
                    continue;
                }
                let listing = self.documents.listing();
                let wanted: Vec<Wanted> = listing
                    .engines_of(&model.name)
                    .map(|upstream| Wanted {
                        engine: upstream.entry.name.clone(),
                        client: upstream.engine.clone(),
                        model: model.name.clone(),
                        version: model.version.clone(),
                    })
                    .collect();
                let orderer = orderers.entry(model.name.clone()).or_insert_with(|| {
                    let api = self.object_api.clone();
                    Orderer::new(api, self.clock, &self.settings.host, &model.name)
                });
                if orderer.turn(&wanted).await.is_err() {
                    warn!("orders: no word from the platform about {}", model.name);
                }
            }
        }
    }
}
