//! Tests that orders to engines come from one lease holder at a time, however long a holder pauses.

mod common;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use common::FakeObjectApi;
use fulmarpath_cluster::{
    Clock, DesiredVersion, LEASE_MS, Lease, LeaseAction, LeaseRecord, ORDER_TIMEOUT_MS,
    OrderDispatcher,
};
use fulmarpath_upstream::{
    CacheEvents, Engine, EngineError, GenerateRequest, LoadReport, Order, ResumeRequest,
    TokenStream,
};
use parking_lot::Mutex;

/// An engine that only accepts orders.
struct FakeEngine {
    checks_fencing: bool,
    accepted: Mutex<Vec<Order>>,
    /// How long the dispatcher's process is paused while this engine accepts an order.
    pause_ms: u64,
}

#[async_trait]
impl Engine for FakeEngine {
    async fn generate(&self, _: &GenerateRequest) -> Result<Box<dyn TokenStream>, EngineError> {
        Err(EngineError::UnknownGeneration)
    }

    async fn resume(&self, _: &ResumeRequest) -> Result<Box<dyn TokenStream>, EngineError> {
        Err(EngineError::UnknownGeneration)
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
        let mut accepted = self.accepted.lock();
        let newest = accepted
            .iter()
            .map(|order| order.fencing)
            .max()
            .unwrap_or(0);
        if self.checks_fencing && order.fencing < newest {
            return Ok(false);
        }
        accepted.push(order.clone());
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

fn fencing_numbers(engine: &FakeEngine) -> Vec<u64> {
    engine
        .accepted
        .lock()
        .iter()
        .map(|order| order.fencing)
        .collect()
}

/// Guards against orders from a stale holder. Two hosts consider themselves the home of a model.
/// The lease holder is paused past its lease, and the other takes over with a higher fencing number
/// after the lease and the timeout of an order. The paused host resumes with a pending order and
/// sends it neither to engines that check the number nor to those that ignore it.
#[tokio::test(start_paused = true)]
async fn holder_paused_past_its_lease_sends_no_order() {
    for checks_fencing in [true, false] {
        let api = Arc::new(FakeObjectApi::default());
        let clock = Clock::start();
        let engine = Arc::new(FakeEngine {
            checks_fencing,
            accepted: Mutex::default(),
            pause_ms: 0,
        });
        let mut paused = OrderDispatcher::new(api.clone(), clock, "host-1", "gutachter-lm");
        let mut other = OrderDispatcher::new(api.clone(), clock, "host-2", "gutachter-lm");
        assert_eq!(paused.run_once(&desired(&engine, "1")).await, Ok(1));
        assert_eq!(other.run_once(&desired(&engine, "2")).await, Ok(0));
        tokio::time::advance(Duration::from_millis(LEASE_MS + ORDER_TIMEOUT_MS)).await;
        assert_eq!(other.run_once(&desired(&engine, "2")).await, Ok(1));
        assert_eq!(paused.run_once(&desired(&engine, "3")).await, Ok(0));
        assert_eq!(fencing_numbers(&engine), [1, 2]);
    }
}

/// Guards against a pause between two orders: the holder renews its lease, sends a first order and
/// is paused. When it resumes, the rest of the lease is too short, and the second engine, which
/// ignores the fencing number, must get no order.
#[tokio::test(start_paused = true)]
async fn pause_between_orders_prevents_the_second() {
    let api = Arc::new(FakeObjectApi::default());
    let engine = |pause_ms| {
        Arc::new(FakeEngine {
            checks_fencing: false,
            accepted: Mutex::default(),
            pause_ms,
        })
    };
    let (first, second) = (engine(LEASE_MS - ORDER_TIMEOUT_MS), engine(0));
    let mut desired_of_both = desired(&first, "1");
    desired_of_both.extend(desired(&second, "1"));
    desired_of_both[1].engine = "engine-2".to_owned();
    let mut holder = OrderDispatcher::new(api, Clock::start(), "host-1", "gutachter-lm");
    assert_eq!(holder.run_once(&desired_of_both).await, Ok(1));
    assert_eq!(
        (fencing_numbers(&first), fencing_numbers(&second)),
        (vec![1], vec![])
    );
}

/// While the platform is down, the holder can't read its lease and sends no order.
#[tokio::test(start_paused = true)]
async fn no_order_is_sent_without_the_platform() {
    let api = Arc::new(FakeObjectApi::default());
    let clock = Clock::start();
    let engine = Arc::new(FakeEngine {
        checks_fencing: false,
        accepted: Mutex::default(),
        pause_ms: 0,
    });
    let mut holder = OrderDispatcher::new(api.clone(), clock, "host-1", "gutachter-lm");
    assert_eq!(holder.run_once(&desired(&engine, "1")).await, Ok(1));
    *api.is_down.lock() = true;
    tokio::time::advance(Duration::from_millis(LEASE_MS)).await;
    assert!(holder.run_once(&desired(&engine, "2")).await.is_err());
    assert_eq!(fencing_numbers(&engine), [1]);
}

struct TakeoverCase {
    elapsed_ms: u64,
    is_too_early: bool,
}

#[test]
fn successor_waits_for_lease_and_order_timeout() {
    let record = LeaseRecord {
        holder: "host-1".to_owned(),
        fencing: 4,
        renewal: 9,
    };
    let cases = [
        TakeoverCase {
            elapsed_ms: LEASE_MS,
            is_too_early: true,
        },
        TakeoverCase {
            elapsed_ms: LEASE_MS + ORDER_TIMEOUT_MS - 1,
            is_too_early: true,
        },
        TakeoverCase {
            elapsed_ms: LEASE_MS + ORDER_TIMEOUT_MS,
            is_too_early: false,
        },
    ];
    for case in cases {
        let mut lease = Lease::default();
        let read = || Some((7, record.clone()));
        assert_eq!(lease.decide(1_000, "host-2", read()), LeaseAction::Wait);
        let action = lease.decide(1_000 + case.elapsed_ms, "host-2", read());
        assert_eq!(action == LeaseAction::Wait, case.is_too_early);
        if let LeaseAction::Write { over, record } = action {
            assert_eq!((over, record.fencing), (Some(7), 5));
        }
    }
}
