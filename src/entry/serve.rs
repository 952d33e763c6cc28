//! The listeners of the traffic thread: callers, look-ups, readiness.

use std::{cell::RefCell, collections::VecDeque, convert::Infallible, future::Future, rc::Rc};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

use super::{
    CallerMetadata, TrafficState,
    answer::Answer,
    caller_io::{CallerIo, Disconnect},
    exchange, lookup,
    pipeline::{self, Scanner, Seen},
};
use crate::prelude::*;

/// Pause after a connection could not be accepted, for want of descriptors most likely.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Idle time of callers' connections before any was declared.
const IDLE_ASSUMED: Duration = Duration::from_secs(60);

/// Longer than declared by this much: a caller that uses a connection to the last moment is served.
const IDLE_SLACK: Duration = Duration::from_secs(5);

/// Buffer of one connection: above the largest head that is declared.
const BUFFER: usize = 32 * 1024;

/// Time that a caller keeps the answer to a look-up, before the platform's own bound.
const LOOKUP_TTL: Duration = Duration::from_secs(2);

/// Time after the signal to stop in which idle connections are kept: callers hear of the leaving by
/// the next answer or look-up, and a connection closed under a request costs them a retry.
const CLOSE_AFTER: Duration = Duration::from_millis(1_500);

/// Accepts connections until the listener is dropped.
pub async fn accept<F>(listener: TcpListener, mut serve: impl FnMut(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(stream));
            }
            Err(error) => {
                log::warn!("a connection was not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one caller's connection.
pub async fn callers(
    state: Rc<TrafficState>,
    stream: TcpStream,
    mut leaving: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller's connection: {error}");
        return;
    }
    let _open = Open::new(&state);
    let (io, disconnect) = CallerIo::new(stream);
    let idle = state.view().and_then(|view| view.declared.clone());
    let idle = idle.map_or(IDLE_ASSUMED, |declared| declared.idle_timeout + IDLE_SLACK);
    let started = RefCell::default();
    let caller = Rc::new(Caller { state: state.clone(), disconnect, started });
    let service = service_fn(|req| one(caller.clone(), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(BUFFER)
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    let left = async {
        let _ = leaving.wait_for(|leaving| *leaving).await;
        tokio::time::sleep(CLOSE_AFTER).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = left => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("caller's connection: {error}");
    }
}

/// The caller has left: there is nobody to answer.
#[derive(Debug, thiserror::Error)]
#[error("the caller has left")]
struct Gone;

async fn one(caller: Rc<Caller>, req: Request<Incoming>) -> Result<Answer, Gone> {
    let state = &caller.state;
    let mut answer = caller.answer(req).await.ok_or(Gone)?;
    if state.leaving.get().is_some() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

/// One caller's connection.
struct Caller {
    state: Rc<TrafficState>,
    disconnect: Disconnect,
    /// Requests that were started before their turn, in their order.
    started: RefCell<VecDeque<Started>>,
}

/// A request whose turn has not come; ends when dropped, since then the caller has left.
struct Started {
    /// What it must be when its turn comes.
    note: CallerMetadata,
    task: JoinHandle<Option<Answer>>,
    uri: Uri,
}

impl Drop for Started {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Caller {
    async fn answer(&self, req: Request<Incoming>) -> Option<Answer> {
        self.disconnect.with_scanner(Scanner::turn);
        let started = self.started.borrow_mut().pop_front();
        let note = self.state.protocol.caller_metadata(req.headers());
        let own = async {
            match started {
                Some(mut started) if started.uri == *req.uri() && started.note == note => {
                    tokio::select! {
                        answer = &mut started.task => answer.ok().flatten(),
                        () = self.disconnect.closed() => None,
                    }
                }
                other => {
                    if other.is_some() {
                        log::warn!("requests started ahead are out of order; they are served anew");
                        self.disconnect.with_scanner(Scanner::lose);
                        self.started.borrow_mut().clear();
                    }
                    let req = req.map(exchange::Body::Incoming);
                    exchange::serve(self.state.clone(), self.disconnect.clone(), req).await
                }
            }
        };
        tokio::select! {
            biased;
            answer = own => answer,
            () = self.look_ahead() => None,
        }
    }

    /// Starts what arrives, as long as it may be.
    async fn look_ahead(&self) {
        loop {
            self.start_waiting();
            self.disconnect.data_arrived().await;
            if self.disconnect.is_closed() {
                // Who serves the request notices too, and ends.
                std::future::pending::<()>().await;
            }
        }
    }

    fn start_waiting(&self) {
        let mut started = self.started.borrow_mut();
        let skip = started.len();
        let heads = self.disconnect.with_scanner(|scanner| {
            let heads = scanner.waiting().skip(skip).map(|seen| match seen {
                Seen::Ready(head) => Some(head.clone()),
                Seen::Plain => None,
            });
            heads.collect::<Vec<_>>()
        });
        for head in heads {
            // What may not be started holds up those behind it.
            let Some(head) = head.as_deref().and_then(pipeline::read) else { return };
            let (head, ()) = head.into_parts();
            if !exchange::may_start_ahead(&self.state, &head) {
                return;
            }
            let note = self.state.protocol.caller_metadata(&head.headers);
            let uri = head.uri.clone();
            let req = Request::from_parts(head, exchange::Body::None);
            // If the caller leaves, `Started` is dropped and ends the task.
            let serve = exchange::serve(self.state.clone(), Disconnect::never(), req);
            started.push_back(Started { note, task: tokio::task::spawn_local(serve), uri });
        }
    }
}

/// Counts an open connection, so that a planned stop waits until all have their answers.
struct Open(Rc<TrafficState>);

impl Open {
    fn new(state: &Rc<TrafficState>) -> Self {
        state.open.set(state.open.get() + 1);
        Self(state.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Serves a connection of the platform's own: readiness, or a look-up.
pub async fn small<F>(stream: TcpStream, answer: impl Fn(Request<Incoming>) -> F)
where
    F: Future<Output = Response<Full<Bytes>>>,
{
    let service = service_fn(|req| {
        let answer = answer(req);
        async { Ok::<_, Infallible>(answer.await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_ASSUMED)
        .max_buf_size(BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!("connection: {error}");
    }
}

/// The answer to a question for readiness.
pub fn ready(state: &TrafficState, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    if !state.protocol.is_readiness_request(req.uri()) {
        return status(StatusCode::NOT_FOUND);
    }
    let knows = state.view().is_some_and(|view| view.declared.is_some());
    let ready = knows && state.leaving.get().is_none();
    status(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// The answer to a look-up.
pub fn look_up(state: &TrafficState, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let Some(place) = state.protocol.parse_lookup(req.uri()) else {
        return status(StatusCode::NOT_FOUND);
    };
    let Some(view) = state.view() else { return status(StatusCode::SERVICE_UNAVAILABLE) };
    let found = lookup::host_addresses(&view.hosts, &place);
    if found.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl = LOOKUP_TTL.min(state.bounds().lookup_ttl);
    let mut answer = Response::new(Full::new(state.protocol.encode_lookup_response(&found, ttl)));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// An answer that is a status only.
pub fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}
