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
    attempt::{AttemptCommand, ResponseHead, failed_outcome, refusal},
    outgoing,
    traffic::{TrafficHandler, lock},
};
use crate::{
    base::HeaderLine,
    forward::{Alternatives, Edition, Failure, Reply, ResumedBody, asks_for_whole},
    prelude::*,
    routing::{AttemptId, CallId, Event, Outcome, Via},
};

#[cfg(test)]
mod tests;

/// Chunks of a streamed answer that may wait for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 4;

/// The files whose callers have got the head and not yet the end.
#[derive(Default)]
pub(super) struct FileTransfers {
    by_call: Mutex<HashMap<CallId, FileTransfer>>,
}

/// Where the decisions' orders for one file go.
struct FileTransfer {
    commands: mpsc::UnboundedSender<ResumeCommand>,
    task: AbortHandle,
}

/// An attempt at the rest of a file.
#[derive(Debug)]
pub(super) struct ResumeCommand {
    pub address: SocketAddr,
    pub attempt: AttemptId,
    pub hop: Option<Via>,
    pub timeout: Duration,
}

impl FileTransfers {
    /// Passes an order on to the task that streams the file, and gives that task; `None` for a call
    /// whose caller has no part of a file yet.
    pub fn resume(&self, call: CallId, resume: ResumeCommand) -> Option<AbortHandle> {
        let files = lock(&self.by_call);
        let file = files.get(&call)?;
        // The task may have just ended; the decisions then hear of the caller that left.
        let _ = file.commands.send(resume);
        Some(file.task.clone())
    }

    /// No order comes any more; false if that was known.
    pub fn close(&self, call: CallId) -> bool {
        lock(&self.by_call).remove(&call).is_some()
    }

    fn open(&self, call: CallId, task: AbortHandle) -> mpsc::UnboundedReceiver<ResumeCommand> {
        let (commands, rx) = mpsc::unbounded_channel();
        lock(&self.by_call).insert(call, FileTransfer { commands, task });
        rx
    }
}

impl TrafficHandler {
    /// Gives the head to the caller at once and the body as it comes. The attempt ends with the
    /// body, or with its part of it; until then its slot is in use.
    pub(super) async fn stream(
        self: &Arc<Self>,
        cmd: AttemptCommand,
        head: ResponseHead,
        body: BoxStream<'static, crate::forward::Result<Bytes>>,
        latency: Duration,
    ) {
        // Of two attempts whose heads come at the same time, the decisions let one go on. Were the
        // other's body passed, it would break off when its attempt is aborted.
        self.handle_event(Event::Begun { attempt: cmd.attempt });
        if !self.is_running(cmd.attempt) {
            return;
        }
        let Some(task) = self.attempt_task(cmd.attempt) else { return };
        let call = cmd.call;
        let commands = self.files.open(call, task);
        let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let guard = FileGuard { call, traffic: self.clone() };
        let file = FileBody { guard, is_finished: false, rx };
        let res = outgoing::streamed_response(head.status, &head.headers, file, &cmd.request);
        // A failed send means that the caller is gone; the file that is dropped with it says so.
        if let Some(caller) = self.take_response_sender(call) {
            let _ = caller.send(res);
        }
        let whole = asks_for_whole(&cmd.incoming.method, &cmd.incoming.headers);
        let edition = Edition::of(head.status, &head.headers).filter(|_| whole);
        let alternatives =
            FileAlternatives { ended: false, latency, cmd, commands, traffic: self.clone() };
        let stall_timeout = self.stall_timeout();
        copy_body(ResumedBody::new(body, edition, alternatives), head.status, tx, stall_timeout)
            .await;
    }

    /// The caller of a file is gone.
    fn cancel_transfer(self: &Arc<Self>, call: CallId) {
        if self.files.close(call) {
            self.handle_event(Event::Cancelled { call });
        }
    }
}

/// Carries a body to its caller and ends its last attempt.
///
/// A caller that stops reading, and stays connected, would keep one of the target's few slots for
/// ever, and three of them the whole target. After `silence` it counts as gone: the target's
/// connection is closed, which frees the slot there as well.
async fn copy_body(
    mut body: ResumedBody<FileAlternatives>,
    status: u16,
    tx: mpsc::Sender<BodyItem>,
    stall_timeout: Duration,
) {
    let last = loop {
        match body.chunk().await {
            Some(Ok(chunk)) => {
                let sent = tx.send_timeout(BodyItem::Chunk(chunk), stall_timeout).await;
                match sent {
                    Ok(()) => {}
                    Err(SendTimeoutError::Closed(_)) => break BodyItem::Error(Failure::Lost),
                    Err(SendTimeoutError::Timeout(_)) => return body.alternatives().abandon(),
                }
            }
            Some(Err(failure)) => break BodyItem::Error(failure),
            None => break BodyItem::End,
        }
    };
    let alternatives = body.alternatives();
    let latency = alternatives.latency;
    alternatives.finish(match &last {
        BodyItem::Error(_) if tx.is_closed() => failed_after_head(ErrorKind::StreamCut, latency),
        BodyItem::Error(failure) => failed_after_head(failure.kind(), latency),
        BodyItem::Chunk(_) | BodyItem::End => Outcome::Answered { kept: None, latency, status },
    });
    // A failed send means that the caller is gone.
    let _ = tx.send_timeout(last, stall_timeout).await;
}

/// The answer broke off behind its head, and nothing may follow.
fn failed_after_head(error: ErrorKind, latency: Duration) -> Outcome {
    Outcome::Failed { error, latency, passed: true }
}

/// The other targets for one file, as the decisions give them.
struct FileAlternatives {
    /// Whether the decisions know that the attempt of `order` has ended.
    ended: bool,
    /// Time until the head of the attempt's answer came.
    latency: Duration,
    cmd: AttemptCommand,
    commands: mpsc::UnboundedReceiver<ResumeCommand>,
    traffic: Arc<TrafficHandler>,
}

impl FileAlternatives {
    /// Tells the decisions, once, how the attempt under way ended.
    fn finish(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.ended, true) {
            self.traffic.finish_attempt(self.cmd.attempt, outcome);
        }
    }

    /// Gives the file up as its caller's leave would.
    fn abandon(&self) {
        self.traffic.cancel_transfer(self.cmd.call);
    }

    fn switch_to(&mut self, resume: ResumeCommand) {
        let ResumeCommand { address, attempt, hop, timeout } = resume;
        self.cmd.address = address;
        self.cmd.attempt = attempt;
        self.cmd.hop = hop;
        self.cmd.timeout = timeout;
        self.ended = false;
    }
}

#[async_trait]
impl Alternatives for FileAlternatives {
    async fn next(&mut self, failure: Failure, lines: &[HeaderLine]) -> Option<Reply> {
        let (error, latency) = (failure.kind(), self.latency);
        self.finish(Outcome::Interrupted { error, latency });
        loop {
            let resume = self.commands.recv().await?;
            self.switch_to(resume);
            let started = self.traffic.now();
            let sent = self.traffic.send(&self.cmd, lines).await;
            let latency = self.traffic.now().saturating_sub(started);
            self.latency = latency;
            match sent {
                Ok(reply) => match refusal(&self.cmd, &reply) {
                    Some(error) => self.finish(Outcome::Refused { error, latency }),
                    None => return Some(reply),
                },
                Err(failure) => self.finish(failed_outcome(failure.kind(), latency)),
            }
        }
    }
}

/// A piece of a body on its way to the caller.
#[derive(Debug)]
enum BodyItem {
    Chunk(Bytes),
    Error(Failure),
    /// Every byte came before it.
    End,
}

/// The body as the HTTP server reads it.
///
/// A task that ends early drops its end of the channel, which reads like the end of a body. The
/// caller would take the part for the whole where the body has no length. So a body ends well with
/// the word `End` alone.
struct FileBody<G> {
    #[expect(dead_code, reason = "held for its drop")]
    guard: G,
    is_finished: bool,
    rx: mpsc::Receiver<BodyItem>,
}

impl<G: Unpin> Stream for FileBody<G> {
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.is_finished {
            return Poll::Ready(None);
        }
        let item = ready!(self.rx.poll_recv(cx));
        self.is_finished = !matches!(item, Some(BodyItem::Chunk(_)));
        Poll::Ready(match item {
            Some(BodyItem::Chunk(chunk)) => Some(Ok(chunk)),
            Some(BodyItem::Error(failure)) => Some(Err(io::Error::other(failure))),
            Some(BodyItem::End) => None,
            None => Some(Err(io::Error::other("the file's task ended early"))),
        })
    }
}

/// Tells the decisions when the caller leaves before the end of its file: a target that is silent
/// would keep its slot, and a rest that waits for a slot would be sent to nobody.
struct FileGuard {
    call: CallId,
    traffic: Arc<TrafficHandler>,
}

impl Drop for FileGuard {
    fn drop(&mut self) {
        self.traffic.cancel_transfer(self.call);
    }
}
