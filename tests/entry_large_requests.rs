//! Requests with many headers or a large body, end to end over loopback.

#[path = "support/entry.rs"]
mod support;

use lavenderplank::{entry::EntryHost, event_log::Event, platform::standin::LinkMode};
use reqwest::Response;
use support::{HOST, World, run, until};

/// Most headers that a host accepts, with those that every request of these tests has.
const MAX_HEADERS: usize = 1024;

/// Sends a request with `count` headers in all.
async fn ask_with_headers(world: &World, host: &EntryHost, count: usize) -> Response {
    ask_with_values(world, host, count, "1").await
}

async fn ask_with_values(world: &World, host: &EntryHost, count: usize, value: &str) -> Response {
    let url = format!("http://{}/reads/one", host.listen().callers);
    let mut req = world.http.get(url).header("Host", HOST);
    req = req.header("Accept", "*/*").header("Lavenderplank-Attempt-Id", "r-1");
    for number in 3..count {
        req = req.header(format!("x-{number}"), value);
    }
    req.send().await.expect("an answer")
}

/// Guards against requests that are refused because they have more than 100 headers, although their
/// head is within the declared size.
#[test]
fn a_request_with_many_headers_is_served() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let host = world.host("a").await;
        for count in [101, MAX_HEADERS] {
            assert_eq!(ask_with_headers(&world, &host, count).await.status(), 200, "{count}");
        }
        assert_eq!(ask_with_headers(&world, &host, MAX_HEADERS + 1).await.status(), 431);
        let large = "1".repeat(400);
        assert_eq!(ask_with_values(&world, &host, 100, &large).await.status(), 431);
        assert_eq!(world.arrivals(), 2);
    });
}

/// Guards against a request with as many headers as a host accepts that the host which serves it for
/// another one refuses, because of the headers that were added on the way.
#[test]
fn a_relayed_request_with_many_headers_is_served() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let (cut, links) = world.host_with_links("a", "north-a").await;
        let _other = world.host("b").await;
        links.set(LinkMode::Reset);
        until("a relayed answer", async || {
            ask_with_headers(&world, &cut, MAX_HEADERS).await.status() == 200
        })
        .await;
        assert!(world.events.has(|event| matches!(event, Event::Relayed { .. })));
    });
}
