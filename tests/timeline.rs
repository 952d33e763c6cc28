//! The time line gathered over RPC from running servers.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
};

use async_trait::async_trait;
use lavenderplank::{
    peer::{PeerClient, PeerCredentials, PeerError, PeerHandler, PeerServer, Result},
    settings::Secret,
    timeline::{Event, EventKind, EventSink, Filter, Gatherer, Recorder},
};

struct Host(Arc<Recorder>);

#[async_trait]
impl PeerHandler for Host {
    async fn events(&self, filter: Filter) -> Result<Vec<Event>> {
        Ok(self.0.events(&filter))
    }
}

async fn serve(host: &str) -> (Arc<Recorder>, PeerServer) {
    let recorder = Arc::new(Recorder::new("agency".into(), host.into(), 1, 20_000));
    let keys = PeerCredentials {
        member: "agency".into(),
        operator: Secret::new("operators"),
        peer: Secret::new("peers"),
    };
    let address = (Ipv4Addr::LOCALHOST, 0).into();
    let server = PeerServer::bind(address, Arc::new(Host(recorder.clone())), keys).await;
    (recorder, server.expect("a loopback port is free"))
}

fn dispatched(number: usize) -> EventKind {
    EventKind::Dispatched { target: number.to_string().into() }
}

// One of three hosts is gone. The operator must still see what the others did, in causal order
// and without a gap between pages, and be told which host is missing.
#[tokio::test]
async fn hosts_that_answer_are_merged_and_the_others_named() {
    let (first, first_server) = serve("zg-1").await;
    let (second, second_server) = serve("st-1").await;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let gone: SocketAddr = listener.local_addr().unwrap();
    drop(listener);
    let per_host = 5_000;
    for number in 0..per_host {
        first.record(None, dispatched(number));
        second.observe(first.stamp());
        second.record(Some(&"r-1".into()), dispatched(number));
        first.observe(second.stamp());
    }
    let hosts = [first_server.local_addr(), gone, second_server.local_addr()];
    let client = PeerClient::new(Secret::new("operators"), "agency".into());
    let mut gatherer = Gatherer::new(&hosts, Filter::default());

    let gathered = gatherer.gather(&client).await;
    let silent: Vec<_> = gathered.silent.iter().map(|(host, _)| *host).collect();
    assert_eq!(silent, [gone]);
    assert_eq!(gathered.events.len(), 2 * per_host);
    for (index, event) in gathered.events.iter().enumerate() {
        assert_eq!(event.kind, dispatched(index / 2), "{index}");
        assert_eq!(&*event.host, if index % 2 == 0 { "zg-1" } else { "st-1" });
    }

    first.record(None, EventKind::Stopped);
    let followed = gatherer.gather(&client).await.events;
    assert_eq!(followed.len(), 1);
    assert_eq!(followed[0].kind, EventKind::Stopped);
}

#[tokio::test]
async fn a_wrong_token_is_refused() {
    let (_, server) = serve("zg-1").await;
    let client = PeerClient::new(Secret::new("guess"), "agency".into());
    let mut gatherer = Gatherer::new(&[server.local_addr()], Filter::default());
    let gathered = gatherer.gather(&client).await;
    assert_eq!(gathered.silent[0].1, PeerError::Unauthorized);
}
