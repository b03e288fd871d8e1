//! What callers do in a round, and what each of them got.

use std::net::SocketAddr;
use std::time::Duration;

use fulmarpath::dev::CALLER_KEY;
use fulmarpath::dev::caller::{CallerRequest, CallerResponse, call, open, read};
use hyper::Method;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// What a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A generation without a key.
    Plain,
    /// A submission under a key, sent to two hosts.
    Keyed,
    /// A call to the plain service that may be repeated.
    Get,
    /// One that may not.
    Post,
}

/// One caller's part in a round.
#[derive(Debug, Clone)]
pub(crate) struct Part {
    pub(crate) kind: Kind,
    pub(crate) name: String,
    pub(crate) after: Duration,
    hosts: [usize; 2],
    length: u32,
}

/// What a caller got in the end.
#[derive(Debug, Clone)]
pub(crate) struct Outcome {
    pub(crate) part: Part,
    /// The answers it was given, one for each host it asked in the end.
    pub(crate) answers: Vec<CallerResponse>,
}

impl Part {
    pub(crate) fn prompt(&self) -> String {
        format!("{} #{}", self.name, self.length)
    }

    pub(crate) fn path(&self) -> String {
        format!("/{}", self.name)
    }
}

/// Draws the parts of a round.
pub(crate) fn draw(rng: &mut ChaCha8Rng, round: u64, count: usize, hosts: usize) -> Vec<Part> {
    (0..count)
        .map(|number| Part {
            kind: match rng.random_range(0..10) {
                0..5 => Kind::Plain,
                5..8 => Kind::Keyed,
                8 => Kind::Get,
                _ => Kind::Post,
            },
            name: format!("round-{round}-caller-{number}"),
            after: Duration::from_millis(rng.random_range(0..1_500)),
            hosts: [rng.random_range(0..hosts), rng.random_range(0..hosts)],
            length: rng.random_range(5..90),
        })
        .collect()
}

/// Times a caller tries after an answer that never came or said to come back.
const TRIES: usize = 8;
/// Streams that end without a word before a caller gives up.
const SILENCES: usize = 2;
const PAUSE: Duration = Duration::from_millis(400);

/// Plays one part: a caller that insists, as the protocol tells it to.
pub(crate) async fn play(part: Part, addresses: Vec<SocketAddr>) -> Outcome {
    tokio::time::sleep(part.after).await;
    let answers = match part.kind {
        Kind::Plain => vec![insist(&part, &addresses, part.hosts[0], None).await],
        Kind::Keyed => {
            let key = Some(part.name.clone());
            let (one, other) = tokio::join!(
                insist(&part, &addresses, part.hosts[0], key.clone()),
                insist(&part, &addresses, part.hosts[1], key.clone()),
            );
            vec![one, other]
        }
        Kind::Get => vec![plain(&part, &addresses, Method::GET).await],
        Kind::Post => vec![plain(&part, &addresses, Method::POST).await],
    };
    Outcome { part, answers }
}

/// Asks until there is an answer; goes on at the next host where a connection broke.
async fn insist(
    part: &Part,
    addresses: &[SocketAddr],
    host: usize,
    key: Option<String>,
) -> CallerResponse {
    let mut ask = CallerRequest {
        key: CALLER_KEY,
        prompt: part.prompt(),
        idempotency_key: key,
        last_event_id: None,
        traceparent: None,
    };
    let mut sofar: Vec<String> = Vec::new();
    let mut last = None;
    let mut silences = 0;
    for attempt in 0..TRIES {
        let address = addresses[(host + attempt) % addresses.len()];
        let mut got = read(open(address, &ask).await, usize::MAX).await;
        sofar.append(&mut got.tokens);
        got.tokens.clone_from(&sofar);
        if let Some(id) = got.event_ids.last() {
            ask.last_event_id = Some(id.clone());
            ask.idempotency_key = None;
        }
        let problem = got.problem.clone().unwrap_or_default();
        let final_word =
            got.is_complete || (!problem.is_empty() && !problem.starts_with("not-run"));
        // A plain connection that broke before anything came may have run: asking again would be
        // a second request, which a caller without a key has to decide for itself.
        let unsure =
            got.status == 0 && !got.is_unsent && ask.idempotency_key.is_none() && sofar.is_empty();
        silences += usize::from(!got.is_unsent && !got.is_complete && problem.is_empty());
        // A closed door is no answer: a balancer would not have sent the caller to a host that has
        // stopped. What it was told before stands; who was never told anything is still lost.
        if !got.is_unsent || last.is_none() {
            last = Some(got);
        }
        if final_word || unsure || silences >= SILENCES {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    last.unwrap_or_else(|| unreachable!("at least one try is made"))
}

/// Calls the plain service; at the next host only where the first was certainly never reached.
async fn plain(part: &Part, addresses: &[SocketAddr], method: Method) -> CallerResponse {
    let path = format!("/services/lookup{}", part.path());
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let mut host = part.hosts[0];
    loop {
        let address = addresses[host % addresses.len()];
        let answer = call(address, method.clone(), &path, &headers, "body".into()).await;
        let got = read(answer, usize::MAX).await;
        if !got.is_unsent || host > part.hosts[0] + TRIES {
            return got;
        }
        host += 1;
    }
}
