//! One attempt at a request: sends it to a target or another host and handles the reply.

use super::{
    headers,
    incoming::{IncomingRequest, decode_mark, encode_mark, via_value},
    traffic::{TrafficHandler, lock},
};
use crate::{
    base::{HeaderLine, header},
    forward::{Attempt, TargetBody, TargetResponse},
    ledger::KeptAnswer,
    manifest::ServiceKind,
    prelude::*,
    quarantine::Fingerprint,
    routing::{AttemptId, CallId, Outcome, Via},
};

/// An attempt that the router has ordered.
pub(super) struct AttemptCommand {
    pub address: SocketAddr,
    pub attempt: AttemptId,
    pub call: CallId,
    pub fingerprint: Fingerprint,
    pub hop: Option<Via>,
    pub incoming: Arc<IncomingRequest>,
    pub request: RequestId,
    pub timeout: Duration,
}

impl AttemptCommand {
    fn path(&self) -> Arc<str> {
        match self.hop {
            Some(_) => {
                format!("/v1/services/{}{}", self.incoming.service, self.incoming.path).into()
            }
            None => self.incoming.path.clone(),
        }
    }
}

/// The head of a response whose body is streamed.
pub(super) struct ResponseHead {
    pub headers: Vec<HeaderLine>,
    pub status: u16,
}

impl TrafficHandler {
    pub(super) async fn run_attempt(self: Arc<Self>, cmd: AttemptCommand) {
        let started = self.deps.clock.now();
        let attempt = cmd.attempt;
        let sent = self.send_attempt(&cmd, &[]).await;
        let latency = self.deps.clock.now().saturating_sub(started);
        match sent {
            Ok(reply) => self.handle_reply(cmd, reply, latency).await,
            Err(failure) => self.finish_attempt(attempt, failed_outcome(failure.kind(), latency)),
        }
    }

    /// Sends the request. `range_headers`, which request the remainder of a file, replace the
    /// request's own headers of the same names.
    pub(super) async fn send_attempt(
        &self,
        cmd: &AttemptCommand,
        range_headers: &[HeaderLine],
    ) -> crate::forward::Result<TargetResponse> {
        let view = self.view();
        let service = view.as_ref().and_then(|view| view.manifest.service(&cmd.incoming.service));
        let is_idempotent = service.is_some_and(|service| service.kind.is_idempotent());
        let streams = service.is_some_and(|service| service.kind == ServiceKind::File);
        let attempt = Attempt {
            address: cmd.address,
            body: cmd.incoming.body.clone(),
            max_connections: service.map_or(1, |service| service.connections),
            timeout: cmd.timeout,
            headers: self.headers_for(cmd, range_headers),
            method: cmd.incoming.method.clone(),
            path: cmd.path(),
            is_idempotent,
            request: cmd.request.clone(),
            buffer_response: !streams,
        };
        match cmd.hop {
            Some(_) => self.deps.peers.send(attempt).await,
            None => self.deps.targets.send(attempt).await,
        }
    }

    fn headers_for(&self, cmd: &AttemptCommand, range_headers: &[HeaderLine]) -> Vec<HeaderLine> {
        let mut lines = cmd.incoming.forwarded_headers();
        lines.retain(|line| range_headers.iter().all(|range| range.name != line.name));
        lines.extend_from_slice(range_headers);
        let Some(via) = cmd.hop else { return lines };
        lines.extend(cmd.incoming.hop_headers());
        let has_client = lines.iter().any(|line| &*line.name == headers::CLIENT);
        if let (false, Ok(client)) = (has_client, cmd.incoming.client()) {
            lines.push(HeaderLine::new(headers::CLIENT, client.to_string()));
        }
        let auth = String::from_utf8_lossy(self.deps.peer_key.expose()).into_owned();
        lines.push(HeaderLine::new(headers::PEER_AUTH, auth));
        lines.push(HeaderLine::new(headers::VIA, via_value(via)));
        if let Some(mark) = self.quarantine_mark(cmd.fingerprint) {
            lines.push(HeaderLine::new(headers::MARK, encode_mark(&mark)));
        }
        lines
    }

    async fn handle_reply(
        self: &Arc<Self>,
        cmd: AttemptCommand,
        reply: TargetResponse,
        latency: Duration,
    ) {
        if cmd.hop.is_some() {
            let text = header(&reply.headers, headers::MARK);
            self.merge_mark(text.and_then(|text| decode_mark(text, cmd.fingerprint)));
        }
        if let Some(error) = refusal(&cmd, &reply) {
            return self.finish_attempt(cmd.attempt, Outcome::Refused { error, latency });
        }
        match reply.body {
            TargetBody::Stream(body) => {
                let head = ResponseHead { headers: reply.headers, status: reply.status };
                self.stream(cmd, head, body, latency).await;
            }
            TargetBody::Whole(body) => {
                let status = reply.status;
                let kept = Arc::new(KeptAnswer { body, headers: reply.headers, status });
                if let Some(pending) = lock(&self.pending).get_mut(&cmd.call) {
                    pending.reply = Some(kept.clone());
                }
                let outcome = Outcome::Answered { kept: Some(kept), latency, status };
                self.finish_attempt(cmd.attempt, outcome);
            }
        }
    }
}

/// The error kind that another host responded with, if any.
pub(super) fn refusal(cmd: &AttemptCommand, reply: &TargetResponse) -> Option<ErrorKind> {
    cmd.hop?;
    let line = reply.headers.iter().find(|line| &*line.name == headers::ERROR)?;
    let name = serde_json::Value::String(line.value.to_string());
    Some(serde_json::from_value(name).unwrap_or(ErrorKind::AnswerBroken))
}

pub(super) fn failed_outcome(error: ErrorKind, latency: Duration) -> Outcome {
    Outcome::Failed { error, latency, passed: false }
}
