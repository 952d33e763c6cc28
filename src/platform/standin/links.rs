//! Links between one host and all targets that can be cut.

use std::{
    io,
    pin::Pin,
    sync::{
        Mutex, MutexGuard, Weak,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use async_trait::async_trait;
use futures::task::AtomicWaker;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::{
    entry::{Connector, Stream, TcpConnector},
    prelude::*,
};

/// State of a host's links to targets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkMode {
    #[default]
    Open,
    /// Nothing passes: new connections are not answered, open ones stay silent.
    Silent,
    /// Open connections break, and new ones are refused.
    Reset,
    /// Open connections go on, and new ones are refused.
    RefuseNew,
}

/// Opens connections for one host. Those to the targets go over links that can be cut.
#[derive(Clone, Default)]
pub struct TargetLinks {
    shared: Arc<Shared>,
    targets: Arc<[SocketAddr]>,
}

#[derive(Default)]
struct Shared {
    connections: Mutex<Vec<Weak<Connection>>>,
    mode: Mutex<LinkMode>,
}

/// State of one connection that its link can change.
#[derive(Default)]
struct Connection {
    is_broken: AtomicBool,
    /// Bytes were lost, so that the connection stays silent.
    is_silent: AtomicBool,
    reader: AtomicWaker,
    writer: AtomicWaker,
}

impl TargetLinks {
    /// Returns open links to the targets at these addresses. Other connections are never cut.
    pub fn new(targets: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self { shared: Arc::default(), targets: targets.into_iter().collect() }
    }

    /// Cuts the links, or opens them again.
    pub fn set(&self, mode: LinkMode) {
        *locked(&self.shared.mode) = mode;
        let mut connections = locked(&self.shared.connections);
        connections.retain(|connection| connection.strong_count() != 0);
        for connection in connections.iter().filter_map(Weak::upgrade) {
            if mode == LinkMode::Reset {
                connection.is_broken.store(true, Ordering::Relaxed);
            }
            connection.reader.wake();
            connection.writer.wake();
        }
    }
}

impl Shared {
    fn mode(&self) -> LinkMode {
        *locked(&self.mode)
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}

#[async_trait]
impl Connector for TargetLinks {
    async fn connect(&self, addr: SocketAddr) -> io::Result<Box<dyn Stream>> {
        if !self.targets.contains(&addr) {
            return TcpConnector.connect(addr).await;
        }
        match self.shared.mode() {
            LinkMode::Open => {}
            LinkMode::Silent => std::future::pending().await,
            LinkMode::Reset | LinkMode::RefuseNew => {
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
        }
        let inner = TcpConnector.connect(addr).await?;
        let connection = Arc::<Connection>::default();
        locked(&self.shared.connections).push(Arc::downgrade(&connection));
        Ok(Box::new(LinkedStream { connection, inner, shared: self.shared.clone() }))
    }
}

/// A connection that passes bytes while its link is open.
struct LinkedStream {
    connection: Arc<Connection>,
    inner: Box<dyn Stream>,
    shared: Arc<Shared>,
}

impl LinkedStream {
    fn is_silent(&self) -> bool {
        self.connection.is_silent.load(Ordering::Relaxed) || self.shared.mode() == LinkMode::Silent
    }

    /// Whether bytes pass now.
    fn poll_link(&self, waker: &AtomicWaker, cx: &Context<'_>) -> Poll<io::Result<()>> {
        waker.register(cx.waker());
        if self.connection.is_broken.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        match self.is_silent() {
            true => Poll::Pending,
            false => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncRead for LinkedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_link(&self.connection.reader, cx))?;
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for LinkedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        // Bytes written to a silent link are accepted by the operating system, and are lost.
        if self.is_silent() {
            self.connection.is_silent.store(true, Ordering::Relaxed);
            return Poll::Ready(Ok(buf.len()));
        }
        std::task::ready!(self.poll_link(&self.connection.writer, cx))?;
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
