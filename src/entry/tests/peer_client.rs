//! Queries to other hosts over loopback.

use assert_matches::assert_matches;

use crate::{
    base::BodyError,
    entry::{
        Revisions,
        store_objects::StoreObjects,
        sync::{PeerClient, Query, QueryError, ResponseCache},
    },
    platform::standin::{Rewrite, TargetIdentity, TargetStandin, Unending, UnendingPart},
    prelude::*,
};

/// Guards against a host whose memory grows with what a damaged host sends, until the time of the
/// query is over.
#[tokio::test]
async fn a_state_that_never_ends_is_not_read_to_the_end_of_the_query() {
    let identity = TargetIdentity { id: "peer", service: "peer", zone: "north-a" };
    let peer = TargetStandin::spawn(identity).await.expect("a free port");
    peer.set_unending(Some(Unending { part: UnendingPart::Body, pause: Duration::ZERO }));
    let client = PeerClient::open().expect("a client");
    let result = client.query(peer.addr(), &Query::default()).await;
    assert_matches!(result, Err(QueryError::Body(BodyError::TooLarge { .. })));
}

/// Guards against a part of another host's state that is taken for the whole, because its response
/// states too small a length.
#[tokio::test]
async fn a_state_that_is_longer_than_stated_is_not_read_in_part() {
    let state = ResponseCache::default()
        .response(&StoreObjects::default(), Revisions::default(), &Query::default())
        .expect("an encoded state");
    let identity = TargetIdentity { id: "peer", service: "peer", zone: "north-a" };
    let peer = TargetStandin::spawn(identity).await.expect("a free port");
    peer.set_response_body(state.clone());
    let client = PeerClient::open().expect("a client");
    client.query(peer.addr(), &Query::default()).await.expect("the whole state");
    for stated in 0..state.len() {
        let (from, to) = (state.len(), stated);
        let (from, to) = (format!("Content-Length: {from}"), format!("Content-Length: {to}"));
        peer.set_rewrite(Some(Rewrite::new(from, to)));
        client.query(peer.addr(), &Query::default()).await.expect_err("a part");
    }
}
