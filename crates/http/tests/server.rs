//! The server loop when the operating system refuses connections.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fulmarpath_http::{FixedLimits, empty, full, serve_with_limits};
use hyper::StatusCode;
use rstest::rstest;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};

/// Upper bound on the real time that the virtual second below may take.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against a host without free descriptors that retries to accept a connection without a
/// pause and uses up its processor time. A listener that is shut down fails each attempt; virtual
/// time passes only while all tasks wait.
#[tokio::test(start_paused = true)]
async fn failing_accept_leaves_the_processor_free() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    SockRef::from(&listener)
        .shutdown(std::net::Shutdown::Both)
        .expect("shut down the listener");
    let (_stop, stopped) = watch::channel(false);
    let limits = FixedLimits {
        header_limit_bytes: 8_192,
        idle_timeout: Duration::from_secs(1),
    };
    let serving = serve_with_limits(listener, Arc::new(limits), stopped, |_| async {
        empty(StatusCode::OK)
    });
    tokio::spawn(serving);
    let (late, is_late) = oneshot::channel();
    std::thread::spawn(move || {
        std::thread::sleep(TEST_TIMEOUT);
        let _ = late.send(());
    });
    tokio::select! {
        () = tokio::time::sleep(Duration::from_secs(1)) => {}
        _ = is_late => panic!("the server loop never waits"),
    }
}

struct HeldBody {
    bytes: Vec<u8>,
    _holder: Arc<()>,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Guards against a connection whose peer never reads its response and that is kept, with what it
/// holds, for good. A peer that reads slowly gets all of it.
#[rstest]
#[case::unread(false)]
#[case::read_slowly(true)]
#[tokio::test]
async fn only_an_unread_response_is_given_up(#[case] is_read: bool) {
    const BODY_BYTES: usize = 16 * 1024 * 1024;
    const IDLE_TIMEOUT: Duration = Duration::from_millis(400);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (_stop, stopped) = watch::channel(false);
    let limits = FixedLimits {
        header_limit_bytes: 8_192,
        idle_timeout: IDLE_TIMEOUT,
    };
    let held = Arc::new(());
    let holder = held.clone();
    let serving = serve_with_limits(listener, Arc::new(limits), stopped, move |_| {
        let body = HeldBody {
            bytes: vec![b'x'; BODY_BYTES],
            _holder: holder.clone(),
        };
        let reply = full(StatusCode::OK, "text/plain", Bytes::from_owner(body));
        async move { reply }
    });
    tokio::spawn(serving);
    let mut caller = TcpStream::connect(address).await.expect("connect");
    let request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    caller.write_all(request).await.expect("send");
    // The test, the handler and the response hold one each.
    while Arc::strong_count(&held) < 3 {
        tokio::time::sleep(IDLE_TIMEOUT / 100).await;
    }
    let mut received = 0;
    if is_read {
        let mut buffer = vec![0; 1024 * 1024];
        while let Ok(count @ 1..) = caller.read(&mut buffer).await {
            received += count;
            tokio::time::sleep(IDLE_TIMEOUT / 8).await;
        }
        assert!(received > BODY_BYTES, "{received}");
    }
    let started = Instant::now();
    while Arc::strong_count(&held) > 2 {
        assert!(
            started.elapsed() < 10 * IDLE_TIMEOUT,
            "the response is kept"
        );
        tokio::time::sleep(IDLE_TIMEOUT / 10).await;
    }
}
