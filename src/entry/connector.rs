//! How a host opens connections to targets.

use std::io;

use async_trait::async_trait;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

use crate::prelude::*;

/// Keepalive of connections. A target that works on a request sends nothing, so only probes show that
/// its connection has fallen silent.
const KEEPALIVE: TcpKeepalive = TcpKeepalive::new()
    .with_time(Duration::from_secs(1))
    .with_interval(Duration::from_secs(1))
    .with_retries(2);

/// Time after which unacknowledged bytes or keepalive probes end a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection in both directions.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// Opens connections.
#[async_trait]
pub trait Connector: Send + Sync {
    /// Opens a connection to `addr`. Without an answer, it waits for as long as the network does;
    /// callers set a timeout.
    async fn connect(&self, addr: SocketAddr) -> io::Result<Box<dyn Stream>>;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector;

/// Makes the operating system end a connection that has fallen silent.
pub(super) fn end_when_silent(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&KEEPALIVE)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

#[async_trait]
impl Connector for TcpConnector {
    async fn connect(&self, addr: SocketAddr) -> io::Result<Box<dyn Stream>> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        end_when_silent(&stream)?;
        Ok(Box::new(stream))
    }
}
