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
        // A marker that the test sees come back, and an answer too slow for any caller.
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
async fn peers_exchange_and_operators_order() {
    let server = bind().await;
    let to = server.local_addr();
    let peer = client("peer-key", "agency");
    let answer = peer.exchange(to, &digest()).await.unwrap();
    assert_eq!(answer.sequence, digest().sequence + 1);
    let operator = client("operator-token", "agency");
    assert_eq!(operator.status(to).await.unwrap().own, host());
    let order = UndrainOrder { by: "ana".into(), id: None, scope: drained() };
    let conflict = operator.undrain(to, &order).await;
    assert_eq!(conflict, Err(PeerError::Conflict("taken back by ana before".into())));
    server.stop().await;
    assert_matches!(peer.exchange(to, &digest()).await, Err(PeerError::Unreachable { .. }));
}

fn drained() -> crate::manifest::DrainScope {
    crate::manifest::DrainScope::Zone("east-1".into())
}

// A rival, or a peer without the right to operate, calls with some key. The message is refused
// before it is read, and the refusal names neither key.
#[tokio::test]
async fn wrong_keys_and_wrong_members_are_refused() {
    let server = bind().await;
    let to = server.local_addr();
    let order = DrainOrder { by: "eve".into(), id: "1".into(), scope: drained() };
    for key in ["", "peer-ke", "peer-keyx", "rivals-key", "operator-token"] {
        let answer = client(key, "agency").exchange(to, &digest()).await;
        assert_eq!(answer, Err(PeerError::Unauthorized), "{key:?}");
    }
    for key in ["", "rivals-key", "peer-key"] {
        let answer = client(key, "agency").drain(to, &order).await;
        assert_eq!(answer, Err(PeerError::Unauthorized), "{key:?}");
    }
    let answer = client("peer-key", "planetarium").exchange(to, &digest()).await;
    assert_eq!(answer, Err(PeerError::OtherMember("planetarium".into())));
}

// Without a key in the settings both secrets are empty. Nobody may then get in with an empty key.
#[tokio::test]
async fn an_empty_key_proves_nothing() {
    let empty = Secret::new("");
    let keys = PeerCredentials { member: "agency".into(), operator: empty.clone(), peer: empty };
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler = Arc::new(Host { view: host() });
    let server = PeerServer::bind(addr, handler, keys).await.unwrap();
    let answer = client("", "agency").exchange(server.local_addr(), &digest()).await;
    assert_eq!(answer, Err(PeerError::Unauthorized));
}

// During a rolling upgrade a host of a later protocol calls with a body that this one cannot read.
// The caller is told of the version, not of a missing field.
#[tokio::test]
async fn an_unknown_version_is_named() {
    let server = bind().await;
    let headers = http::HeaderMap::from_iter([(
        http::header::AUTHORIZATION,
        http::HeaderValue::from_static("Bearer peer-key"),
    )]);
    let url = format!("http://{}", server.local_addr());
    let raw = HttpClientBuilder::default().set_headers(headers).build(url).unwrap();
    let later = serde_json::json!({"body": ["other"], "member": "agency", "version": 9});
    let answer: std::result::Result<Envelope, _> = raw.request("exchange", [later]).await;
    let error = PeerError::from_client_error(server.local_addr(), answer.unwrap_err());
    assert_eq!(error, PeerError::UnsupportedVersion { ours: PROTOCOL_VERSION, theirs: 9 });
    let broken = serde_json::json!({"body": ["other"], "member": "agency", "version": 1});
    let answer: std::result::Result<Envelope, _> = raw.request("exchange", [broken]).await;
    let error = PeerError::from_client_error(server.local_addr(), answer.unwrap_err());
    assert_matches!(error, PeerError::Malformed(_));
}

#[tokio::test]
async fn messages_over_the_limit_are_refused() {
    let server = bind().await;
    let scope =
        crate::manifest::DrainScope::Zone("z".repeat(MAX_MESSAGE_BYTES as usize + 1).into());
    let order = DrainOrder { by: "ana".into(), id: "1".into(), scope };
    let operator = client("operator-token", "agency");
    let answer = operator.drain(server.local_addr(), &order).await;
    assert_matches!(answer, Err(PeerError::Unreachable { .. }));
    assert!(operator.status(server.local_addr()).await.is_ok());
}

// A peer takes the call and never answers, as a paused host does. The caller gives up in time.
#[tokio::test]
async fn a_call_without_answer_ends() {
    let server = bind().await;
    let mut slow = digest();
    slow.sequence = 99;
    let answer = client("peer-key", "agency").exchange(server.local_addr(), &slow).await;
    assert_matches!(answer, Err(PeerError::Unreachable { .. }));
}
