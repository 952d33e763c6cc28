//! What one call between hosts costs, over real sockets of the loopback interface.

use std::net::Ipv4Addr;

use async_trait::async_trait;

use super::{figure::Figure, gauge::thread_time};
use crate::{
    drain::DrainRecord,
    membership::Digest,
    operator::{Explanation, HostStatus},
    peer::{
        DrainOrder, ExplainRequest, HandoverAck, HandoverChunk, ManifestReply, PartReply,
        PartRequest, PeerClient, PeerError, PeerHandler, PeerKeys, PeerServer, Result,
        UndrainOrder,
    },
    prelude::*,
    settings::Secret,
    timeline::{Event, Filter},
};

const CALLS: usize = 200;
const MEMBER: &str = "member";

/// Client and server share one thread, so that its processor time is that of both.
pub fn measure(digests: &[(usize, Digest)], target: usize) -> Figure {
    let mut digests = digests.iter().map(|(_, digest)| digest);
    let sizes: Vec<usize> = digests.clone().map(|digest| digest.beats.len()).collect();
    Figure::sweep("one call, both sides", "ns", "hosts of a zone", sizes, target, |_| {
        digests.next().map_or(0.0, |digest| call_cost(digest).unwrap_or_default())
    })
}

fn call_cost(digest: &Digest) -> std::io::Result<f64> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let keys = PeerKeys {
            member: MEMBER.into(),
            operator: Secret::new("operators"),
            peer: Secret::new("peers"),
        };
        let handler = Arc::new(Echo(digest.clone()));
        let server = PeerServer::bind((Ipv4Addr::LOCALHOST, 0).into(), handler, keys).await?;
        let client = PeerClient::open(Secret::new("peers"), MEMBER.into());
        let to = server.local_addr();
        // The first call opens the connection.
        let _ = client.exchange(to, digest).await;
        let start = thread_time();
        for _ in 0..CALLS {
            client.exchange(to, digest).await.map_err(std::io::Error::other)?;
        }
        Ok((thread_time() - start).as_nanos() as f64 / CALLS as f64)
    })
}

/// Answers each exchange with a digest of the same size.
struct Echo(Digest);

fn other<T>() -> Result<T> {
    Err(PeerError::Unavailable("measures exchanges only".into()))
}

#[async_trait]
impl PeerHandler for Echo {
    async fn exchange(&self, _digest: Digest) -> Result<Digest> {
        Ok(self.0.clone())
    }

    async fn manifest(&self) -> Result<ManifestReply> {
        other()
    }

    async fn part(&self, _request: PartRequest) -> Result<PartReply> {
        other()
    }

    async fn handover(&self, _chunk: HandoverChunk) -> Result<HandoverAck> {
        other()
    }

    async fn events(&self, _filter: Filter) -> Result<Vec<Event>> {
        other()
    }

    async fn status(&self) -> Result<HostStatus> {
        other()
    }

    async fn explain(&self, _request: ExplainRequest) -> Result<Explanation> {
        other()
    }

    async fn drain(&self, _order: DrainOrder) -> Result<DrainRecord> {
        other()
    }

    async fn undrain(&self, _order: UndrainOrder) -> Result<Vec<DrainRecord>> {
        other()
    }
}
