//! What a host buffers of events until they are complete.

use std::time::{Duration, Instant};

use fulmarpath_gateway::{ByteBudget, EventBuffer, EventTooLong};
use rstest::rstest;

const KB: usize = 1_024;
/// What is buffered of one stream.
const STREAM_BYTES: usize = 1_024 * KB;
/// What is buffered of one stream without a share of the budget.
const UNCOUNTED_BYTES: usize = 16 * KB;

struct Endless {
    budget_bytes: usize,
    piece: &'static [u8],
    /// Bytes after which the event is too long.
    limit_bytes: usize,
}

/// Guards against an event without an end that is collected without a bound, in one stream or in
/// sum, and scanned again for each of its pieces.
#[rstest]
#[case::no_line_feed(Endless { budget_bytes: 64 * STREAM_BYTES, piece: b"x", limit_bytes: STREAM_BYTES })]
#[case::lines(Endless { budget_bytes: 64 * STREAM_BYTES, piece: b"a\n", limit_bytes: STREAM_BYTES })]
#[case::returns(Endless { budget_bytes: 64 * STREAM_BYTES, piece: b"a\r\n", limit_bytes: STREAM_BYTES })]
#[case::budget(Endless { budget_bytes: 64 * KB, piece: b"x", limit_bytes: 64 * KB })]
#[case::no_budget(Endless { budget_bytes: 0, piece: b"x", limit_bytes: UNCOUNTED_BYTES })]
fn an_event_without_an_end_is_too_long(#[case] case: Endless) {
    let budget = ByteBudget::new(case.budget_bytes);
    let mut buffer = EventBuffer::new(budget.clone());
    let started = Instant::now();
    let mut pushed = 0;
    while buffer.push(case.piece).is_ok() {
        pushed += case.piece.len();
    }
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "{:?}",
        started.elapsed()
    );
    assert!(pushed <= case.limit_bytes && pushed + case.piece.len() > case.limit_bytes);
    assert!(budget.held_bytes() <= case.budget_bytes.min(STREAM_BYTES));
    assert_eq!(buffer.take_complete(), None);
    drop(buffer);
    assert_eq!(budget.held_bytes(), 0);
}

/// Guards against an event whose end is missed because it arrives in several pieces.
#[rstest]
#[case::line_feeds(b"data: 1\n\n")]
#[case::returns(b"data: 1\r\n\r\n")]
#[case::mixed(b"data: 1\n\r\n")]
fn an_event_ends_wherever_it_is_split(#[case] event: &'static [u8]) {
    for split in 0..=event.len() {
        let mut buffer = EventBuffer::new(ByteBudget::new(0));
        let (first, second) = event.split_at(split);
        assert_eq!(buffer.push(first), Ok(()));
        let early = buffer.take_complete();
        assert_eq!(early.is_some(), split == event.len());
        assert_eq!(buffer.push(second), Ok(()));
        assert_eq!(buffer.push(b"data: 2"), Ok(()));
        let complete = early.or_else(|| buffer.take_complete());
        assert_eq!(complete.as_deref(), Some(event));
        assert_eq!(buffer.take_complete(), None);
    }
}

/// Guards against room that stays taken after a long event was passed on.
#[test]
fn a_complete_event_gives_its_room_back() {
    let budget = ByteBudget::new(STREAM_BYTES);
    let mut buffer = EventBuffer::new(budget.clone());
    for _ in 0..3 {
        for _ in 0..200 {
            assert_eq!(buffer.push(&[b'x'; KB]), Ok(()));
        }
        assert_eq!(budget.held_bytes(), 256 * KB);
        assert_eq!(buffer.push(b"\n\n"), Ok(()));
        let length = buffer.take_complete().map(|event| event.len());
        assert_eq!(length, Some(200 * KB + 2));
        assert_eq!(budget.held_bytes(), 0);
    }
    assert_eq!(buffer.push(&[b'x'; 2 * STREAM_BYTES]), Err(EventTooLong));
}
