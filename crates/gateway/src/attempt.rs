//! One dispatch of a request to one upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmarpath_http::{Connection, Dial, HttpError, ResponseBody};
use fulmarpath_policy::{Millis, Verdict};
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use crate::crashes::InterruptedRun;
use crate::gateway::Gateway;
use crate::head::{Continuation, Outbound, ResponseHead};
use crate::inbound::InboundRequest;
use crate::problem::Problem;
use crate::record::Dispatch;
use crate::relay::early_dial::EarlyDial;
use crate::relay::framing::Framing;
use crate::tracker::{ANSWERED, InFlightRequest, RequestTracker};
use crate::upstreams::instance::ChosenUpstream;

/// Connect timeout: several round trips between data centres, and an upstream's handshake. A lost
/// SYN is retransmitted only after 1 s, by which time another upstream has answered.
pub(crate) const CONNECT_TIMEOUT_MS: Millis = 250;
/// How long an upstream that refuses a request, for instance because it is full, is deprioritised.
const REFUSAL_PENALTY_MS: Millis = 200;
/// How long an upstream that closes its connection, possibly because it is leaving, is
/// deprioritised.
const CLOSING_PENALTY_MS: Millis = 400;

/// An upstream's response, of which only the head has been read.
pub(crate) struct UpstreamResponse {
    pub(crate) head: ResponseHead,
    pub(crate) http: Response<ResponseBody>,
    pub(crate) in_flight: InFlightRequest,
    /// Closed when dropped, which makes the upstream cancel the request.
    pub(crate) connection: Connection,
    /// When the connection was open.
    pub(crate) connected_ms: Millis,
}

/// What a dispatch carries in addition to the caller's own request.
#[derive(Default)]
pub(crate) struct DispatchOptions {
    /// Deadline for the response head.
    pub(crate) until_ms: Millis,
    /// The engine that keeps a running copy of the KV cache.
    pub(crate) backup: Option<SocketAddr>,
    /// Set if the generation resumes from a copy of its KV cache.
    pub(crate) continuation: Option<Continuation>,
    /// The event after which a stream that began elsewhere resumes.
    pub(crate) last_event: Option<u64>,
    /// A connection to the upstream that is already being opened.
    pub(crate) early: Option<EarlyDial>,
}

/// Why a dispatch has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The request was never sent: no connection was made.
    Unsent,
    /// The upstream states that it has not run the request and never will.
    Shed,
    /// The request was sent, and its outcome is unknown.
    Unknown,
    /// The upstream ended with a response that may be complete.
    Unconfirmed,
    /// The request was sent, and the deadline passed.
    TimedOut,
}

impl Failure {
    /// Whether it is certain that the request has not run.
    pub(crate) fn is_not_run(self) -> bool {
        matches!(self, Self::Unsent | Self::Shed)
    }

    /// The problem to report to the caller.
    pub(crate) fn problem(self) -> Problem {
        match self {
            Self::Unsent => Problem::Unreachable,
            Self::Shed => Problem::AllRefused,
            Self::Unknown | Self::Unconfirmed => Problem::Broken,
            Self::TimedOut => Problem::Timeout,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Shed => "shed",
            Self::Unknown => "unknown",
            Self::Unconfirmed => "unconfirmed",
            Self::TimedOut => "overdue",
        }
    }
}

impl Gateway {
    /// Sends a request to the chosen upstream and waits for the response head.
    pub(crate) async fn dispatch(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        tracker: &mut RequestTracker,
        chosen: ChosenUpstream,
        options: DispatchOptions,
    ) -> Result<UpstreamResponse, Failure> {
        tracker.begin_dispatch(Dispatch {
            instance: chosen.instance.clone(),
            at_ms: self.clock.now_ms().saturating_sub(tracker.arrived_ms),
            outcome: "sent".to_owned(),
            framing: None,
            stream_end: None,
        });
        let result = self.exchange(inbound, chosen, options, tracker).await;
        match &result {
            Ok(response) => {
                tracker.set_framing(Framing::of(&response.http));
                tracker.end_dispatch(if response.http.status().is_success() {
                    ANSWERED
                } else {
                    "failed"
                });
            }
            Err(failure) => tracker.end_dispatch(failure.name()),
        }
        result
    }

    async fn exchange(
        self: &Arc<Self>,
        inbound: &InboundRequest,
        chosen: ChosenUpstream,
        mut options: DispatchOptions,
        tracker: &RequestTracker,
    ) -> Result<UpstreamResponse, Failure> {
        let (address, key) = (chosen.address, chosen.key);
        let mut in_flight = InFlightRequest::new(self.clone(), chosen);
        let started_ms = self.clock.now_ms();
        let connect_ms = options
            .until_ms
            .saturating_sub(started_ms)
            .min(CONNECT_TIMEOUT_MS);
        let early = options.early.take();
        let opened = self
            .connect(address, Duration::from_millis(connect_ms), early)
            .await;
        let Ok(mut connection) = opened else {
            self.instances.record_unreachable(self.clock.now_ms(), key);
            self.metrics.unsent.inc();
            return Err(Failure::Unsent);
        };
        let connected_ms = self.clock.now_ms();
        let request = self.outbound(inbound, &in_flight.chosen, &options);
        let left_ms = options.until_ms.saturating_sub(connected_ms);
        let lost = in_flight.chosen.lost.clone();
        let exchange = timeout(Duration::from_millis(left_ms), connection.exchange(request));
        let exchanged = tokio::select! {
            exchanged = exchange => exchanged,
            () = lost.cancelled() => {
                in_flight.set_verdict(Verdict::Unheard);
                self.check_for_crash(InterruptedRun::new(&in_flight.chosen, inbound, tracker, None));
                return Err(Failure::Unknown);
            }
        };
        let http = match exchanged {
            Ok(Ok(http)) => http,
            Ok(Err(HttpError::Unreachable { .. })) => {
                in_flight.set_verdict(Verdict::Failed);
                return Err(Failure::Unsent);
            }
            Ok(Err(_)) => {
                in_flight.set_verdict(Verdict::Failed);
                self.check_for_crash(InterruptedRun::new(
                    &in_flight.chosen,
                    inbound,
                    tracker,
                    None,
                ));
                return Err(Failure::Unknown);
            }
            Err(_) => {
                in_flight.set_verdict(Verdict::Failed);
                return Err(Failure::TimedOut);
            }
        };
        let head = self.dialect.read_response(http.status(), http.headers());
        let now_ms = self.clock.now_ms();
        let is_mismatched = !head.is_not_run && head.id.as_deref() != Some(tracker.id.as_str());
        let is_misdirected = http.status() == StatusCode::MISDIRECTED_REQUEST;
        if !is_mismatched && !is_misdirected {
            self.apply_signals(&in_flight.chosen, head.signals);
        }
        if head.is_not_run {
            in_flight.set_verdict(Verdict::Shed);
            self.instances
                .penalise_until(now_ms + REFUSAL_PENALTY_MS, key);
            if is_misdirected {
                self.instances.mark_gone(key);
            } else {
                self.report_rejection(in_flight.chosen.upstream);
            }
            return Err(Failure::Shed);
        }
        // An upstream may send a surplus response; the id tells which request a response belongs
        // to.
        if is_mismatched {
            in_flight.set_verdict(Verdict::Failed);
            return Err(Failure::Unknown);
        }
        if head.is_closing {
            self.instances
                .penalise_until(now_ms + CLOSING_PENALTY_MS, key);
        }
        let latency_ms = now_ms.saturating_sub(started_ms);
        self.instances
            .record_response(now_ms, key, latency_ms, head.load);
        self.metrics.first_byte_ms.observe(latency_ms as f64);
        Ok(UpstreamResponse {
            head,
            http,
            in_flight,
            connection,
            connected_ms,
        })
    }

    async fn connect(
        &self,
        address: SocketAddr,
        time_limit: Duration,
        early: Option<EarlyDial>,
    ) -> Result<Connection, HttpError> {
        let stream = match early {
            Some(early) => early.dial(address, time_limit).await?,
            None => self.dial.dial(address, time_limit).await?,
        };
        Connection::over(address, stream).await
    }

    fn outbound(
        &self,
        inbound: &InboundRequest,
        chosen: &ChosenUpstream,
        options: &DispatchOptions,
    ) -> Request<Full<bytes::Bytes>> {
        let outbound = Outbound {
            time_left_ms: inbound.deadline_ms.saturating_sub(self.clock.now_ms()),
            instance: chosen.instance.clone(),
            organisation: inbound.organisation.clone(),
            backup: options.backup,
            continuation: options.continuation.clone(),
            last_event: options.last_event,
        };
        let mut request = Request::new(Full::new(inbound.body.clone()));
        *request.method_mut() = inbound.method.clone();
        *request.uri_mut() = inbound.uri.clone();
        *request.headers_mut() = inbound.headers.clone();
        self.dialect
            .write_outbound(request.headers_mut(), &outbound);
        request
    }
}
