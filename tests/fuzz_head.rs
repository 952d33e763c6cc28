//! Heads of requests from anywhere: a clear answer or what the caller meant, never a panic.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up fails the test")]

use std::{cell::Cell, sync::Arc, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use lavenderplank::{
    daemon::{BadHeader, IncomingRequest, headers},
    ingress::BodyReservation,
    routing::{Arrival, Via},
    settings::Secret,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const CASES: u32 = 3_000;
/// Least number of cases in which the rarest sort of head was read.
const MEANT: u32 = 30;
const SECRET: &str = "the member's secret";
const RECEIVED: Duration = Duration::from_secs(7_200);
const MAX_DEADLINE: Duration = Duration::from_secs(120);
const MAX_TEXT: usize = 128;

/// Headers that decide what becomes of a request.
const NAMES: [&str; 8] = [
    headers::BINDING,
    headers::CLIENT,
    headers::DEADLINE,
    headers::IDEMPOTENCY_KEY,
    headers::MEMBER,
    headers::PEER_AUTH,
    headers::REQUEST,
    headers::VIA,
];

/// One header line.
#[derive(Clone, Debug)]
struct Line {
    name: &'static str,
    value: Vec<u8>,
}

/// The same cases in every run.
fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[8; 32]))
}

/// Values that are right, or nearly right, for the header.
fn meant(name: &str) -> BoxedStrategy<Vec<u8>> {
    let texts = match name {
        headers::BINDING => "[a-z]{1,5}/[0-9a-f]{16}/[0-9]{1,20}",
        headers::CLIENT => "127\\.0\\.0\\.[0-9]{1,3}|::1|fe80::[0-9a-f]{1,5}",
        headers::DEADLINE => "[0-9]{1,21}",
        headers::PEER_AUTH => "the member's secret",
        headers::VIA => "ledger-hop|slot-hop|caller",
        _ => "[ -~]{0,140}",
    };
    texts.prop_map(String::into_bytes).boxed()
}

fn line() -> impl Strategy<Value = Line> {
    let (name, stray) =
        (prop::sample::select(NAMES.to_vec()), prop::sample::select(NAMES.to_vec()));
    let value = (name, stray).prop_flat_map(|(name, stray)| {
        let bytes = prop::collection::vec(any::<u8>(), 0..140);
        let value = prop_oneof![8 => meant(name), 1 => meant(stray), 1 => bytes];
        value.prop_map(move |value| Line { name, value })
    });
    value.boxed()
}

fn head() -> impl Strategy<Value = Vec<Line>> {
    prop::collection::vec(line(), 0..7)
}

/// What a server makes of the lines; a value that HTTP does not allow never gets here.
fn incoming(lines: &[Line], body: &[u8]) -> IncomingRequest {
    let mut map = HeaderMap::new();
    for line in lines {
        let Ok(value) = HeaderValue::from_bytes(&line.value) else { continue };
        map.append(HeaderName::from_static(line.name), value);
    }
    IncomingRequest {
        body: body.to_vec().into(),
        headers: map,
        body_memory: BodyReservation::default(),
        method: Method::POST,
        path: "/".into(),
        received: RECEIVED,
        remote: None,
        service: "intake".into(),
    }
}

fn read(incoming: &IncomingRequest) -> Result<Arrival, BadHeader> {
    incoming.arrival(1, &Arc::from("gradski-servis"), &Secret::new(SECRET))
}

fn only<'a>(incoming: &'a IncomingRequest, name: &str) -> Option<&'a [u8]> {
    let values: Vec<&HeaderValue> = incoming.headers.get_all(name).iter().collect();
    assert!(values.len() <= 1, "{name} came twice and was read");
    values.first().map(|value| value.as_bytes())
}

fn is_text(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_TEXT
}

// Which ledger a booking goes to, whether it passes by the ledger, and how long it may wait hang on
// the head. One that is read in another sense than its caller's (the first of two keys, a binding
// cut short, a hop without the secret) could run a booking twice.
#[test]
fn a_head_is_read_as_it_was_meant_or_refused_by_name() {
    let (bound, hops) = (Cell::new(0), Cell::new(0));
    let check = |lines: Vec<Line>| {
        let incoming = incoming(&lines, b"one pair");
        let arrival = match read(&incoming) {
            Ok(arrival) => arrival,
            Err(BadHeader { expected, header }) => {
                prop_assert!(!expected.is_empty());
                let hop = header == headers::PEER_AUTH;
                let given = if hop { headers::VIA } else { header };
                prop_assert!(incoming.headers.contains_key(given), "{given} was not sent");
                return Ok(());
            }
        };
        let binding = arrival.binding.as_ref().map(|binding| binding.to_string());
        prop_assert_eq!(binding.as_deref().map(str::as_bytes), only(&incoming, headers::BINDING));
        let key = arrival.key.as_deref();
        prop_assert_eq!(key.map(str::as_bytes), only(&incoming, headers::IDEMPOTENCY_KEY));
        prop_assert!(key.is_none_or(is_text) && is_text(&arrival.request));
        let hop = only(&incoming, headers::VIA);
        prop_assert_eq!(arrival.via != Via::Caller, hop.is_some());
        if hop.is_some() {
            let proof = only(&incoming, headers::PEER_AUTH);
            prop_assert_eq!(proof, Some(SECRET.as_bytes()));
            hops.set(hops.get() + 1);
        }
        bound.set(bound.get() + u32::from(arrival.binding.is_some()));
        prop_assert!(RECEIVED < arrival.deadline);
        prop_assert!(arrival.deadline <= RECEIVED + MAX_DEADLINE);
        Ok(())
    };
    runner().run(&head(), check).unwrap();
    assert!(MEANT <= bound.get() && MEANT <= hops.get(), "{bound:?} bound, {hops:?} hops");
}

// A resend is known by its key and its digest, and a request that crashes targets by its
// fingerprint. Neither may hang on headers that change from copy to copy; both hang on the body.
#[test]
fn copies_are_known_by_what_they_ask_for() {
    let compared = Cell::new(0);
    let check = |(lines, other, bodies): (Vec<Line>, Vec<Line>, [Vec<u8>; 2])| {
        let member = |lines: &[Line]| {
            lines.iter().filter(|line| line.name != headers::MEMBER).cloned().collect::<Vec<_>>()
        };
        let first = read(&incoming(&member(&lines), &bodies[0]));
        let copy = read(&incoming(&member(&other), &bodies[0]));
        let changed = read(&incoming(&member(&lines), &bodies[1]));
        let (Ok(first), Ok(copy), Ok(changed)) = (first, copy, changed) else { return Ok(()) };
        prop_assert_eq!((first.digest, first.fingerprint), (copy.digest, copy.fingerprint));
        let same = bodies[0] == bodies[1];
        compared.set(compared.get() + 1);
        prop_assert_eq!(first.digest == changed.digest, same);
        prop_assert_eq!(first.fingerprint == changed.fingerprint, same);
        Ok(())
    };
    let body = || prop::collection::vec(any::<u8>(), 0..3);
    let lines = || prop::collection::vec(line(), 0..3);
    runner().run(&(lines(), lines(), [body(), body()]), check).unwrap();
    assert!(CASES / 10 <= compared.get(), "{compared:?} pairs were compared");
}
