//! Streams files to callers: the head at once, the body as it arrives. If a target fails midway,
//! another one may deliver the remainder.

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
    forward::{
        FallbackTargets, FileVersion, ForwardError, ResumableBody, TargetResponse,
        requests_whole_file,
    },
    prelude::*,
    routing::{AttemptId, CallId, Event, Outcome, Via},
};

#[cfg(test)]
mod tests;

/// Chunks of a streamed response that are buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 4;

/// The files whose callers have received the head and not yet the end.
#[derive(Default)]
pub(super) struct FileTransfers {
    by_call: Mutex<HashMap<CallId, FileTransfer>>,
}

/// The task that streams one file, and its channel for the router's commands.
struct FileTransfer {
    commands: mpsc::UnboundedSender<ResumeCommand>,
    task: AbortHandle,
}

/// An attempt at the remainder of a file.
#[derive(Debug)]
pub(super) struct ResumeCommand {
    pub address: SocketAddr,
    pub attempt: AttemptId,
    pub hop: Option<Via>,
    pub timeout: Duration,
}

impl FileTransfers {
    /// Sends a command to the task that streams the file and returns that task; `None` for a call
    /// whose caller has not received the head of a file.
    pub fn resume(&self, call: CallId, resume: ResumeCommand) -> Option<AbortHandle> {
        let files = lock(&self.by_call);
        let file = files.get(&call)?;
        // The task may have just ended; `FileGuard` then cancels the call.
        let _ = file.commands.send(resume);
        Some(file.task.clone())
    }

    /// Removes the file of a call, which ends its command channel; false if there was none.
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
    /// Sends the head to the caller at once and the body as it arrives. The attempt keeps its slot
    /// until its body, or its part of the body, has ended.
    pub(super) async fn stream(
        self: &Arc<Self>,
        cmd: AttemptCommand,
        head: ResponseHead,
        body: BoxStream<'static, crate::forward::Result<Bytes>>,
        latency: Duration,
    ) {
        // If two attempts receive their heads at the same time, the router lets one continue. The
        // other's body must not be used, as it is truncated when its attempt is aborted.
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
        // A failed send means that the caller has disconnected; dropping the response then cancels
        // the call through its `FileGuard`.
        if let Some(caller) = self.take_response_sender(call) {
            let _ = caller.send(res);
        }
        let whole = requests_whole_file(&cmd.incoming.method, &cmd.incoming.headers);
        let version = FileVersion::from_response(head.status, &head.headers).filter(|_| whole);
        let fallbacks =
            FileFallbacks { ended: false, latency, cmd, commands, traffic: self.clone() };
        let idle_timeout = self.idle_timeout();
        copy_body(ResumableBody::new(body, version, fallbacks), head.status, tx, idle_timeout)
            .await;
    }

    /// Cancels the call of a file whose caller has disconnected.
    fn cancel_transfer(self: &Arc<Self>, call: CallId) {
        if self.files.close(call) {
            self.handle_event(Event::Cancelled { call });
        }
    }
}

/// Copies a body to its caller and ends the last attempt.
///
/// A caller that stops reading but stays connected would hold one of the target's few slots
/// forever, and three such callers could block the whole target. After `idle_timeout` it counts as
/// disconnected: the target's connection is closed, which frees the slot there as well.
async fn copy_body(
    mut body: ResumableBody<FileFallbacks>,
    status: u16,
    tx: mpsc::Sender<BodyItem>,
    idle_timeout: Duration,
) {
    let last = loop {
        match body.next_chunk().await {
            Some(Ok(chunk)) => {
                let sent = tx.send_timeout(BodyItem::Chunk(chunk), idle_timeout).await;
                match sent {
                    Ok(()) => {}
                    Err(SendTimeoutError::Closed(_)) => {
                        break BodyItem::Error(ForwardError::ConnectionLost);
                    }
                    Err(SendTimeoutError::Timeout(_)) => return body.fallbacks().abandon(),
                }
            }
            Some(Err(failure)) => break BodyItem::Error(failure),
            None => break BodyItem::End,
        }
    };
    let fallbacks = body.fallbacks();
    let latency = fallbacks.latency;
    fallbacks.finish(match &last {
        BodyItem::Error(_) if tx.is_closed() => failed_after_head(ErrorKind::StreamCut, latency),
        BodyItem::Error(failure) => failed_after_head(failure.kind(), latency),
        BodyItem::Chunk(_) | BodyItem::End => Outcome::Answered { kept: None, latency, status },
    });
    // A failed send means that the caller has disconnected.
    let _ = tx.send_timeout(last, idle_timeout).await;
}

/// The response failed after its head was sent, so no other response may follow.
fn failed_after_head(error: ErrorKind, latency: Duration) -> Outcome {
    Outcome::Failed { error, latency, passed: true }
}

/// The other targets for the remainder of one file, as the router chooses them.
struct FileFallbacks {
    /// Whether the end of the attempt of `cmd` has been reported to the router.
    ended: bool,
    /// Time until the head of the attempt's response arrived.
    latency: Duration,
    cmd: AttemptCommand,
    commands: mpsc::UnboundedReceiver<ResumeCommand>,
    traffic: Arc<TrafficHandler>,
}

impl FileFallbacks {
    /// Reports the outcome of the current attempt to the router, once.
    fn finish(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.ended, true) {
            self.traffic.finish_attempt(self.cmd.attempt, outcome);
        }
    }

    /// Gives up the file as if its caller had disconnected.
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
impl FallbackTargets for FileFallbacks {
    async fn next_response(
        &mut self,
        failure: ForwardError,
        lines: &[HeaderLine],
    ) -> Option<TargetResponse> {
        let (error, latency) = (failure.kind(), self.latency);
        self.finish(Outcome::Interrupted { error, latency });
        loop {
            let resume = self.commands.recv().await?;
            self.switch_to(resume);
            let started = self.traffic.now();
            let sent = self.traffic.send_attempt(&self.cmd, lines).await;
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

/// An item of the channel that carries a body to the HTTP server.
#[derive(Debug)]
enum BodyItem {
    Chunk(Bytes),
    Error(ForwardError),
    /// The body is complete.
    End,
}

/// The body as the HTTP server reads it.
///
/// A task that ends early closes the channel, which by itself looks like the end of the body. A
/// caller of a body without a known length would take the part for the whole. So only
/// `BodyItem::End` ends a body without an error.
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
            None => {
                Some(Err(io::Error::other("the streaming task ended before the end of the file")))
            }
        })
    }
}

/// Cancels the call if the caller disconnects before the end of its file. Otherwise a silent target
/// would keep its slot, and a remainder that waits for a slot would be fetched for nobody.
struct FileGuard {
    call: CallId,
    traffic: Arc<TrafficHandler>,
}

impl Drop for FileGuard {
    fn drop(&mut self) {
        self.traffic.cancel_transfer(self.call);
    }
}
