//! What one call between hosts costs, over real sockets of the loopback interface.

use std::net::Ipv4Addr;

use async_trait::async_trait;

use super::{figure::Figure, gauge::thread_time};
use crate::{
    membership::Digest,
    peer::{PeerClient, PeerCredentials, PeerHandler, PeerServer, Result},
    prelude::*,
    settings::Secret,
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
        let keys = PeerCredentials {
            member: MEMBER.into(),
            operator: Secret::new("operators"),
            peer: Secret::new("peers"),
        };
        let handler = Arc::new(Echo(digest.clone()));
        let server = PeerServer::bind((Ipv4Addr::LOCALHOST, 0).into(), handler, keys).await?;
        let client = PeerClient::new(Secret::new("peers"), MEMBER.into());
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

#[async_trait]
impl PeerHandler for Echo {
    async fn exchange(&self, _digest: Digest) -> Result<Digest> {
        Ok(self.0.clone())
    }
}
