//! A caller whose request ends the upstream that begins to run it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmarpath_platform_standin::{HOST, RequestKind, exchange, sample_request};
use http_body_util::Full;
use hyper::body::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use super::stage::FIRST_KEY;
use super::{CALL_BOUND, Shared};

/// What is in its body.
pub(super) const ENDS: &str = "ends its upstream";
/// Between two tries, each at a host of its choice.
const BETWEEN: Duration = Duration::from_millis(250);

/// Sends the request again and again, whatever comes back.
pub(super) async fn repeat(shared: Arc<Shared>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut number = 0;
    while !shared.is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{seed:x}-ending-{number:x}");
        let address = shared.addresses[rng.random_range(0..shared.addresses.len())];
        let (parts, _) = sample_request(RequestKind::Poll, &id, FIRST_KEY, HOST).into_parts();
        let body = Full::new(Bytes::from_static(ENDS.as_bytes()));
        let request = hyper::Request::from_parts(parts, body);
        exchange(address, request, CALL_BOUND).await;
        sleep(BETWEEN).await;
    }
}
