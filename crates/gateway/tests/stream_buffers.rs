//! What a host holds for callers that read slowly.

use bytes::Bytes;
use fulmarpath_cluster::Clock;
use fulmarpath_gateway::{BufferWriter, Chunk, StreamBuffers};
use fulmarpath_http::BodyInterrupted;
use futures::{FutureExt, Stream, StreamExt};
use prometheus_client::metrics::counter::Counter;
use rstest::rstest;

/// Bytes that one stream may be ahead of its caller.
const STREAM_BYTES: usize = 256 * 1024;
/// Bytes that all streams together may be ahead of their callers.
const HOST_BYTES: usize = 8 * 1024 * 1024;

/// Sends chunks to a caller that does not read until the relay would have to wait; returns the
/// bytes that were accepted.
fn fill(writer: &BufferWriter, chunk_bytes: usize) -> usize {
    let chunk = Bytes::from(vec![b'x'; chunk_bytes]);
    let mut accepted = 0;
    while let Some(sent) = writer.send(Ok(chunk.clone())).now_or_never() {
        sent.expect("the caller is there");
        accepted += chunk_bytes;
    }
    accepted
}

/// Reads all that waits; returns its bytes.
fn read_waiting(chunks: &mut (impl Stream<Item = Chunk> + Unpin)) -> usize {
    let mut read = 0;
    while let Some(chunk) = chunks.next().now_or_never() {
        let chunk = chunk.expect("the relay has not ended");
        read += chunk.expect("the stream is not broken").len();
    }
    read
}

struct Unread {
    streams: usize,
    chunk_bytes: usize,
}

/// Guards against a host whose memory fills with answers that nobody reads: however many streams
/// there are, they hold no more than the host's bound and one piece each; no stream holds more than
/// its own bound. Each stream can go on, and what the callers read can be used again.
#[rstest]
#[case::one(Unread { streams: 1, chunk_bytes: 1_000 })]
#[case::few(Unread { streams: 8, chunk_bytes: 1_000 })]
#[case::as_many_as_fit(Unread { streams: 32, chunk_bytes: 4_096 })]
#[case::many(Unread { streams: 200, chunk_bytes: 4_096 })]
#[case::very_many(Unread { streams: 2_000, chunk_bytes: 400 })]
#[case::large_pieces(Unread { streams: 100, chunk_bytes: 100_000 })]
fn unread_answers_are_bounded(#[case] case: Unread) {
    let buffers = StreamBuffers::new(Clock::start(), Counter::default());
    let mut opened = Vec::new();
    for _ in 0..case.streams {
        let (writer, chunks) = buffers.open(None);
        opened.push((writer, Box::pin(chunks)));
    }
    for round in 0..3 {
        let accepted: Vec<usize> = opened
            .iter()
            .map(|(writer, _)| fill(writer, case.chunk_bytes))
            .collect();
        let total: usize = accepted.iter().sum();
        assert!(
            total <= HOST_BYTES + case.streams * case.chunk_bytes,
            "{total} in round {round}"
        );
        let most = accepted.iter().max().copied().unwrap_or_default();
        assert!(most <= STREAM_BYTES, "{most} in round {round}");
        let least = accepted.iter().min().copied().unwrap_or_default();
        assert!(least >= case.chunk_bytes, "a stream can't go on");
        let expected = HOST_BYTES.min(case.streams * STREAM_BYTES);
        assert!(
            total + case.streams * case.chunk_bytes >= expected,
            "{total} in round {round}: not all of the bound is used"
        );
        for ((_, chunks), accepted) in opened.iter_mut().zip(accepted) {
            assert_eq!(read_waiting(chunks), accepted);
        }
    }
}

/// Guards against a bound that shrinks with each caller that leaves: what waited for it is free for
/// other streams.
#[test]
fn a_caller_that_leaves_frees_its_share() {
    let buffers = StreamBuffers::new(Clock::start(), Counter::default());
    let fill_all = || {
        let opened: Vec<_> = (0..64).map(|_| buffers.open(None)).collect();
        let accepted = opened.iter().map(|(writer, _)| fill(writer, 4_096));
        accepted.sum::<usize>()
    };
    let first = fill_all();
    assert!(first >= HOST_BYTES);
    for _ in 0..10 {
        assert_eq!(fill_all(), first);
    }
}

/// Guards against a relay that panics or is cancelled in the middle of a stream, which then looks
/// complete: only a stream that was finished ends without an error.
#[rstest]
#[case::finished(true)]
#[case::dropped(false)]
fn only_a_finished_stream_ends_as_complete(#[case] is_finished: bool) {
    let buffers = StreamBuffers::new(Clock::start(), Counter::default());
    let (writer, chunks) = buffers.open(None);
    let piece = Bytes::from_static(b"data: x\n\n");
    let sent = writer.send(Ok(piece.clone())).now_or_never();
    assert_eq!(sent, Some(Ok(())));
    match is_finished {
        true => writer.finish(),
        false => drop(writer),
    }
    let received: Vec<Chunk> = chunks
        .collect()
        .now_or_never()
        .expect("the stream has ended");
    let end = (!is_finished).then_some(Err(BodyInterrupted));
    let expected: Vec<Chunk> = std::iter::once(Ok(piece)).chain(end).collect();
    assert_eq!(received, expected);
}
