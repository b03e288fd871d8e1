//! A caller whose request crashes each upstream that starts it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmarpath_platform_standin::{HOST, RequestKind, exchange, sample_request};
use http_body_util::Full;
use hyper::body::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use super::deployment::FIRST_KEY;
use super::{CALL_TIMEOUT, Shared};

/// Body of the request; plain upstreams crash when they start a request with this text.
pub(super) const CRASHING_BODY: &str = "ends its upstream";
/// Delay between two attempts, each at a random host.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Repeats the request until the run ends, whatever the response.
pub(super) async fn repeat(shared: Arc<Shared>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut number = 0;
    while !shared.is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{seed:x}-ending-{number:x}");
        let address = shared.addresses[rng.random_range(0..shared.addresses.len())];
        let (parts, _) = sample_request(RequestKind::Poll, &id, FIRST_KEY, HOST).into_parts();
        let body = Full::new(Bytes::from_static(CRASHING_BODY.as_bytes()));
        let request = hyper::Request::from_parts(parts, body);
        exchange(address, request, CALL_TIMEOUT).await;
        sleep(RETRY_INTERVAL).await;
    }
}
