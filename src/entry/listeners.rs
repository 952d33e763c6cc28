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
    caller_io::{CallerIo, Disconnect},
    lookup,
    pipelining::{self, PipelineScanner, ScannedRequest},
    request_handler,
    response::CallerResponse,
};
use crate::prelude::*;

/// Pause after a connection could not be accepted, for want of descriptors most likely.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Idle time of callers' connections before any was declared.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Longer than declared by this much: a caller that uses a connection to the last moment is served.
const IDLE_SLACK: Duration = Duration::from_secs(5);

/// Buffer of one connection: above the largest head that is declared.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Time that a caller keeps the answer to a look-up, before the platform's own bound.
const LOOKUP_TTL: Duration = Duration::from_secs(2);

/// Time after the signal to stop in which idle connections are kept: callers hear of the leaving by
/// the next answer or look-up, and a connection closed under a request costs them a retry.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(1_500);

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
pub async fn serve_caller(
    state: Rc<TrafficState>,
    stream: TcpStream,
    mut leaving: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller's connection: {error}");
        return;
    }
    let _open_connection = OpenConnection::new(&state);
    let (io, disconnect) = CallerIo::new(stream);
    let idle = state.view().and_then(|view| view.declaration.clone());
    let idle = idle.map_or(DEFAULT_IDLE_TIMEOUT, |declared| declared.idle_timeout + IDLE_SLACK);
    let early_requests = RefCell::default();
    let caller = Rc::new(CallerConnection { state: state.clone(), disconnect, early_requests });
    let service = service_fn(|req| handle(caller.clone(), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    let closing = async {
        let _ = leaving.wait_for(|leaving| *leaving).await;
        tokio::time::sleep(IDLE_CLOSE_DELAY).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing => {
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
struct CallerLeft;

async fn handle(
    caller: Rc<CallerConnection>,
    req: Request<Incoming>,
) -> Result<CallerResponse, CallerLeft> {
    let state = &caller.state;
    let mut response = caller.respond(req).await.ok_or(CallerLeft)?;
    if state.shutdown_started_at.get().is_some() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// One caller's connection.
struct CallerConnection {
    state: Rc<TrafficState>,
    disconnect: Disconnect,
    /// Requests that were started before their turn, in their order.
    early_requests: RefCell<VecDeque<EarlyRequest>>,
}

/// A request whose turn has not come; ends when dropped, since then the caller has left.
struct EarlyRequest {
    /// What it must be when its turn comes.
    note: CallerMetadata,
    task: JoinHandle<Option<CallerResponse>>,
    uri: Uri,
}

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl CallerConnection {
    async fn respond(&self, req: Request<Incoming>) -> Option<CallerResponse> {
        self.disconnect.with_scanner(PipelineScanner::take_next);
        let early_request = self.early_requests.borrow_mut().pop_front();
        let note = self.state.protocol.caller_metadata(req.headers());
        let response = async {
            match early_request {
                Some(mut early) if early.uri == *req.uri() && early.note == note => {
                    tokio::select! {
                    response =&mut early.task =>response.ok().flatten(),()=self.disconnect.closed()=>None,
                                        }
                }
                other => {
                    if other.is_some() {
                        log::warn!("requests started ahead are out of order; they are served anew");
                        self.disconnect.with_scanner(PipelineScanner::disable);
                        self.early_requests.borrow_mut().clear();
                    }
                    let req = req.map(request_handler::RequestBody::Incoming);
                    request_handler::handle_request(
                        self.state.clone(),
                        self.disconnect.clone(),
                        req,
                    )
                    .await
                }
            }
        };
        tokio::select! {
            biased;
            response = response => response,
            () = self.start_pipelined_requests() => None,
        }
    }

    /// Starts what arrives, as long as it may be.
    async fn start_pipelined_requests(&self) {
        loop {
            self.start_waiting_requests();
            self.disconnect.data_arrived().await;
            if self.disconnect.is_closed() {
                // Who serves the request notices too, and ends.
                std::future::pending::<()>().await;
            }
        }
    }

    fn start_waiting_requests(&self) {
        let mut early_requests = self.early_requests.borrow_mut();
        let skip = early_requests.len();
        let heads = self.disconnect.with_scanner(|scanner| {
            let heads = scanner.waiting().skip(skip).map(|seen| match seen {
                ScannedRequest::Startable(head) => Some(head.clone()),
                ScannedRequest::InTurn => None,
            });
            heads.collect::<Vec<_>>()
        });
        for head in heads {
            // What may not be started holds up those behind it.
            let Some(head) = head.as_deref().and_then(pipelining::parse_head) else { return };
            let (head, ()) = head.into_parts();
            if !request_handler::may_start_early(&self.state, &head) {
                return;
            }
            let note = self.state.protocol.caller_metadata(&head.headers);
            let uri = head.uri.clone();
            let req = Request::from_parts(head, request_handler::RequestBody::None);
            // If the caller leaves, `EarlyRequest` is dropped and ends the task.
            let serve =
                request_handler::handle_request(self.state.clone(), Disconnect::never(), req);
            early_requests.push_back(EarlyRequest {
                note,
                task: tokio::task::spawn_local(serve),
                uri,
            });
        }
    }
}

/// Counts an open connection, so that a planned stop waits until all have their answers.
struct OpenConnection(Rc<TrafficState>);

impl OpenConnection {
    fn new(state: &Rc<TrafficState>) -> Self {
        state.open_connections.set(state.open_connections.get() + 1);
        Self(state.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
    }
}

/// Serves a connection of the platform's own: readiness, or a look-up.
pub async fn serve_platform_connection<F>(
    stream: TcpStream,
    handler: impl Fn(Request<Incoming>) -> F,
) where
    F: Future<Output = Response<Full<Bytes>>>,
{
    let service = service_fn(|req| {
        let response = handler(req);
        async { Ok::<_, Infallible>(response.await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!("connection: {error}");
    }
}

/// The answer to a question for readiness.
pub fn readiness_response(state: &TrafficState, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    if !state.protocol.is_readiness_request(req.uri()) {
        return status_response(StatusCode::NOT_FOUND);
    }
    let knows = state.view().is_some_and(|view| view.declaration.is_some());
    let ready = knows && state.shutdown_started_at.get().is_none();
    status_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// The answer to a look-up.
pub fn lookup_response(state: &TrafficState, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let Some(place) = state.protocol.parse_lookup(req.uri()) else {
        return status_response(StatusCode::NOT_FOUND);
    };
    let Some(view) = state.view() else { return status_response(StatusCode::SERVICE_UNAVAILABLE) };
    let found = lookup::host_addresses(&view.hosts, &place);
    if found.is_empty() {
        return status_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl = LOOKUP_TTL.min(state.bounds().lookup_ttl);
    let mut response = Response::new(Full::new(state.protocol.encode_lookup_response(&found, ttl)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// An answer that is a status only.
pub fn status_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
