//! Orders to engines: one holder at a time, whatever the holder's pauses.

mod common;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use common::Fake;
use fulmarpath_cluster::{
    Clock, DesiredVersion, LEASE_MS, Lease, LeaseAction, LeaseRecord, ORDER_TIMEOUT_MS,
    OrderDispatcher,
};
use fulmarpath_upstream::{
    CacheEvents, Engine, EngineError, GenerateRequest, LoadReport, Order, ResumeRequest,
    TokenStream,
};
use parking_lot::Mutex;

/// An engine that only takes orders.
struct FakeEngine {
    checks: bool,
    taken: Mutex<Vec<Order>>,
    /// The orderer's process is paused for so long while this engine takes an order.
    pause_ms: u64,
}

#[async_trait]
impl Engine for FakeEngine {
    async fn generate(&self, _: &GenerateRequest) -> Result<Box<dyn TokenStream>, EngineError> {
        Err(EngineError::Unknown)
    }

    async fn resume(&self, _: &ResumeRequest) -> Result<Box<dyn TokenStream>, EngineError> {
        Err(EngineError::Unknown)
    }

    async fn cancel(&self, _: &str) -> Result<(), EngineError> {
        Ok(())
    }

    async fn load(&self) -> Result<LoadReport, EngineError> {
        Ok(LoadReport::default())
    }

    async fn cache_events(&self, _: u64) -> Result<CacheEvents, EngineError> {
        Ok(CacheEvents::default())
    }

    async fn order(&self, order: &Order) -> Result<bool, EngineError> {
        tokio::time::advance(Duration::from_millis(self.pause_ms)).await;
        let mut taken = self.taken.lock();
        let newest = taken.iter().map(|order| order.fencing).max().unwrap_or(0);
        if self.checks && order.fencing < newest {
            return Ok(false);
        }
        taken.push(order.clone());
        Ok(true)
    }
}

fn desired(engine: &Arc<FakeEngine>, version: &str) -> Vec<DesiredVersion> {
    vec![DesiredVersion {
        engine: "engine-1".to_owned(),
        client: engine.clone(),
        model: "gutachter-lm".to_owned(),
        version: version.to_owned(),
    }]
}

fn numbers(engine: &FakeEngine) -> Vec<u64> {
    engine
        .taken
        .lock()
        .iter()
        .map(|order| order.fencing)
        .collect()
}

/// Two hosts believe to be home of a model. The one that holds the lease is paused past it; the
/// other takes over with a higher number after the lease and an order's way have passed. The
/// paused one wakes with an order in hand and gives none, to engines that check the number and to
/// those that ignore it.
#[tokio::test(start_paused = true)]
async fn a_holder_paused_past_its_lease_gives_no_order() {
    for checks in [true, false] {
        let api = Arc::new(Fake::default());
        let clock = Clock::start();
        let engine = Arc::new(FakeEngine {
            checks,
            taken: Mutex::default(),
            pause_ms: 0,
        });
        let mut paused = OrderDispatcher::new(api.clone(), clock, "host-1", "gutachter-lm");
        let mut other = OrderDispatcher::new(api.clone(), clock, "host-2", "gutachter-lm");
        assert_eq!(paused.run_once(&desired(&engine, "1")).await, Ok(1));
        assert_eq!(other.run_once(&desired(&engine, "2")).await, Ok(0));
        tokio::time::advance(Duration::from_millis(LEASE_MS + ORDER_TIMEOUT_MS)).await;
        assert_eq!(other.run_once(&desired(&engine, "2")).await, Ok(1));
        assert_eq!(paused.run_once(&desired(&engine, "3")).await, Ok(0));
        assert_eq!(numbers(&engine), [1, 2]);
    }
}

/// The holder is paused in the middle of a turn, after it has read and renewed its lease and given
/// a first order. When it wakes the lease is over, and the second engine, which ignores the
/// number, must get no order.
#[tokio::test(start_paused = true)]
async fn a_pause_between_two_orders_stops_the_second() {
    let api = Arc::new(Fake::default());
    let engine = |pause_ms| {
        Arc::new(FakeEngine {
            checks: false,
            taken: Mutex::default(),
            pause_ms,
        })
    };
    let (first, second) = (engine(LEASE_MS - ORDER_TIMEOUT_MS), engine(0));
    let mut desired_of_both = desired(&first, "1");
    desired_of_both.extend(desired(&second, "1"));
    desired_of_both[1].engine = "engine-2".to_owned();
    let mut holder = OrderDispatcher::new(api, Clock::start(), "host-1", "gutachter-lm");
    assert_eq!(holder.run_once(&desired_of_both).await, Ok(1));
    assert_eq!((numbers(&first), numbers(&second)), (vec![1], vec![]));
}

/// The platform is down: the holder can't read its lease, and gives no order.
#[tokio::test(start_paused = true)]
async fn without_the_platform_no_order_is_given() {
    let api = Arc::new(Fake::default());
    let clock = Clock::start();
    let engine = Arc::new(FakeEngine {
        checks: false,
        taken: Mutex::default(),
        pause_ms: 0,
    });
    let mut holder = OrderDispatcher::new(api.clone(), clock, "host-1", "gutachter-lm");
    assert_eq!(holder.run_once(&desired(&engine, "1")).await, Ok(1));
    *api.down.lock() = true;
    tokio::time::advance(Duration::from_millis(LEASE_MS)).await;
    assert!(holder.run_once(&desired(&engine, "2")).await.is_err());
    assert_eq!(numbers(&engine), [1]);
}

struct Case {
    after_ms: u64,
    waits: bool,
}

#[test]
fn a_successor_waits_out_the_lease_and_an_orders_way() {
    let record = LeaseRecord {
        holder: "host-1".to_owned(),
        fencing: 4,
        renewal: 9,
    };
    let cases = [
        Case {
            after_ms: LEASE_MS,
            waits: true,
        },
        Case {
            after_ms: LEASE_MS + ORDER_TIMEOUT_MS - 1,
            waits: true,
        },
        Case {
            after_ms: LEASE_MS + ORDER_TIMEOUT_MS,
            waits: false,
        },
    ];
    for case in cases {
        let mut lease = Lease::default();
        let read = || Some((7, record.clone()));
        assert_eq!(lease.decide(1_000, "host-2", read()), LeaseAction::Wait);
        let turn = lease.decide(1_000 + case.after_ms, "host-2", read());
        assert_eq!(turn == LeaseAction::Wait, case.waits);
        if let LeaseAction::Write { over, record } = turn {
            assert_eq!((over, record.fencing), (Some(7), 5));
        }
    }
}
