//! Bytes of each control message on the wire.

use fulmarpath_policy::{
    EngineLoad, EnginePermitRequest, HostKey, OrganisationKey, PermitKey, PermitRequestId,
    RequestLimits, ServiceKey, UpstreamKey,
};
use fulmarpath_wire::{
    ClaimAnswer, ClaimRequest, LimitAnswer, MemberInfo, MemberState, PermitAnswer, PermitId,
    PermitReply, Ping, Pong, Progress, ProgressReply, Rumour, RunState, SlotRequest, Versions,
};
use serde::Serialize;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

/// TCP and IP headers of a segment, with timestamps. The call's ACK is piggybacked on the answer;
/// the answer's ACK is a segment of its own.
const SEGMENT_HEADER_BYTES: usize = 52;
/// Overhead of a call: length prefix, kind, ID, deadline and trace context.
const CALL_OVERHEAD_BYTES: usize = 4 + 4 + 8 + 12 + 33;
/// Overhead of an answer: length prefix, ID and kind.
const ANSWER_OVERHEAD_BYTES: usize = 4 + 8 + 4;

/// Bytes of one call and its answer.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CallBytes {
    pub(crate) what: &'static str,
    pub(crate) call_bytes: usize,
    pub(crate) answer_bytes: usize,
}

impl CallBytes {
    pub(crate) fn total_bytes(&self) -> f64 {
        (self.call_bytes + self.answer_bytes) as f64
    }

    pub(crate) fn row(&self) -> String {
        format!(
            "| {} | {} | {} |",
            self.what, self.call_bytes, self.answer_bytes
        )
    }
}

fn encoded_bytes<T: Serialize + Unpin>(message: &T) -> usize {
    let mut codec = Bincode::<(), T>::default();
    let bytes = std::pin::Pin::new(&mut codec).serialize(message);
    bytes.map_or(0, |bytes| bytes.len())
}

fn call<C: Serialize + Unpin, A: Serialize + Unpin>(
    what: &'static str,
    call: &C,
    answer: &A,
) -> CallBytes {
    CallBytes {
        what,
        call_bytes: encoded_bytes(call) + CALL_OVERHEAD_BYTES + SEGMENT_HEADER_BYTES,
        answer_bytes: encoded_bytes(answer) + ANSWER_OVERHEAD_BYTES + 2 * SEGMENT_HEADER_BYTES,
    }
}

/// Rumours in a ping while many members change state; an ordinary ping has none.
const BUSY_PING_RUMOURS: usize = 8;

pub(crate) fn measure() -> Vec<CallBytes> {
    let permit_request = EnginePermitRequest {
        id: PermitRequestId(u64::MAX),
        host: HostKey(u64::MAX),
        organisation: OrganisationKey(u64::MAX),
        service: ServiceKey(u64::MAX),
        weight: 1.0,
        share: 0.1,
        prompt_tokens: 900,
        out_tokens: 0,
        output_limit_tokens: 8_000,
        max_wait_ms: 10_000,
        only_now: false,
        known_tokens: None,
    };
    let permit = PermitId {
        epoch: u64::MAX,
        key: PermitKey::default(),
    };
    let granted = PermitReply {
        answer: PermitAnswer::Granted {
            permit,
            priority: 1,
        },
        load: EngineLoad::default(),
    };
    let progress = Progress {
        upstream: UpstreamKey(u64::MAX),
        permit,
        out_tokens: 400,
        state: RunState::Running,
    };
    let report = |count| (HostKey(u64::MAX), vec![progress; count]);
    let empty_reply = ProgressReply::default();
    let slot = SlotRequest {
        organisation: OrganisationKey(u64::MAX),
        host: HostKey(u64::MAX),
        bounds: RequestLimits {
            requests_per_s: 40.0,
            concurrent: 400,
        },
    };
    let claim = ClaimRequest {
        key: u128::MAX,
        request_hash: u64::MAX,
        generation: "0123456789abcdef.0123456789abcdef.0123456789abcdef0123456789abcdef".into(),
        supersedes: None,
    };
    let slots = vec![(OrganisationKey(u64::MAX), 3u32); 10];
    vec![
        call("ping, nothing new", &ping(0), &pong(0)),
        call(
            "ping, 8 rumours",
            &ping(BUSY_PING_RUMOURS),
            &pong(BUSY_PING_RUMOURS),
        ),
        call("ask, granted", &(UpstreamKey(1), permit_request), &granted),
        call("withdraw", &(UpstreamKey(1), PermitRequestId(1)), &()),
        call("progress of 1 permit", &report(1), &empty_reply),
        call("progress of 11 permits", &report(11), &empty_reply),
        call("slot under a limit", &slot, &LimitAnswer::Taken),
        call(
            "slots restated, 10 organisations",
            &(HostKey(1), slots),
            &(),
        ),
        call("claim", &claim, &ClaimAnswer::Claimed),
    ]
}

fn rumour() -> Rumour {
    Rumour {
        member: MemberInfo {
            name: "zrh-a-entry-117".into(),
            data_centre: "zrh-a".into(),
            address: ([10, 0, 0, 1], 7_080).into(),
        },
        state: MemberState::Alive,
        incarnation: u64::MAX,
    }
}

fn ping(rumours: usize) -> Ping {
    Ping {
        from: rumour(),
        rumours: vec![rumour(); rumours],
        versions: Versions::default(),
    }
}

fn pong(rumours: usize) -> Pong {
    Pong {
        from: rumour(),
        rumours: vec![rumour(); rumours],
        versions: Versions::default(),
    }
}
