//! A connection whose responses are checked as they are read.

use std::{
    io,
    pin::Pin,
    sync::atomic::{AtomicBool, Ordering},
    task::{Context, Poll, ready},
};

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::{BrokenResponse, parser::ResponseParser};
use crate::prelude::*;

/// What all responses begin with.
const RESPONSE_START: &[u8; 7] = b"HTTP/1.";

/// A connection to a server. Reading fails once a response is broken.
pub struct CheckedStream<S> {
    answers_head: Arc<AtomicBool>,
    /// What the next read fails with.
    error: Option<io::Error>,
    parser: ResponseParser,
    stream: S,
}

impl<S> CheckedStream<S> {
    /// Wraps a new connection. The flag tells whether the next response answers a `HEAD` request.
    pub fn new(stream: S, answers_head: Arc<AtomicBool>) -> Self {
        Self { answers_head, error: None, parser: ResponseParser::new(), stream }
    }
}

impl<S: AsyncRead + Unpin> CheckedStream<S> {
    /// Checks bytes that were read; those from `before` on are new.
    fn check(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        before: usize,
    ) -> io::Result<()> {
        let read = &buf.filled()[before..];
        if read.is_empty() {
            return Ok(self.parser.end()?);
        }
        let answers_head = self.answers_head.load(Ordering::Relaxed);
        if let Some(end) = self.parser.read(read, answers_head)? {
            self.check_surplus(cx, &read[end..])?;
            buf.set_filled(before + end);
        }
        Ok(())
    }

    /// Checks what has arrived behind a response: only another response shows that this one is whole.
    fn check_surplus(&mut self, cx: &mut Context<'_>, read: &[u8]) -> io::Result<()> {
        let mut bytes = [0; RESPONSE_START.len()];
        let mut start = ReadBuf::new(&mut bytes);
        start.put_slice(&read[..read.len().min(RESPONSE_START.len())]);
        // The last read may have had no room for all that has arrived.
        while start.remaining() != 0 && RESPONSE_START.starts_with(start.filled()) {
            let before = start.filled().len();
            match Pin::new(&mut self.stream).poll_read(cx, &mut start) {
                Poll::Ready(Ok(())) if before < start.filled().len() => {}
                Poll::Ready(Err(error)) => {
                    self.error = Some(error);
                    break;
                }
                _ => break,
            }
        }
        if start.filled().is_empty() {
            return Ok(());
        }
        if start.filled() != RESPONSE_START {
            return Err(BrokenResponse::Surplus.into());
        }
        self.error = Some(BrokenResponse::SecondResponse.into());
        Ok(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CheckedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if let Some(error) = this.error.take() {
            return Poll::Ready(Err(error));
        }
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        let checked = this.check(cx, buf, before);
        if checked.is_err() {
            buf.set_filled(before);
        }
        Poll::Ready(checked)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CheckedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
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
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl<S: Connection> Connection for CheckedStream<S> {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}
