//! Bounds the heads of responses: a server may send bytes that never end a head, or informational
//! responses without end. Counts the bytes that are written.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::Sleep,
};

use super::Stream;
use crate::prelude::*;

/// Bytes of one read at most, and of one head. The HTTP library enforces both.
pub(super) const MAX_READ_BYTES: usize = 64 * 1024;

/// Most bytes until the head of a response is complete, with informational responses before it. The
/// last read may also hold the beginning of the body.
const MAX_HEAD_BYTES: usize = 2 * MAX_READ_BYTES;

/// Longest time from the first byte of a head to its last.
const MAX_HEAD_TIME: Duration = Duration::from_secs(1);

/// What the sender of requests and the stream of its connection share.
#[derive(Debug, Default)]
pub(super) struct StreamState {
    /// Number of the request that waits for the head of its response, if one does.
    pub head_awaited: Cell<Option<usize>>,
    /// Bytes written since the connection was opened.
    pub written: Cell<u64>,
}

/// A connection to a server. Reading fails once an awaited head exceeds the bounds.
pub(super) struct HeadBound {
    /// The request whose head was awaited at the last read.
    at_last_read: Option<usize>,
    bytes: usize,
    /// The last bytes read; an empty line ends a head.
    last: [u8; 4],
    /// Started with the first byte of a head.
    limit: Option<Pin<Box<Sleep>>>,
    state: Rc<StreamState>,
    stream: Box<dyn Stream>,
}

impl HeadBound {
    /// Wraps a new connection.
    pub fn new(stream: Box<dyn Stream>) -> (Self, Rc<StreamState>) {
        let state = Rc::<StreamState>::default();
        let bound = Self {
            at_last_read: None,
            bytes: 0,
            last: [0; 4],
            limit: None,
            state: state.clone(),
            stream,
        };
        (bound, state)
    }

    fn count_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.state.written.set(self.state.written.get() + *bytes as u64);
        }
    }

    /// Waits until the time of the head is over; for ever if none has begun.
    fn poll_limit(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.limit.as_mut().map_or(Poll::Pending, |limit| limit.as_mut().poll(cx))
    }

    /// Counts bytes that were read while a head is awaited.
    fn record(&mut self, read: &[u8]) -> io::Result<()> {
        self.bytes += read.len();
        if MAX_HEAD_BYTES < self.bytes {
            return Err(io::Error::other("the head of the response is too large"));
        }
        for byte in &read[read.len().saturating_sub(self.last.len())..] {
            self.last.rotate_left(1);
            self.last[3] = *byte;
        }
        // Between two heads the server may be silent for as long as it works on the request.
        self.limit = match &self.last {
            b"\r\n\r\n" => None,
            _ => self.limit.take().or_else(|| Some(Box::pin(tokio::time::sleep(MAX_HEAD_TIME)))),
        };
        Ok(())
    }
}

impl AsyncRead for HeadBound {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let awaited = this.state.head_awaited.get();
        if this.at_last_read != awaited {
            this.at_last_read = awaited;
            (this.bytes, this.last, this.limit) = (0, [0; 4], None);
        }
        if awaited.is_none() {
            return Pin::new(&mut this.stream).poll_read(cx, buf);
        }
        let before = buf.filled().len();
        if Pin::new(&mut this.stream).poll_read(cx, buf)?.is_ready() {
            return Poll::Ready(this.record(&buf.filled()[before..]));
        }
        // If this process was frozen, the time may be over although the head has arrived. So only a
        // head of which nothing is left to read is late.
        ready!(this.poll_limit(cx));
        Poll::Ready(Err(io::Error::other("the head of the response does not end")))
    }
}

impl AsyncWrite for HeadBound {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.count_written(&written);
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.count_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
