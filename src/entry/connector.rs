//! How a host opens connections to targets.

use std::io;

use async_trait::async_trait;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

use crate::prelude::*;

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

#[async_trait]
impl Connector for TcpConnector {
    async fn connect(&self, addr: SocketAddr) -> io::Result<Box<dyn Stream>> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Ok(Box::new(stream))
    }
}
