//! Running hosts on loopback: what callers are told, and what targets really ran.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up fails the test")]

use std::{sync::Arc, time::Duration};

use lavenderplank::{base::ManualClock, daemon::Daemon};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[path = "support/hosts.rs"]
mod hosts;

use hosts::{BOOKING, Member, READ, header, served, until};

#[tokio::test(flavor = "multi_thread")]
async fn a_read_and_a_booking_are_served() {
    let mut member = Member::open().await;
    let host = member.host("a-1", &[]).await;
    let lookup = member.look_up(&host, BOOKING).await.unwrap();
    let url = format!("http://{}/v1/services/{READ}/", lookup.hosts[0].address);
    let read = served("r", |id| member.http.get(&url).header("lavender-request-id", id)).await;
    let (id, read) = (read.key, read.res);
    assert_eq!((read.status().as_u16(), header(&read, "lavender-ran")), (200, "yes"));
    assert!(read.text().await.unwrap().starts_with(&id));

    let binding = lookup.binding.to_string();
    let book = |key: &str| member.book(&host, key).header("lavender-binding", &binding);
    let first = served("k", book).await;
    let second = book(&first.key).send().await.unwrap();
    for booking in [&first.res, &second] {
        assert_eq!((booking.status().as_u16(), header(booking, "lavender-ran")), (200, "yes"));
    }
    assert_eq!(member.log.runs(&first.key), 1);
}

// A host that has just started answers a look-up, and the caller books with the binding from it.
// The host's clock counts from the machine's boot, here two hours ago; a ledger that counted its
// first generation from the clock's zero had dropped it before the first booking came, and told
// every caller `unknown`.
#[tokio::test(flavor = "multi_thread")]
async fn the_first_binding_of_a_host_takes_bookings() {
    let clock = Arc::new(ManualClock::default());
    clock.advance(Duration::from_secs(2 * 3600));
    let ticking = clock.clone();
    let tick = tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(10)).await;
            ticking.advance(Duration::from_millis(10));
        }
    });
    let mut member = Member::open_at(clock).await;
    let host = member.host("a-1", &[]).await;
    let lookup = member.look_up(&host, BOOKING).await.unwrap();
    let binding = lookup.binding.to_string();
    let book = |key: &str| member.book(&host, key).header("lavender-binding", &binding);
    let booking = served("k", book).await.res;
    assert_eq!((booking.status().as_u16(), header(&booking, "lavender-ran")), (200, "yes"));
    tick.abort();
}

// A caller says of itself that it is a host and wants a slot. If it were believed, its booking
// would pass by the ledger, and a resend would run a second time. Only the member's secret proves
// a host, so it is refused before anything runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_cannot_pass_by_the_ledger() {
    let mut member = Member::open().await;
    let host = member.host("a-1", &[]).await;
    for auth in [None, Some("a guess")] {
        let mut booking = member.book(&host, "k-1").header("lavender-via", "slot-hop");
        if let Some(auth) = auth {
            booking = booking.header("lavender-peer-auth", auth);
        }
        let booking = booking.send().await.unwrap();
        let told = (booking.status().as_u16(), header(&booking, "lavender-ran"));
        assert_eq!(told, (400, "unknown"));
    }
    assert_eq!(member.log.runs("k-1"), 0);
}

// Requests that lack what they need, or ask the wrong host, are refused before anything runs, and
// the caller is told how to go on. Only one that names neither a binding nor a key is told `no`:
// of any other one an earlier copy may have run, and its ledger was not asked.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_say_what_to_do() {
    let mut member = Member::open().await;
    let host = member.host("a-1", &[]).await;
    let binding = member.look_up(&host, BOOKING).await.unwrap().binding.to_string();
    let stranger = "a-9/00000000000000aa/0";
    let cases = [
        ("booking-incomplete", 428, "unknown", vec![]),
        ("booking-malformed", 400, "unknown", vec![("lavender-binding", "no binding")]),
        ("booking-malformed", 400, "unknown", vec![("lavender-deadline-ms", "soon")]),
        ("owner-gone", 502, "unknown", vec![("lavender-binding", stranger)]),
        (
            "booking-misdirected",
            403,
            "unknown",
            vec![("lavender-binding", &*binding), ("lavender-member", "himalaya-tara")],
        ),
    ];
    for (error, status, ran, headers) in cases {
        let mut booking = member.book(&host, "k-1");
        for (name, value) in headers {
            booking = booking.header(name, value);
        }
        let res = booking.send().await.unwrap();
        let told = (res.status().as_u16(), header(&res, "lavender-error"));
        assert_eq!(told, (status, error));
        assert_eq!(header(&res, "lavender-ran"), ran, "{error}");
    }
    assert_eq!(member.log.runs("k-1"), 0);
    let url = format!("http://{}/v1/services/{BOOKING}/", host.http_addr());
    let bare = member.http.post(&url).send().await.unwrap();
    let told = (header(&bare, "lavender-error"), header(&bare, "lavender-ran"));
    assert_eq!(told, ("key-missing", "no"));
}

// A counter books, does not hear the answer and sends the booking again, but this copy is spoiled
// on the way: too large, without its binding, for the wrong path or member. Each host refuses it
// before it asks the ledger. Told `no`, the counter would book again and be charged twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_spoiled_copy_of_a_booking_that_ran_is_never_told_not_run() {
    let mut member = Member::open().await;
    let host = member.host("a-1", &[]).await;
    let binding = member.look_up(&host, BOOKING).await.unwrap().binding.to_string();
    let book = |key: &str| member.book(&host, key).header("lavender-binding", &binding);
    let key = served("k", book).await.key;
    let bare = |path: &str| member.http.post(format!("http://{}{path}", host.http_addr()));
    let service = format!("/v1/services/{BOOKING}/");
    let spoiled = [
        ("booking-incomplete", member.book(&host, &key)),
        ("booking-incomplete", bare(&service).header("lavender-binding", &binding)),
        ("booking-malformed", book(&key).header("lavender-deadline-ms", "soon")),
        ("booking-malformed", bare("/v1/service/intake/").header("idempotency-key", &key)),
        ("booking-misdirected", book(&key).header("lavender-member", "himalaya-tara")),
        ("booking-too-large", book(&key).body(vec![b'x'; 65 * 1024])),
    ];
    for (error, copy) in spoiled {
        let res = copy.send().await.unwrap();
        let told = (header(&res, "lavender-error"), header(&res, "lavender-ran"));
        assert_eq!(told, (error, "unknown"));
    }
    let torn = send_torn(&host, &key, &binding).await;
    assert!(torn.contains("lavender-error: booking-malformed\r\n"), "{torn}");
    assert!(torn.contains("lavender-ran: unknown\r\n"), "{torn}");
    let whole = book(&key).send().await.unwrap();
    assert_eq!(header(&whole, "lavender-ran"), "yes");
    assert_eq!(member.log.runs(&key), 1);
}

/// Sends a booking whose body breaks off in its second chunk, and gives the answer's text.
async fn send_torn(host: &Daemon, key: &str, binding: &str) -> String {
    let mut stream = tokio::net::TcpStream::connect(host.http_addr()).await.unwrap();
    let head = format!(
        "POST /v1/services/{BOOKING}/ HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         idempotency-key: {key}\r\nlavender-binding: {binding}\r\n\
         transfer-encoding: chunked\r\n\r\n3\r\none\r\nno length\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

// A counter's first copy runs at a host whose manifest has the service. The next manifest closes
// the service, and the counter, which heard no answer, sends the booking again. By its manifest the
// host does not know the service, but its ledger knows the booking, and gives the kept answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_of_a_closed_service_still_has_its_answer() {
    let mut member = Member::open().await;
    let host = member.host("a-1", &[]).await;
    let other = member.host("a-2", &[&host]).await;
    let lookup = member.look_up(&host, BOOKING).await.unwrap();
    let bound = lookup.hosts.iter().find(|ranked| &*ranked.host == "a-1").unwrap();
    let binding = bound.binding.to_string();
    let book = |key: &str| member.book(&host, key).header("lavender-binding", &binding);
    let key = served("k", book).await.key;
    member.close(BOOKING);
    member.apply(2).await;
    let closed = |host: &Daemon| host.sequence() == Some(2);
    until(|| async { closed(&host) && closed(&other) }).await;
    for at in [&host, &other] {
        let copy = member.book(at, &key).header("lavender-binding", &binding);
        assert_eq!(header(&copy.send().await.unwrap(), "lavender-ran"), "yes");
        let new = member.book(at, "k-new").header("lavender-binding", &binding);
        let res = new.send().await.unwrap();
        assert_eq!(header(&res, "lavender-ran"), "no");
    }
    assert_eq!((member.log.runs(&key), member.log.runs("k-new")), (1, 0));
}

// A caller books at a host, which then stops on a plan. The caller did not hear the answer and
// sends the booking again, to the other host of the zone. That one has taken over the sealed
// ledger and gives the kept answer; a new key with the old binding is told to look up again.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_the_ledger_over() {
    let mut member = Member::open().await;
    let stays = member.host("a-1", &[]).await;
    let stops = member.host("a-2", &[&stays]).await;
    let lookup = member.look_up(&stops, BOOKING).await.unwrap();
    let bound = lookup.hosts.iter().find(|host| &*host.host == "a-2").unwrap();
    let binding = bound.binding.to_string();
    let book = |key: &str| member.book(&stops, key).header("lavender-binding", &binding);
    let first = served("k", book).await;
    assert_eq!(header(&first.res, "lavender-ran"), "yes");

    let report = stops.stop().await;
    assert_eq!((report.interrupted, report.entries_lost), (0, 0));

    let again = member.book(&stays, &first.key).header("lavender-binding", &binding);
    assert_eq!(header(&again.send().await.unwrap(), "lavender-ran"), "yes");
    assert_eq!(member.log.runs(&first.key), 1);
    let new = member.book(&stays, "k-new").header("lavender-binding", &binding);
    assert_eq!(header(&new.send().await.unwrap(), "lavender-error"), "binding-closed");
    assert_eq!(member.log.runs("k-new"), 0);
}

// A host stops that has taken no booking yet. One is on its way to it with its binding, its
// connection breaks, and the caller sends it again, to the other host. Nothing ran, and only the
// handed-over ledger, empty as it is, proves that; without it the caller hears `unknown`.
#[tokio::test(flavor = "multi_thread")]
async fn an_empty_ledger_is_handed_over_too() {
    let mut member = Member::open().await;
    let stays = member.host("a-1", &[]).await;
    let stops = member.host("a-2", &[&stays]).await;
    let lookup = member.look_up(&stops, BOOKING).await.unwrap();
    let bound = lookup.hosts.iter().find(|host| &*host.host == "a-2").unwrap();
    let report = stops.stop().await;
    assert_eq!((report.interrupted, report.entries_lost), (0, 0));
    let copy = member.book(&stays, "k").header("lavender-binding", bound.binding.to_string());
    let res = copy.send().await.unwrap();
    let told = (header(&res, "lavender-error"), header(&res, "lavender-ran"));
    assert_eq!(told, ("binding-closed", "no"));
}
