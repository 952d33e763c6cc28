//! The binary itself, as operators run it: signals, exit codes, and what callers see of both.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up fails the test")]

use std::net::SocketAddr;

use rustix::process::Signal;

#[path = "support/hosts.rs"]
mod hosts;
#[path = "support/process.rs"]
mod process;

use hosts::{Member, header, served, until};
use process::Process;

// An operator stops a host with SIGTERM. It takes no new work, hands its ledger to its neighbour
// and ends with 0; the neighbour then answers the copy of a booking that the stopped one ran.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_is_a_planned_stop() {
    let member = Member::open().await;
    let stays = Process::start(&member, "a-1", &[]);
    let mut stops = Process::start(&member, "a-2", &[&stays]);
    until(|| stays.knows(&member, 2)).await;
    until(|| stops.knows(&member, 2)).await;
    let lookup = stops.look_up(&member).await.unwrap();
    let own = lookup.hosts.iter().find(|host| &*host.host == "a-2").unwrap();
    let binding = own.binding.to_string();
    let book =
        |at: SocketAddr, key: &str| member.book_at(at, key).header("lavender-binding", &binding);
    let first = served("k", |key| book(stops.http, key)).await;
    assert_eq!(header(&first.res, "lavender-ran"), "yes");

    stops.signal(Signal::TERM);
    assert_eq!(stops.ended().await, Some(0));
    let copy = book(stays.http, &first.key).send().await.unwrap();
    assert_eq!(header(&copy, "lavender-ran"), "yes");
    assert_eq!(member.log.runs(&first.key), 1);
}

// A host is paused (SIGSTOP) after it ran a booking, and its neighbour takes its targets over. A
// copy of the booking meanwhile is `unknown`, never `not run`. When the host goes on, it still has
// its ledger and answers the copy; the booking ran once.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_host_neither_loses_nor_doubles_a_booking() {
    let member = Member::open().await;
    let stays = Process::start(&member, "a-1", &[]);
    let pauses = Process::start(&member, "a-2", &[&stays]);
    until(|| stays.knows(&member, 2)).await;
    until(|| pauses.knows(&member, 2)).await;
    let lookup = pauses.look_up(&member).await.unwrap();
    let own = lookup.hosts.iter().find(|host| &*host.host == "a-2").unwrap();
    let binding = own.binding.to_string();
    let book =
        |at: SocketAddr, key: &str| member.book_at(at, key).header("lavender-binding", &binding);
    let first = served("k", |key| book(pauses.http, key)).await;
    assert_eq!(header(&first.res, "lavender-ran"), "yes");

    pauses.signal(Signal::STOP);
    until(|| stays.knows(&member, 1)).await;
    let copy = book(stays.http, &first.key).send().await.unwrap();
    assert_eq!(header(&copy, "lavender-ran"), "unknown");
    let binding_of_other = stays.look_up(&member).await.unwrap().binding.to_string();
    let other =
        |key: &str| member.book_at(stays.http, key).header("lavender-binding", &binding_of_other);
    let other = served("other", other).await;
    assert_eq!(header(&other.res, "lavender-ran"), "yes");

    pauses.signal(Signal::CONT);
    until(|| stays.knows(&member, 2)).await;
    until(|| async {
        let copy = book(stays.http, &first.key).send().await.unwrap();
        header(&copy, "lavender-ran") == "yes"
    })
    .await;
    assert_eq!(member.log.runs(&first.key), 1);
    assert_eq!(member.log.runs(&other.key), 1);
}

// A second SIGTERM means: end now. The host says so by its exit code.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_sigterm_ends_at_once() {
    let member = Member::open().await;
    let mut host = Process::start(&member, "a-1", &[]);
    until(|| host.knows(&member, 1)).await;
    host.signal(Signal::TERM);
    until(|| async {
        let res = member.http.get(format!("http://{}/v1/services/status/", host.http)).send().await;
        res.is_ok_and(|res| header(&res, "lavender-error") == "host-leaving")
    })
    .await;
    host.signal(Signal::TERM);
    assert_eq!(host.ended().await, Some(1));
}
