//! The HTTP servers of the traffic thread: for callers, look-ups and readiness checks.

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
    relay::RelayedResponse,
    request_handler,
    response::CallerResponse,
    served_relay::Sender,
};
use crate::prelude::*;

/// Pause after a connection could not be accepted, most likely for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Idle timeout of connections while no declaration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Added to the declared idle timeout, so that a caller may use a connection until its very end.
const IDLE_SLACK: Duration = Duration::from_secs(5);

/// Buffer size of one connection; larger than the largest head that a platform declares.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Most headers of a request. The HTTP parser allocates space for this many with each request, so
/// that the number cannot follow from the size of a head alone.
const MAX_HEADERS: usize = 1024;

/// Most headers that a host adds to a request that another host serves for it.
const MAX_RELAY_HEADERS: usize = 8;

/// How long a caller may cache a look-up's response; the platform's own bound may lower it.
const LOOKUP_TTL: Duration = Duration::from_secs(2);

/// How long idle connections are kept open after the signal to stop. Callers learn of the shutdown
/// from their next response or look-up; a connection closed while they send a request costs a
/// retry.
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
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves the requests on one connection of a caller or of another host.
pub async fn serve_requests(
    state: Rc<TrafficState>,
    stream: TcpStream,
    sender: Sender,
    mut shutdown: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller's connection: {error}");
        return;
    }
    let _open_connection = OpenConnection::new(&state);
    let (io, disconnect) = CallerIo::new(stream);
    let declaration = state.view().and_then(|view| view.declaration.clone());
    let idle_timeout = declaration
        .map_or(DEFAULT_IDLE_TIMEOUT, |declaration| declaration.idle_timeout + IDLE_SLACK);
    let early_requests = RefCell::default();
    let caller =
        Rc::new(CallerConnection { state: state.clone(), disconnect, early_requests, sender });
    let max_headers = match sender {
        Sender::Caller => MAX_HEADERS,
        Sender::Host => MAX_HEADERS + MAX_RELAY_HEADERS,
    };
    let service = service_fn(|req| handle(caller.clone(), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(MAX_BUFFER_BYTES)
        .max_headers(max_headers)
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    let closing = async {
        let _ = shutdown.wait_for(|is_shutting_down| *is_shutting_down).await;
        tokio::time::sleep(IDLE_CLOSE_DELAY).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing => {
            // The library would close behind the next response. The one to the last early request
            // closes the connection anyway.
            if caller.early_requests.borrow().is_empty() {
                connection.as_mut().graceful_shutdown();
            }
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("caller's connection: {error}");
    }
}

/// The caller has left, so that no response can be sent. Makes the HTTP server close the
/// connection.
#[derive(Debug, thiserror::Error)]
#[error("the caller has left")]
struct CallerLeft;

async fn handle(
    caller: Rc<CallerConnection>,
    req: Request<Incoming>,
) -> Result<CallerResponse, CallerLeft> {
    let state = &caller.state;
    let mut response = caller.respond(req).await.ok_or(CallerLeft)?;
    if caller.sender == Sender::Host {
        let statement = response.extensions_mut().remove::<RelayedResponse>();
        statement.unwrap_or_default().add_to(response.headers_mut());
    }
    // The library sends nothing behind a response that closes the connection.
    let is_last = caller.early_requests.borrow().is_empty();
    if is_last && state.shutdown_started_at.get().is_some() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// One caller's connection.
struct CallerConnection {
    state: Rc<TrafficState>,
    disconnect: Disconnect,
    /// Pipelined requests that were started early, in the order of their arrival.
    early_requests: RefCell<VecDeque<EarlyRequest>>,
    sender: Sender,
}

/// A pipelined request that was started before those ahead of it were answered. Dropping it aborts
/// the task.
struct EarlyRequest {
    /// Compared, like `uri`, with the request that the HTTP server hands over when its turn comes.
    metadata: CallerMetadata,
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
        let metadata = self.state.protocol.caller_metadata(req.headers());
        let response = async {
            match early_request {
                Some(mut early) if early.uri == *req.uri() && early.metadata == metadata => {
                    tokio::select! {
                        response = &mut early.task => response.ok().flatten(),
                        () = self.disconnect.closed() => None,
                    }
                }
                other => {
                    if other.is_some() {
                        log::warn!(
                            "early requests do not match the order of arrival; serving them again"
                        );
                        self.disconnect.with_scanner(PipelineScanner::disable);
                        self.early_requests.borrow_mut().clear();
                    }
                    let req = req.map(request_handler::RequestBody::Incoming);
                    request_handler::handle_request(
                        self.state.clone(),
                        self.disconnect.clone(),
                        req,
                        self.sender,
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

    /// Starts pipelined requests early as they arrive. Never returns.
    async fn start_pipelined_requests(&self) {
        if self.sender == Sender::Host {
            return std::future::pending().await;
        }
        loop {
            self.start_waiting_requests();
            self.disconnect.data_arrived().await;
            if self.disconnect.is_closed() {
                // The task that serves the request notices the disconnect too, and ends it.
                std::future::pending::<()>().await;
            }
        }
    }

    fn start_waiting_requests(&self) {
        let mut early_requests = self.early_requests.borrow_mut();
        let skip = early_requests.len();
        let heads = self.disconnect.with_scanner(|scanner| {
            let heads = scanner.waiting().skip(skip).map(|request| match request {
                ScannedRequest::Startable(head) => Some(head.clone()),
                ScannedRequest::InTurn => None,
            });
            heads.collect::<Vec<_>>()
        });
        for head in heads {
            // A request that must wait holds up those behind it.
            let Some(head) = head.as_deref().and_then(pipelining::parse_head) else { return };
            let (head, ()) = head.into_parts();
            if !request_handler::may_start_early(&self.state, &head) {
                return;
            }
            let metadata = self.state.protocol.caller_metadata(&head.headers);
            let uri = head.uri.clone();
            let req = Request::from_parts(head, request_handler::RequestBody::None);
            // If the caller leaves, `EarlyRequest` is dropped and aborts the task.
            let serve = request_handler::handle_request(
                self.state.clone(),
                Disconnect::never(),
                req,
                Sender::Caller,
            );
            early_requests.push_back(EarlyRequest {
                metadata,
                task: tokio::task::spawn_local(serve),
                uri,
            });
        }
    }
}

/// Counts an open connection, so that a graceful shutdown waits until all requests are answered.
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

/// Serves a connection of the platform: a look-up, a readiness check or a scrape of the metrics.
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
        log::debug!("platform connection: {error}");
    }
}

/// The response to a readiness check: ready once a declaration is known, until the shutdown begins.
pub fn readiness_response(state: &TrafficState, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    if !state.protocol.is_readiness_request(req.uri()) {
        return status_response(StatusCode::NOT_FOUND);
    }
    let has_declaration = state.view().is_some_and(|view| view.declaration.is_some());
    let ready = has_declaration && state.shutdown_started_at.get().is_none();
    status_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// The response to a look-up: the addresses of hosts that the caller may use.
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

/// A response with a status and no body.
pub fn status_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
