use assert_matches::assert_matches;
use async_trait::async_trait;
use jsonrpsee::{core::client::ClientT, http_client::HttpClientBuilder};

use super::*;
use crate::{
    drain::DrainRecord,
    membership::{Digest, Membership, MembershipLimits},
    operator::{Explanation, HostStatus},
    prelude::*,
    settings::Secret,
    timeline::HybridTime,
    view::HostView,
};

mod compression;

struct Host {
    view: HostView,
}

fn host() -> HostView {
    let addr = SocketAddr::from(([127, 0, 0, 1], 9));
    HostView {
        address: addr,
        adopted: Vec::new(),
        generation: 1,
        id: "a".into(),
        incarnation: 7,
        leaving: false,
        region: "east".into(),
        rpc: addr,
        zone: "east-1".into(),
    }
}

fn digest() -> Digest {
    Membership::new(host(), MembershipLimits::default()).digest(Duration::ZERO)
}

#[async_trait]
impl PeerHandler for Host {
    async fn exchange(&self, mut digest: Digest) -> Result<Digest> {
        // Never responds to sequence 99; increments any other, to mark the response.
        if digest.sequence == 99 {
            std::future::pending::<()>().await;
        }
        digest.sequence += 1;
        Ok(digest)
    }

    async fn manifest(&self) -> Result<ManifestReply> {
        Ok(ManifestReply::default())
    }

    async fn part(&self, request: PartRequest) -> Result<PartReply> {
        Ok(PartReply { part: compression::part(&request.id) })
    }

    async fn handover(&self, chunk: HandoverChunk) -> Result<HandoverAck> {
        Ok(HandoverAck { complete: true, index: chunk.part.index })
    }

    async fn status(&self) -> Result<HostStatus> {
        Ok(HostStatus::new(self.view.clone()))
    }

    async fn explain(&self, _: ExplainRequest) -> Result<Explanation> {
        Err(PeerError::Unavailable("no manifest yet".into()))
    }

    async fn drain(&self, order: DrainOrder) -> Result<DrainRecord> {
        let DrainOrder { by, id, scope } = order;
        Ok(DrainRecord {
            at: HybridTime::default(),
            by,
            id,
            scope,
            settled: false,
            started: None,
            taken_by: "a".into(),
            under: 1,
            undone: None,
        })
    }

    async fn undrain(&self, _: UndrainOrder) -> Result<Vec<DrainRecord>> {
        Err(PeerError::Conflict("taken back by ana before".into()))
    }
}

async fn bind() -> PeerServer {
    let keys = PeerCredentials {
        member: "agency".into(),
        operator: Secret::new("operator-token"),
        peer: Secret::new("peer-key\n"),
    };
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    PeerServer::bind(addr, Arc::new(Host { view: host() }), keys).await.unwrap()
}

fn client(key: &str, member: &str) -> PeerClient {
    PeerClient::new(Secret::new(key), member.into())
}

#[tokio::test]
async fn serves_peers_and_operators() {
    let server = bind().await;
    let to = server.local_addr();
    let peer = client("peer-key", "agency");
    let response = peer.exchange(to, &digest()).await.unwrap();
    assert_eq!(response.sequence, digest().sequence + 1);
    let operator = client("operator-token", "agency");
    assert_eq!(operator.status(to).await.unwrap().own, host());
    let order = UndrainOrder { by: "ana".into(), id: None, scope: drain_scope() };
    let conflict = operator.undrain(to, &order).await;
    assert_eq!(conflict, Err(PeerError::Conflict("taken back by ana before".into())));
    server.stop().await;
    assert_matches!(peer.exchange(to, &digest()).await, Err(PeerError::Unreachable { .. }));
}

fn drain_scope() -> crate::manifest::DrainScope {
    crate::manifest::DrainScope::Zone("east-1".into())
}

// A call with a wrong key, or with the peer key on an operator method, is refused before its
// message is decoded, and the error reveals neither key.
#[tokio::test]
async fn rejects_wrong_key_and_wrong_member() {
    let server = bind().await;
    let to = server.local_addr();
    let order = DrainOrder { by: "eve".into(), id: "1".into(), scope: drain_scope() };
    for key in ["", "peer-ke", "peer-keyx", "rivals-key", "operator-token"] {
        let response = client(key, "agency").exchange(to, &digest()).await;
        assert_eq!(response, Err(PeerError::Unauthorized), "{key:?}");
    }
    for key in ["", "rivals-key", "peer-key"] {
        let response = client(key, "agency").drain(to, &order).await;
        assert_eq!(response, Err(PeerError::Unauthorized), "{key:?}");
    }
    let response = client("peer-key", "planetarium").exchange(to, &digest()).await;
    assert_eq!(response, Err(PeerError::OtherMember("planetarium".into())));
}

// Without keys in the settings both secrets are empty. An empty token must not authenticate then.
#[tokio::test]
async fn rejects_empty_key() {
    let empty = Secret::new("");
    let keys = PeerCredentials { member: "agency".into(), operator: empty.clone(), peer: empty };
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler = Arc::new(Host { view: host() });
    let server = PeerServer::bind(addr, handler, keys).await.unwrap();
    let response = client("", "agency").exchange(server.local_addr(), &digest()).await;
    assert_eq!(response, Err(PeerError::Unauthorized));
}

// During a rolling upgrade a host of a later protocol version sends a body that this host cannot
// decode. The error must name the version, not a missing field.
#[tokio::test]
async fn reports_unsupported_version() {
    let server = bind().await;
    let headers = http::HeaderMap::from_iter([(
        http::header::AUTHORIZATION,
        http::HeaderValue::from_static("Bearer peer-key"),
    )]);
    let url = format!("http://{}", server.local_addr());
    let raw = HttpClientBuilder::default().set_headers(headers).build(url).unwrap();
    let later = serde_json::json!({"body": ["other"], "member": "agency", "version": 9});
    let response: std::result::Result<Envelope, _> = raw.request("exchange", [later]).await;
    let error = PeerError::from_client_error(server.local_addr(), response.unwrap_err());
    assert_eq!(error, PeerError::UnsupportedVersion { ours: PROTOCOL_VERSION, theirs: 9 });
    let broken = serde_json::json!({"body": ["other"], "member": "agency", "version": 1});
    let response: std::result::Result<Envelope, _> = raw.request("exchange", [broken]).await;
    let error = PeerError::from_client_error(server.local_addr(), response.unwrap_err());
    assert_matches!(error, PeerError::Malformed(_));
}

#[tokio::test]
async fn rejects_oversized_message() {
    let server = bind().await;
    let scope =
        crate::manifest::DrainScope::Zone("z".repeat(MAX_MESSAGE_BYTES as usize + 1).into());
    let order = DrainOrder { by: "ana".into(), id: "1".into(), scope };
    let operator = client("operator-token", "agency");
    let response = operator.drain(server.local_addr(), &order).await;
    assert_matches!(response, Err(PeerError::Unreachable { .. }));
    assert!(operator.status(server.local_addr()).await.is_ok());
}

// A peer accepts the call and never responds, as a paused host does. The call times out.
#[tokio::test]
async fn call_without_response_times_out() {
    let server = bind().await;
    let mut slow = digest();
    slow.sequence = 99;
    let response = client("peer-key", "agency").exchange(server.local_addr(), &slow).await;
    assert_matches!(response, Err(PeerError::Unreachable { .. }));
}
