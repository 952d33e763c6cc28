//! A caller's connection that notices when the caller leaves.
//!
//! The HTTP library reads no further while a request is being served, so a caller that left while
//! another of its requests lay unread would go unnoticed and targets would work for nobody. Here
//! bytes are read ahead, up to a bound, while a request is served.

use std::{
    cell::RefCell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker, ready},
};

use super::pipelining::PipelineScanner;
use bytes::{Buf, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Most bytes that are read ahead; a caller that sends more is read on when its turn comes.
const MAX_READ_AHEAD: usize = 64 * 1024;

/// Bytes that one read asks for.
const READ_CHUNK: usize = 4 * 1024;

/// The connection, as the HTTP library reads and writes it.
pub struct CallerIo {
    shared: Rc<RefCell<Shared>>,
}

/// Notices the caller's leaving.
///
/// Only the connection's own task may wait on it: the socket wakes one task.
#[derive(Clone)]
pub struct Disconnect {
    /// `None` where somebody else notices and ends the task.
    shared: Option<Rc<RefCell<Shared>>>,
}

struct Shared {
    read_ahead: BytesMut,
    is_closed: bool,
    /// Reads that brought something.
    read_count: u64,
    reader_waker: Option<Waker>,
    scanner: PipelineScanner,
    stream: TcpStream,
}

impl CallerIo {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> (Self, Disconnect) {
        let shared = Shared {
            read_ahead: BytesMut::new(),
            is_closed: false,
            read_count: 0,
            reader_waker: None,
            scanner: PipelineScanner::default(),
            stream,
        };
        let shared = Rc::new(RefCell::new(shared));
        (Self { shared: shared.clone() }, Disconnect { shared: Some(shared) })
    }
}

impl Disconnect {
    /// For a task that is ended when the caller leaves.
    pub fn never() -> Self {
        Self { shared: None }
    }

    /// Requests that have arrived.
    pub fn with_scanner<T>(&self, f: impl FnOnce(&mut PipelineScanner) -> T) -> T {
        match &self.shared {
            Some(shared) => f(&mut shared.borrow_mut().scanner),
            None => f(&mut PipelineScanner::default()),
        }
    }

    /// Ends when more has arrived, or the caller has left.
    pub async fn data_arrived(&self) {
        let Some(shared) = &self.shared else { return std::future::pending().await };
        let before = shared.borrow().read_count;
        std::future::poll_fn(|cx| shared.borrow_mut().poll_data(before, cx)).await;
    }

    /// Whether the caller has closed the connection, or it broke.
    pub fn is_closed(&self) -> bool {
        self.shared.as_ref().is_some_and(|shared| shared.borrow().is_closed)
    }

    /// Ends when the caller has closed the connection, or it broke.
    pub async fn closed(&self) {
        let Some(shared) = &self.shared else { return std::future::pending().await };
        std::future::poll_fn(|cx| shared.borrow_mut().poll_closed(cx)).await;
    }
}

impl Shared {
    fn poll_data(&mut self, before: u64, cx: &mut Context<'_>) -> Poll<()> {
        while self.read_count == before && !self.is_closed {
            ready!(self.poll_read_ahead(cx));
        }
        Poll::Ready(())
    }

    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while !self.is_closed {
            ready!(self.poll_read_ahead(cx));
        }
        Poll::Ready(())
    }

    /// Reads once, if there is room.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if MAX_READ_AHEAD <= self.read_ahead.len() {
            return Poll::Pending;
        }
        if let Err(error) = ready!(self.fill(cx)) {
            log::debug!("caller's connection: {error}");
            self.is_closed = true;
        }
        if let Some(reader) = self.reader_waker.take() {
            reader.wake();
        }
        Poll::Ready(())
    }

    fn fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut space = [0; READ_CHUNK];
        let mut buf = ReadBuf::new(&mut space);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
        if buf.filled().is_empty() {
            self.is_closed = true;
        }
        self.read_ahead.extend_from_slice(buf.filled());
        self.scanner.feed(buf.filled());
        self.read_count += 1;
        Poll::Ready(Ok(()))
    }
}

impl Read for CallerIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut shared = self.shared.borrow_mut();
        if shared.read_ahead.is_empty() && !shared.is_closed {
            shared.reader_waker = Some(cx.waker().clone());
            ready!(shared.fill(cx))?;
        }
        let count = shared.read_ahead.len().min(buf.remaining());
        buf.put_slice(&shared.read_ahead[..count]);
        shared.read_ahead.advance(count);
        if shared.read_ahead.is_empty() {
            // An idle connection keeps no buffer.
            shared.read_ahead = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for CallerIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.shared.borrow_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.shared.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.shared.borrow_mut().stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.shared.borrow_mut().stream).poll_write_vectored(cx, bufs)
    }
}
