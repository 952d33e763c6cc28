//! Queries to other hosts over loopback.

use assert_matches::assert_matches;

use crate::{
    base::BodyError,
    entry::sync::{PeerClient, Query, QueryError},
    platform::standin::{TargetIdentity, TargetStandin, Unending, UnendingPart},
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
