//! One attempt at a request: sent to a target or another host, and its answer taken in.

use super::{
    headers,
    incoming::{Incoming, mark_text, read_mark, via_text},
    traffic::{Traffic, lock},
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

/// One attempt to be carried out.
pub(super) struct Order {
    pub address: SocketAddr,
    pub attempt: AttemptId,
    pub call: CallId,
    pub fingerprint: Fingerprint,
    pub hop: Option<Via>,
    pub incoming: Arc<Incoming>,
    pub request: RequestId,
    pub timeout: Duration,
}

impl Order {
    fn path(&self) -> Arc<str> {
        match self.hop {
            Some(_) => {
                format!("/v1/services/{}{}", self.incoming.service, self.incoming.path).into()
            }
            None => self.incoming.path.clone(),
        }
    }
}

/// The head of an answer whose body is streamed.
pub(super) struct Head {
    pub headers: Vec<HeaderLine>,
    pub status: u16,
}

impl Traffic {
    pub(super) async fn run(self: Arc<Self>, order: Order) {
        let started = self.parts.clock.now();
        let attempt = order.attempt;
        let sent = self.send(&order, &[]).await;
        let latency = self.parts.clock.now().saturating_sub(started);
        match sent {
            Ok(reply) => self.reply(order, reply, latency).await,
            Err(failure) => self.end(attempt, failed(failure.kind(), latency)),
        }
    }

    /// Sends the request, with the lines that ask for a file's rest in place of its own.
    pub(super) async fn send(
        &self,
        order: &Order,
        rest: &[HeaderLine],
    ) -> crate::forward::Result<TargetResponse> {
        let view = self.view();
        let service = view.as_ref().and_then(|view| view.manifest.service(&order.incoming.service));
        let is_idempotent = service.is_some_and(|service| service.kind.is_idempotent());
        let streams = service.is_some_and(|service| service.kind == ServiceKind::File);
        let attempt = Attempt {
            address: order.address,
            body: order.incoming.body.clone(),
            max_connections: service.map_or(1, |service| service.connections),
            timeout: order.timeout,
            headers: self.lines(order, rest),
            method: order.incoming.method.clone(),
            path: order.path(),
            is_idempotent,
            request: order.request.clone(),
            buffer_response: !streams,
        };
        match order.hop {
            Some(_) => self.parts.peers.send(attempt).await,
            None => self.parts.targets.send(attempt).await,
        }
    }

    fn lines(&self, order: &Order, rest: &[HeaderLine]) -> Vec<HeaderLine> {
        let mut lines = order.incoming.passed_headers();
        lines.retain(|line| rest.iter().all(|ours| ours.name != line.name));
        lines.extend_from_slice(rest);
        let Some(via) = order.hop else { return lines };
        lines.extend(order.incoming.own_headers());
        let has_client = lines.iter().any(|line| &*line.name == headers::CLIENT);
        if let (false, Ok(client)) = (has_client, order.incoming.client()) {
            lines.push(HeaderLine::new(headers::CLIENT, client.to_string()));
        }
        let auth = String::from_utf8_lossy(self.parts.peer_key.expose()).into_owned();
        lines.push(HeaderLine::new(headers::PEER_AUTH, auth));
        lines.push(HeaderLine::new(headers::VIA, via_text(via)));
        if let Some(mark) = self.mark(order.fingerprint) {
            lines.push(HeaderLine::new(headers::MARK, mark_text(&mark)));
        }
        lines
    }

    async fn reply(self: &Arc<Self>, order: Order, reply: TargetResponse, latency: Duration) {
        if order.hop.is_some() {
            let text = header(&reply.headers, headers::MARK);
            self.learn(text.and_then(|text| read_mark(text, order.fingerprint)));
        }
        if let Some(error) = refusal(&order, &reply) {
            return self.end(order.attempt, Outcome::Refused { error, latency });
        }
        match reply.body {
            TargetBody::Stream(body) => {
                let head = Head { headers: reply.headers, status: reply.status };
                self.stream(order, head, body, latency).await;
            }
            TargetBody::Whole(body) => {
                let status = reply.status;
                let kept = Arc::new(KeptAnswer { body, headers: reply.headers, status });
                if let Some(pending) = lock(&self.pending).get_mut(&order.call) {
                    pending.reply = Some(kept.clone());
                }
                let outcome = Outcome::Answered { kept: Some(kept), latency, status };
                self.end(order.attempt, outcome);
            }
        }
    }
}

/// The error kind that another host answered with, if it did.
pub(super) fn refusal(order: &Order, reply: &TargetResponse) -> Option<ErrorKind> {
    order.hop?;
    let line = reply.headers.iter().find(|line| &*line.name == headers::ERROR)?;
    let name = serde_json::Value::String(line.value.to_string());
    Some(serde_json::from_value(name).unwrap_or(ErrorKind::AnswerBroken))
}

pub(super) fn failed(error: ErrorKind, latency: Duration) -> Outcome {
    Outcome::Failed { error, latency, passed: false }
}
