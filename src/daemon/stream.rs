//! Files on their way to callers: the head at once, the body as it comes, from one target or more.

use std::{
    collections::HashMap,
    io,
    pin::Pin,
    sync::Mutex,
    task::{Context, Poll, ready},
};

use async_trait::async_trait;
use bytes::Bytes;
use futures::{Stream, stream::BoxStream};
use tokio::{
    sync::mpsc::{self, error::SendTimeoutError},
    task::AbortHandle,
};

use super::{
    order::{Head, Order, failed, refusal},
    outgoing,
    traffic::{Traffic, lock},
};
use crate::{
    base::HeaderLine,
    forward::{
        FallbackTargets, FileVersion, ForwardError, ResumableBody, TargetResponse,
        requests_whole_file,
    },
    prelude::*,
    routing::{AttemptId, CallId, Event, Outcome, Via},
};

#[cfg(test)]
mod tests;

/// Chunks of a streamed answer that may wait for a slow caller.
const STREAM_CHUNKS: usize = 4;

/// The files whose callers have got the head and not yet the end.
#[derive(Default)]
pub(super) struct OpenFiles {
    by_call: Mutex<HashMap<CallId, OpenFile>>,
}

/// Where the decisions' orders for one file go.
struct OpenFile {
    rests: mpsc::UnboundedSender<Rest>,
    task: AbortHandle,
}

/// An attempt at the rest of a file.
#[derive(Debug)]
pub(super) struct Rest {
    pub address: SocketAddr,
    pub attempt: AttemptId,
    pub hop: Option<Via>,
    pub timeout: Duration,
}

impl OpenFiles {
    /// Passes an order on to the task that streams the file, and gives that task; `None` for a call
    /// whose caller has no part of a file yet.
    pub fn give(&self, call: CallId, rest: Rest) -> Option<AbortHandle> {
        let files = lock(&self.by_call);
        let file = files.get(&call)?;
        // The task may have just ended; the decisions then hear of the caller that left.
        let _ = file.rests.send(rest);
        Some(file.task.clone())
    }

    /// No order comes any more; false if that was known.
    pub fn close(&self, call: CallId) -> bool {
        lock(&self.by_call).remove(&call).is_some()
    }

    fn open(&self, call: CallId, task: AbortHandle) -> mpsc::UnboundedReceiver<Rest> {
        let (rests, rx) = mpsc::unbounded_channel();
        lock(&self.by_call).insert(call, OpenFile { rests, task });
        rx
    }
}

impl Traffic {
    /// Gives the head to the caller at once and the body as it comes. The attempt ends with the
    /// body, or with its part of it; until then its slot is in use.
    pub(super) async fn stream(
        self: &Arc<Self>,
        order: Order,
        head: Head,
        body: BoxStream<'static, crate::forward::Result<Bytes>>,
        latency: Duration,
    ) {
        // Of two attempts whose heads come at the same time, the decisions let one go on. Were the
        // other's body passed, it would break off when its attempt is aborted.
        self.feed(Event::Begun { attempt: order.attempt });
        if !self.is_running(order.attempt) {
            return;
        }
        let Some(task) = self.task(order.attempt) else { return };
        let call = order.call;
        let rests = self.files.open(call, task);
        let (tx, rx) = mpsc::channel(STREAM_CHUNKS);
        let guard = FileGuard { call, traffic: self.clone() };
        let file = StreamedFile { guard, is_over: false, rx };
        let res = outgoing::streamed(head.status, &head.headers, file, &order.request);
        // A failed send means that the caller is gone; the file that is dropped with it says so.
        if let Some(caller) = self.take_caller(call) {
            let _ = caller.send(res);
        }
        let whole = requests_whole_file(&order.incoming.method, &order.incoming.headers);
        let edition = FileVersion::from_response(head.status, &head.headers).filter(|_| whole);
        let elsewhere = Elsewhere { ended: false, latency, order, rests, traffic: self.clone() };
        let silence = self.silence();
        carry(ResumableBody::new(body, edition, elsewhere), head.status, tx, silence).await;
    }

    /// The caller of a file is gone.
    fn leave_file(self: &Arc<Self>, call: CallId) {
        if self.files.close(call) {
            self.feed(Event::Cancelled { call });
        }
    }
}

/// Carries a body to its caller and ends its last attempt.
///
/// A caller that stops reading, and stays connected, would keep one of the target's few slots for
/// ever, and three of them the whole target. After `silence` it counts as gone: the target's
/// connection is closed, which frees the slot there as well.
async fn carry(
    mut body: ResumableBody<Elsewhere>,
    status: u16,
    tx: mpsc::Sender<Piece>,
    silence: Duration,
) {
    let last = loop {
        match body.next_chunk().await {
            Some(Ok(chunk)) => {
                let sent = tx.send_timeout(Piece::Chunk(chunk), silence).await;
                match sent {
                    Ok(()) => {}
                    Err(SendTimeoutError::Closed(_)) => {
                        break Piece::Cut(ForwardError::ConnectionLost);
                    }
                    Err(SendTimeoutError::Timeout(_)) => return body.fallbacks().leave(),
                }
            }
            Some(Err(failure)) => break Piece::Cut(failure),
            None => break Piece::End,
        }
    };
    let elsewhere = body.fallbacks();
    let latency = elsewhere.latency;
    elsewhere.end(match &last {
        Piece::Cut(_) if tx.is_closed() => cut(ErrorKind::StreamCut, latency),
        Piece::Cut(failure) => cut(failure.kind(), latency),
        Piece::Chunk(_) | Piece::End => Outcome::Answered { kept: None, latency, status },
    });
    // A failed send means that the caller is gone.
    let _ = tx.send_timeout(last, silence).await;
}

/// The answer broke off behind its head, and nothing may follow.
fn cut(error: ErrorKind, latency: Duration) -> Outcome {
    Outcome::Failed { error, latency, passed: true }
}

/// The other targets for one file, as the decisions give them.
struct Elsewhere {
    /// Whether the decisions know that the attempt of `order` has ended.
    ended: bool,
    /// Time until the head of the attempt's answer came.
    latency: Duration,
    order: Order,
    rests: mpsc::UnboundedReceiver<Rest>,
    traffic: Arc<Traffic>,
}

impl Elsewhere {
    /// Tells the decisions, once, how the attempt under way ended.
    fn end(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.ended, true) {
            self.traffic.end(self.order.attempt, outcome);
        }
    }

    /// Gives the file up as its caller's leave would.
    fn leave(&self) {
        self.traffic.leave_file(self.order.call);
    }

    fn follow(&mut self, rest: Rest) {
        let Rest { address, attempt, hop, timeout } = rest;
        self.order.address = address;
        self.order.attempt = attempt;
        self.order.hop = hop;
        self.order.timeout = timeout;
        self.ended = false;
    }
}

#[async_trait]
impl FallbackTargets for Elsewhere {
    async fn next_response(
        &mut self,
        failure: ForwardError,
        lines: &[HeaderLine],
    ) -> Option<TargetResponse> {
        let (error, latency) = (failure.kind(), self.latency);
        self.end(Outcome::Interrupted { error, latency });
        loop {
            let rest = self.rests.recv().await?;
            self.follow(rest);
            let started = self.traffic.now();
            let sent = self.traffic.send(&self.order, lines).await;
            let latency = self.traffic.now().saturating_sub(started);
            self.latency = latency;
            match sent {
                Ok(reply) => match refusal(&self.order, &reply) {
                    Some(error) => self.end(Outcome::Refused { error, latency }),
                    None => return Some(reply),
                },
                Err(failure) => self.end(failed(failure.kind(), latency)),
            }
        }
    }
}

/// A piece of a body on its way to the caller.
#[derive(Debug)]
enum Piece {
    Chunk(Bytes),
    Cut(ForwardError),
    /// Every byte came before it.
    End,
}

/// The body as the HTTP server reads it.
///
/// A task that ends early drops its end of the channel, which reads like the end of a body. The
/// caller would take the part for the whole where the body has no length. So a body ends well with
/// the word `End` alone.
struct StreamedFile<G> {
    #[expect(dead_code, reason = "held for its drop")]
    guard: G,
    is_over: bool,
    rx: mpsc::Receiver<Piece>,
}

impl<G: Unpin> Stream for StreamedFile<G> {
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.is_over {
            return Poll::Ready(None);
        }
        let piece = ready!(self.rx.poll_recv(cx));
        self.is_over = !matches!(piece, Some(Piece::Chunk(_)));
        Poll::Ready(match piece {
            Some(Piece::Chunk(chunk)) => Some(Ok(chunk)),
            Some(Piece::Cut(failure)) => Some(Err(io::Error::other(failure))),
            Some(Piece::End) => None,
            None => Some(Err(io::Error::other("the file's task ended early"))),
        })
    }
}

/// Tells the decisions when the caller leaves before the end of its file: a target that is silent
/// would keep its slot, and a rest that waits for a slot would be sent to nobody.
struct FileGuard {
    call: CallId,
    traffic: Arc<Traffic>,
}

impl Drop for FileGuard {
    fn drop(&mut self) {
        self.traffic.leave_file(self.call);
    }
}
