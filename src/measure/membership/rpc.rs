//! What one exchange costs beside its two messages, by real calls over loopback.

use std::time::Duration;

use async_trait::async_trait;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    membership::{Digest, SimulatedFleet},
    peer::{Envelope, PeerClient, PeerCredentials, PeerHandler, PeerServer, Result},
    prelude::*,
    settings::Secret,
};

/// Calls over which the cost is taken.
const CALLS: u32 = 2000;

/// Cost of one exchange beside its messages.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RpcCost {
    /// HTTP heads and JSON-RPC around the two messages, in bytes.
    pub bytes_around: u64,
    /// Processor time of both ends, with the reading and writing of the messages.
    pub processor: Duration,
}

/// Echoes each digest.
struct Echo;

/// Measures it.
pub async fn measure() -> eyre::Result<RpcCost> {
    let key = Secret::new("key");
    let member: MemberId = "agency".into();
    let keys =
        PeerCredentials { member: member.clone(), operator: Secret::new("o"), peer: key.clone() };
    let server = PeerServer::bind(([127, 0, 0, 1], 0).into(), Arc::new(Echo), keys).await?;
    let client = PeerClient::new(key, member.clone());
    let fleet = SimulatedFleet::new(5, 2, 1);
    let digest = fleet.nodes[0].membership.digest(fleet.now);
    let around = bytes_around(&client, server.local_addr(), &member, &digest).await?;
    let start = processor_time();
    for _ in 0..CALLS {
        client.exchange(server.local_addr(), &digest).await?;
    }
    let processor = processor_time().saturating_sub(start) / CALLS;
    server.stop().await;
    Ok(RpcCost { bytes_around: around, processor })
}

/// Counts the bytes of a few calls on one connection, less those of the messages.
async fn bytes_around(
    client: &PeerClient,
    to: SocketAddr,
    member: &MemberId,
    digest: &Digest,
) -> eyre::Result<u64> {
    const COUNTED: u64 = 20;
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let between = listener.local_addr()?;
    let stop = Arc::new(tokio::sync::Notify::new());
    let stopped = stop.clone();
    let counter = tokio::spawn(async move {
        let (mut near, _) = listener.accept().await?;
        let mut far = TcpStream::connect(to).await?;
        let (mut near_rx, mut near_tx) = near.split();
        let (mut far_rx, mut far_tx) = far.split();
        let (mut there, mut back) = (Vec::new(), Vec::new());
        tokio::select! {
            _ = carry(&mut near_rx, &mut far_tx, &mut there) => {}
            _ = carry(&mut far_rx, &mut near_tx, &mut back) => {}
            () = stopped.notified() => {}
        }
        std::io::Result::Ok((there.len() + back.len()) as u64)
    });
    for _ in 0..COUNTED {
        client.exchange(between, digest).await?;
    }
    stop.notify_one();
    let all = counter.await??;
    let message = serde_json::to_string(&Envelope::encode(member, digest)?)?.len() as u64;
    Ok((all / COUNTED).saturating_sub(2 * message))
}

async fn carry(
    from: &mut (impl tokio::io::AsyncRead + Unpin),
    to: &mut (impl tokio::io::AsyncWrite + Unpin),
    seen: &mut Vec<u8>,
) -> std::io::Result<()> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buf = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buf).await?;
        if read == 0 {
            return Ok(());
        }
        seen.extend_from_slice(&buf[..read]);
        to.write_all(&buf[..read]).await?;
    }
}

/// Processor time of this process so far.
pub fn processor_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(secs, u32::try_from(time.tv_nsec).unwrap_or_default())
}

#[async_trait]
impl PeerHandler for Echo {
    async fn exchange(&self, digest: Digest) -> Result<Digest> {
        Ok(digest)
    }
}
