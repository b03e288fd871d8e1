//! Room for the bodies of callers' requests.

use std::time::{Duration, Instant};

use fulmarpath_gateway::{BodyAdmission, BodyId, BodyState};
use fulmarpath_policy::{Millis, OrganisationKey};
use rstest::rstest;

use BodyState::{Complete, Reading, Refused, Waiting};

const TOTAL_BYTES: usize = 1_000;
const WAIT_MS: Millis = 800;

struct Bodies {
    admission: BodyAdmission,
    now_ms: Millis,
}

impl Bodies {
    fn new() -> Self {
        Self {
            admission: BodyAdmission::new(TOTAL_BYTES),
            now_ms: 1_000,
        }
    }

    fn add(&mut self, organisation: &str, bytes: usize) -> BodyId {
        let organisation = OrganisationKey::of(organisation);
        let until_ms = self.now_ms + WAIT_MS;
        let id = self.admission.add(organisation, bytes, until_ms);
        self.admission.decide(self.now_ms);
        id.expect("it fits the budget")
    }

    fn grow(&mut self, id: BodyId, bytes: usize) {
        self.admission.grow(id, bytes, self.now_ms + WAIT_MS);
        self.admission.decide(self.now_ms);
    }

    fn remove(&mut self, id: BodyId) {
        self.admission.remove(id);
        self.admission.decide(self.now_ms);
    }

    fn advance(&mut self, by_ms: Millis) {
        self.now_ms += by_ms;
        self.admission.decide(self.now_ms);
    }

    fn states(&self, ids: &[BodyId]) -> Vec<BodyState> {
        ids.iter().map(|id| self.admission.state(*id)).collect()
    }
}

struct Sum {
    bodies_bytes: &'static [usize],
    states: &'static [BodyState],
}

/// Guards against bodies that exceed the budget in sum, and against one organisation that leaves no
/// room for others.
#[rstest]
#[case::one_of_the_whole(Sum { bodies_bytes: &[1_000], states: &[Reading] })]
#[case::within_the_share(Sum { bodies_bytes: &[250, 250, 250], states: &[Reading, Reading, Reading] })]
#[case::beyond_the_share(Sum { bodies_bytes: &[250, 250, 250, 10], states: &[Reading, Reading, Reading, Waiting] })]
#[case::small_beyond_the_share(Sum { bodies_bytes: &[250, 250, 250, 3], states: &[Reading, Reading, Reading, Reading] })]
#[case::in_order(Sum { bodies_bytes: &[700, 700, 10], states: &[Reading, Waiting, Waiting] })]
fn bodies_stay_within_the_budget(#[case] case: Sum) {
    let mut bodies = Bodies::new();
    let ids = case
        .bodies_bytes
        .iter()
        .map(|bytes| bodies.add("a", *bytes));
    let ids: Vec<_> = ids.collect();
    assert_eq!(bodies.states(&ids), case.states);
    for id in &ids {
        bodies.remove(*id);
    }
    assert_eq!(bodies.admission.held_bytes(), 0);
}

/// Guards against a body that waits for room that there never is.
#[test]
fn body_over_the_whole_budget_is_refused_at_once() {
    let mut admission = BodyAdmission::new(TOTAL_BYTES);
    let organisation = OrganisationKey::of("a");
    assert_eq!(admission.add(organisation, TOTAL_BYTES + 1, 2_000), None);
}

/// Guards against one organisation that takes the room from others while they want it.
#[test]
fn freed_room_goes_to_the_organisation_that_holds_least() {
    let mut bodies = Bodies::new();
    let held: Vec<_> = (0..3).map(|_| bodies.add("a", 240)).collect();
    let more_of_a: Vec<_> = (0..3).map(|_| bodies.add("a", 240)).collect();
    let of_b = [bodies.add("b", 200), bodies.add("b", 200)];
    assert_eq!(bodies.states(&of_b), [Reading, Waiting]);
    bodies.remove(held[0]);
    bodies.remove(held[1]);
    assert_eq!(bodies.states(&of_b), [Reading, Reading]);
    assert_eq!(bodies.states(&more_of_a), [Waiting, Waiting, Waiting]);
}

/// Guards against a body that waits for good: it is refused when its time is over.
#[test]
fn waiting_body_is_refused_in_time() {
    let mut bodies = Bodies::new();
    let held = bodies.add("a", 1_000);
    bodies.admission.receive(held, 1_000);
    bodies.admission.complete(held);
    let waiting = bodies.add("a", 500);
    bodies.advance(WAIT_MS - 1);
    assert_eq!(bodies.states(&[held, waiting]), [Complete, Waiting]);
    bodies.advance(1);
    assert_eq!(bodies.states(&[held, waiting]), [Complete, Refused]);
}

/// Guards against bodies of unknown length that each hold a part and wait for the rest.
#[test]
fn growing_bodies_do_not_wait_for_each_other() {
    let mut bodies = Bodies::new();
    let ids: Vec<_> = ["a", "b", "c", "d"]
        .map(|name| bodies.add(name, 200))
        .into();
    for id in &ids {
        bodies.admission.receive(*id, 200);
        bodies.grow(*id, 400);
    }
    let expected = [Waiting, Waiting, Waiting, Refused];
    assert_eq!(bodies.states(&ids), expected, "the newest gives up");
    bodies.remove(ids[3]);
    assert_eq!(bodies.states(&ids[..3]), [Reading, Waiting, Waiting]);
    bodies.admission.receive(ids[0], 400);
    bodies.admission.complete(ids[0]);
    bodies.remove(ids[0]);
    assert_eq!(bodies.states(&ids[1..3]), [Reading, Waiting]);
}

struct Sender {
    received_bytes: usize,
    after_ms: Millis,
    is_refused: bool,
}

/// Guards against slow senders that hold the room against fast ones.
#[rstest]
#[case::too_early_to_judge(Sender { received_bytes: 0, after_ms: 400, is_refused: false })]
#[case::silent(Sender { received_bytes: 0, after_ms: 500, is_refused: true })]
#[case::slow(Sender { received_bytes: 100, after_ms: 600, is_refused: true })]
#[case::fast(Sender { received_bytes: 300, after_ms: 600, is_refused: false })]
fn slow_sender_gives_up_its_room(#[case] case: Sender) {
    let mut bodies = Bodies::new();
    let sender = bodies.add("a", 1_000);
    bodies.admission.receive(sender, case.received_bytes);
    let waiting = bodies.add("b", 500);
    bodies.advance(case.after_ms);
    let is_refused = bodies.states(&[sender]) == [Refused];
    assert_eq!(is_refused, case.is_refused);
    if is_refused {
        assert_eq!(bodies.states(&[waiting]), [Waiting], "its bytes are held");
        bodies.remove(sender);
        assert_eq!(bodies.states(&[waiting]), [Reading]);
    }
}

/// Guards against slow senders that lose their room although nobody wants it.
#[test]
fn slow_sender_keeps_room_that_nobody_wants() {
    let mut bodies = Bodies::new();
    let sender = bodies.add("a", 500);
    bodies.advance(10_000);
    assert_eq!(bodies.states(&[sender]), [Reading]);
}

/// Guards against decisions whose work grows with the bodies in use times those that wait, and that
/// hold the worker: 800 of each took over half a minute.
#[test]
fn many_waiting_bodies_are_decided_quickly() {
    const BODIES: usize = 800;
    const PART_BYTES: usize = 8_192;
    let mut admission = BodyAdmission::new(65_000_000);
    let organisation = |number: usize| OrganisationKey::of(&format!("o{}", number % 50));
    let add = |admission: &mut BodyAdmission, number, bytes| {
        let id = admission.add(organisation(number), bytes, WAIT_MS);
        admission.decide(0);
        let id = id.expect("it fits the budget");
        assert_eq!(admission.state(id), Reading);
        admission.receive(id, bytes);
        id
    };
    for number in 0..BODIES {
        let id = add(&mut admission, number, PART_BYTES);
        admission.grow(id, PART_BYTES, WAIT_MS);
        admission.decide(0);
        admission.complete(id);
    }
    // Leaves less than the part that growing bodies leave to the oldest of them.
    let large = add(&mut admission, BODIES, 30_000_000);
    admission.complete(large);
    let waiting = (0..BODIES).map(|number| add(&mut admission, number, PART_BYTES));
    let waiting: Vec<BodyId> = waiting.collect();
    let started = Instant::now();
    for id in &waiting {
        admission.grow(*id, PART_BYTES, WAIT_MS);
        admission.decide(0);
    }
    let took = started.elapsed();
    let is_waiting = |id: &&BodyId| admission.state(**id) == Waiting;
    assert!(waiting.iter().filter(is_waiting).count() > BODIES / 2);
    assert!(took < Duration::from_millis(5_000), "{took:?}");
}
