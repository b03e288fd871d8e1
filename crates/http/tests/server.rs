//! The server loop when the operating system refuses connections.

use std::sync::Arc;
use std::time::Duration;

use fulmarpath_http::{FixedLimits, empty, serve_with_limits};
use hyper::StatusCode;
use socket2::SockRef;
use tokio::net::TcpListener;
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
