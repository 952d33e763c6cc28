//! Caller connections that detect a disconnect while a request is being served.
//!
//! The HTTP library does not read while it serves a request. If a caller disconnected while another
//! of its requests was still unread, that would go unnoticed, and targets would do needless work.
//! Therefore a limited number of bytes is read ahead while a request is being served.

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

/// Maximum number of bytes that are read ahead; the rest is read when its request is served.
const MAX_READ_AHEAD: usize = 64 * 1024;

/// Buffer size of one read in bytes.
const READ_CHUNK: usize = 4 * 1024;

/// The connection as seen by the HTTP library.
pub struct CallerIo {
    shared: Rc<RefCell<Shared>>,
}

/// Detects that the caller has disconnected.
///
/// Only the connection's own task may wait on it, since the socket wakes one task only.
#[derive(Clone)]
pub struct Disconnect {
    /// `None` if another task detects the disconnect and aborts this one.
    shared: Option<Rc<RefCell<Shared>>>,
}

struct Shared {
    read_ahead: BytesMut,
    is_closed: bool,
    /// Number of completed reads.
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
    /// Never reports a disconnect; for a task that is aborted when the caller disconnects.
    pub fn never() -> Self {
        Self { shared: None }
    }

    /// Calls `f` with the scanner of the requests that have arrived.
    pub fn with_scanner<T>(&self, f: impl FnOnce(&mut PipelineScanner) -> T) -> T {
        match &self.shared {
            Some(shared) => f(&mut shared.borrow_mut().scanner),
            None => f(&mut PipelineScanner::default()),
        }
    }

    /// Waits until more data has arrived or the connection is closed.
    pub async fn data_arrived(&self) {
        let Some(shared) = &self.shared else { return std::future::pending().await };
        let before = shared.borrow().read_count;
        std::future::poll_fn(|cx| shared.borrow_mut().poll_data(before, cx)).await;
    }

    /// Whether the connection is closed or broken.
    pub fn is_closed(&self) -> bool {
        self.shared.as_ref().is_some_and(|shared| shared.borrow().is_closed)
    }

    /// Waits until the connection is closed or broken.
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

    /// Reads once, if the read-ahead buffer is not full.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if MAX_READ_AHEAD <= self.read_ahead.len() {
            return Poll::Pending;
        }
        if let Err(error) = ready!(self.fill(cx)) {
            log::debug!("reading from a caller's connection failed: {error}");
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
            // Free the buffer, so that an idle connection holds no memory.
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
