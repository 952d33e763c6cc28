//! One attempt at one target.

use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header, request::Parts};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use super::{
    CallerNote, Desk, Ended, KnownTarget, ReplyNote,
    answer::{Answer, AnswerBody, Relay, RelayEnd, strip},
    desk::Running,
    upstream::{Line, SendError, connect, keep_alive},
};
use crate::prelude::*;

/// Largest answer that is held whole before its head goes out: it can then be asked for again
/// elsewhere if it breaks off. Larger ones are passed on as they arrive.
const WHOLE_BYTES: u64 = 64 * 1024;

/// How an attempt ended.
pub enum Landing {
    /// The target's answer, whole or on its way.
    Answer(Answer),
    /// The target's own failure, whole; another target may do better.
    Poor(Answer),
    /// It has not run there and never will.
    NotRun(ErrorKind),
    /// It may have run.
    Lost(ErrorKind),
}

/// One request, as each attempt needs it.
pub struct Load {
    pub body: Bytes,
    pub deadline: Moment,
    pub fingerprint: u64,
    pub head: Parts,
    pub note: CallerNote,
    pub service: ServiceId,
}

/// Sends the request to a target and takes its answer in.
pub async fn fly(
    desk: Rc<Desk>,
    load: Rc<Load>,
    target: Arc<KnownTarget>,
    running: Running,
) -> Landing {
    let mut watch = Watch {
        desk: desk.clone(),
        load: load.clone(),
        target: target.clone(),
        started: running.started,
        done: false,
    };
    let mut line = match line(&desk, &target).await {
        Ok(line) => line,
        Err(error) => return watch.unsent(&error),
    };
    let mut sent = line.send(order(&desk, &load, &target)).await;
    if let Err(SendError::NotSent(reason)) = &sent
        && line.reused
    {
        // The target closed an idle connection; no byte was written, so a new one may serve.
        log::debug!("{}: idle connection was closed: {reason}", target.entry.id);
        line = match connect(target.entry.addr).await {
            Ok(line) => line,
            Err(error) => return watch.unsent(&error),
        };
        sent = line.send(order(&desk, &load, &target)).await;
    }
    let answer = match sent {
        Ok(answer) => answer,
        Err(SendError::Lost(reason)) => return watch.lost(&reason),
        Err(error) => return watch.unsent(&error),
    };
    let note = desk.dialect.reply(answer.status(), answer.headers());
    if note.not_run || note.other_target {
        return watch.refused(&note, answer, line).await;
    }
    let strange = note.attempt != load.note.attempt;
    if strange || (answer.status().is_success() && !note.signed) {
        // An answer to an earlier request, or one that no target gave. Whatever comes on this
        // connection next can't be told from it, so the connection is closed.
        return watch.lost("the answer is another request's");
    }
    watch.take(note, answer, line, running).await
}

/// An idle connection, or a new one.
async fn line(desk: &Desk, target: &KnownTarget) -> super::upstream::Result<Line> {
    let idle = desk.pool.borrow_mut().take(target, desk.clock.now());
    match idle {
        Some(line) => Ok(line),
        None => connect(target.entry.addr).await,
    }
}

/// The request as the target gets it.
fn order(desk: &Desk, load: &Load, target: &KnownTarget) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(load.body.clone()));
    *req.method_mut() = load.head.method.clone();
    *req.uri_mut() = load.head.uri.clone();
    let headers = req.headers_mut();
    *headers = load.head.headers.clone();
    strip(headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let left = load.deadline.saturating_sub(desk.clock.now());
    desk.dialect.mark(headers, &target.entry.id, left);
    req
}

/// Tells the desk how the attempt ended, also when it is dropped half way.
struct Watch {
    desk: Rc<Desk>,
    done: bool,
    load: Rc<Load>,
    started: Moment,
    target: Arc<KnownTarget>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.done {
            let took = self.took();
            self.ended(Ended::Cancelled(took));
        }
    }
}

impl Watch {
    fn took(&self) -> Duration {
        self.desk.clock.now().saturating_sub(self.started)
    }

    fn ended(&mut self, ended: Ended) {
        self.done = true;
        self.desk.ended(&self.target, &self.load.service, ended);
    }

    fn unsent(&mut self, error: &SendError) -> Landing {
        log::info!("{}: {error}", self.target.entry.id);
        match error {
            SendError::Unreachable(_) => self.ended(Ended::Unreachable),
            _ => self.ended(Ended::Failed),
        }
        Landing::NotRun(ErrorKind::ConnectFailed)
    }

    fn lost(&mut self, reason: &str) -> Landing {
        log::info!("{}: {reason}", self.target.entry.id);
        self.ended(Ended::Failed);
        self.desk.look_for_crash(&self.target, &self.load.service);
        Landing::Lost(ErrorKind::DispatchLost)
    }

    async fn refused(
        &mut self,
        note: &ReplyNote,
        answer: Response<Incoming>,
        line: Line,
    ) -> Landing {
        if note.other_target {
            // The address has a new owner: the entry is out of date.
            self.ended(Ended::Unreachable);
            return Landing::NotRun(ErrorKind::NoTarget);
        }
        self.ended(Ended::Full);
        let keep = keep_alive(answer.headers());
        if answer.into_body().collect().await.is_ok() {
            let now = self.desk.clock.now();
            self.desk.pool.borrow_mut().put(&self.target, line, keep, now);
        }
        Landing::NotRun(ErrorKind::Shed)
    }

    async fn take(
        &mut self,
        note: ReplyNote,
        answer: Response<Incoming>,
        line: Line,
        running: Running,
    ) -> Landing {
        let status = answer.status();
        let (mut head, body) = answer.into_parts();
        let keep = keep_alive(&head.headers);
        strip(&mut head.headers);
        let size = http_body::Body::size_hint(&body).exact();
        if size.is_none_or(|size| WHOLE_BYTES < size) && status.is_success() {
            let took = self.took();
            self.ended(Ended::Answered(took));
            let end = RelayEnd {
                desk: self.desk.clone(),
                keep,
                line,
                running,
                service: self.load.service.clone(),
                target: self.target.clone(),
            };
            let relay = Relay { body, ended: Some(end) };
            return Landing::Answer(Response::from_parts(head, AnswerBody::Stream(relay)));
        }
        let whole = match body.collect().await {
            Ok(whole) => whole.to_bytes(),
            Err(error) => return self.lost(&format!("the answer broke off: {error}")),
        };
        let now = self.desk.clock.now();
        self.desk.pool.borrow_mut().put(&self.target, line, keep, now);
        let took = self.took();
        let answer = Response::from_parts(head, AnswerBody::Whole(Full::new(whole)));
        if status.is_server_error() {
            self.ended(Ended::Failed);
            return if note.signed {
                Landing::Poor(answer)
            } else {
                Landing::Lost(ErrorKind::AnswerBroken)
            };
        }
        self.ended(Ended::Answered(took));
        self.desk.cleared(self.load.fingerprint);
        if status != StatusCode::OK {
            log::debug!("{}: answered {status}", self.target.entry.id);
        }
        Landing::Answer(answer)
    }
}
