//! Stand-in for a target that can produce the faults of real targets.

use std::{
    collections::VecDeque,
    io,
    sync::{
        Mutex, MutexGuard, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::{Bytes, BytesMut};
use serde_json::{Value, json};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use super::{
    FaultPlan, ReceivedRequest, Rewrite, Unending,
    capacity::{Capacity, Entry},
    received::read_request,
    response_faults::Sending,
};
use crate::prelude::*;

/// How a target responds to one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ResponseMode {
    /// Executes the request and responds.
    #[default]
    Serve,
    /// Executes the request and sends the response twice.
    Duplicate,
    /// Executes the request and responds with status 500.
    Fail,
    /// Executes the request and never responds.
    Hang,
    /// Executes the request and responds with a status that other targets refuse requests with.
    FalseRefusal,
    /// Refuses the request with this status, without executing it.
    Refuse(u16),
    /// Refuses the request as overloaded, without executing it.
    Shed,
    /// Executes the request and closes the connection without a response.
    Reset,
    /// Refuses the request as sent to the wrong target.
    WrongTarget,
    /// Executes the request, sends half of the body and closes the connection.
    Truncate,
    /// Executes the request and responds without a signature.
    Unsigned,
    /// Executes the request and responds without a length; the end of the connection ends the body.
    NoLength,
}

/// What the target says of itself in its responses.
#[derive(Clone, Debug, Default)]
pub struct Statements {
    /// Value of its limit of requests per second.
    pub limit: Option<&'static str>,
    /// Responses that are refusals, failures, unsigned or cut off state nothing.
    pub in_answers_only: bool,
    /// It leaves.
    pub is_leaving: bool,
    /// Time during which a host whose request it refuses must not send to it, in seconds.
    pub rest: Option<&'static str>,
}

impl Statements {
    fn headers(&self, mode: ResponseMode) -> String {
        let is_answer =
            matches!(mode, ResponseMode::Serve | ResponseMode::Duplicate | ResponseMode::NoLength);
        if self.in_answers_only && !is_answer {
            return String::new();
        }
        let is_refusal = mode == ResponseMode::Shed;
        let limit = self.limit.map(|limit| format!("Server-Limit: {limit}\r\n"));
        let rest = self.rest.filter(|_| is_refusal);
        let rest = rest.map(|rest| format!("Retry-After: {rest}\r\n"));
        let leaving = self.is_leaving.then(|| "Server-Leaving: 1\r\n".to_owned());
        limit.into_iter().chain(leaving).chain(rest).collect()
    }
}

/// Identity that a target reports in its store entry.
#[derive(Clone, Debug)]
pub struct TargetIdentity {
    pub id: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
}

/// A running target; stops when dropped.
pub struct TargetStandin {
    addr: SocketAddr,
    identity: TargetIdentity,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

#[derive(Default)]
struct Shared {
    /// Without bounds if not set.
    capacity: OnceLock<Capacity>,
    response_body: Mutex<Bytes>,
    response_modes: Mutex<VecDeque<ResponseMode>>,
    /// Number of connections that the peer closed while a request was being processed.
    disconnects: AtomicUsize,
    fault_plan: Mutex<Option<FaultPlan>>,
    /// Number of the next responses that are sent again.
    late_copies: AtomicUsize,
    late_copies_sent: AtomicUsize,
    /// Pause after an informational response; zero to send none.
    informational: Mutex<Duration>,
    received: Mutex<Vec<ReceivedRequest>>,
    rewrite: Mutex<Option<Rewrite>>,
    processing_time: Mutex<Duration>,
    statements: Mutex<Statements>,
    unending: Mutex<Option<Unending>>,
    /// Number of unending responses that the peer broke off.
    unending_closed: AtomicUsize,
}

impl TargetStandin {
    /// Starts a target on a free port of loopback that responds immediately.
    pub async fn spawn(identity: TargetIdentity) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        *locked(&shared.response_body) = Bytes::from(format!("answer of {}", identity.id));
        let task = tokio::spawn(serve(listener, identity.id, shared.clone()));
        Ok(Self { addr, identity, shared, task })
    }

    /// Returns the address on which the target listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub fn id(&self) -> &'static str {
        self.identity.id
    }

    /// Returns the target's entry for the store.
    pub fn store_entry(&self, state: &str, born: u64) -> Value {
        json!({
            "address": self.addr,
            "born": born,
            "info": {
                "service": self.identity.service, "slots": 3, "version": "v1",
                "zone": self.identity.zone,
            },
            "status": { "coldRemaining": "0ms", "sequence": 1, "state": state },
        })
    }

    /// Sets how the next requests are handled, in order; later ones are served normally.
    pub fn queue_responses(&self, response_modes: &[ResponseMode]) {
        locked(&self.shared.response_modes).extend(response_modes);
    }

    /// Sends each of the next `count` responses again, whatever its kind, once the next request on
    /// its connection was read.
    pub fn send_late_copies(&self, count: usize) {
        self.shared.late_copies.fetch_add(count, Ordering::Relaxed);
    }

    /// Lets the target execute `slots` requests at a time and `queue` more wait; others are refused.
    /// Cannot be changed later.
    pub fn set_capacity(&self, slots: usize, queue: usize) {
        let _ = self.shared.capacity.set(Capacity::new(slots, queue));
    }

    /// Draws how later requests and their responses are treated from a plan; `None` to serve all.
    /// The bodies of responses name their requests while there is one.
    pub fn set_fault_plan(&self, plan: Option<FaultPlan>) {
        *locked(&self.shared.fault_plan) = plan;
    }

    /// Returns how many responses were sent again.
    pub fn late_copies_sent(&self) -> usize {
        self.shared.late_copies_sent.load(Ordering::Relaxed)
    }

    /// Sets the body of responses.
    pub fn set_response_body(&self, body: impl Into<Bytes>) {
        *locked(&self.shared.response_body) = body.into();
    }

    /// Sets the processing time of each request.
    pub fn set_processing_time(&self, work: Duration) {
        *locked(&self.shared.processing_time) = work;
    }

    /// Sets what the target says of itself from its next response on.
    pub fn set_statements(&self, statements: Statements) {
        *locked(&self.shared.statements) = statements;
    }

    /// Sends an informational response this long before each response.
    pub fn set_informational(&self, pause: Duration) {
        *locked(&self.shared.informational) = pause;
    }

    /// Rewrites all responses from the next one on; `None` to send them as they are.
    pub fn set_rewrite(&self, rewrite: Option<Rewrite>) {
        *locked(&self.shared.rewrite) = rewrite;
    }

    /// Makes all responses from the next one on never end; `None` for whole ones.
    pub fn set_unending(&self, unending: Option<Unending>) {
        *locked(&self.shared.unending) = unending;
    }

    /// Returns how many unending responses the peer broke off.
    pub fn unending_closed(&self) -> usize {
        self.shared.unending_closed.load(Ordering::Relaxed)
    }

    /// Returns the requests received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        locked(&self.shared.received).clone()
    }

    /// Returns how often the peer closed a connection while a request was being processed.
    pub fn disconnects(&self) -> usize {
        self.shared.disconnects.load(Ordering::Relaxed)
    }
}

impl Drop for TargetStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}

async fn serve(listener: TcpListener, id: &'static str, shared: Arc<Shared>) {
    let mut connections = tokio::task::JoinSet::new();
    let mut count = 0;
    while let Ok((stream, _)) = listener.accept().await {
        count += 1;
        connections.spawn(serve_connection(stream, id, count, shared.clone()));
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    id: &'static str,
    number: usize,
    shared: Arc<Shared>,
) {
    let mut buf = BytesMut::new();
    let mut late: Vec<Bytes> = Vec::new();
    loop {
        match read_request(&mut stream, &mut buf, number).await {
            Ok(Some(request)) => {
                for copy in late.drain(..) {
                    shared.late_copies_sent.fetch_add(1, Ordering::Relaxed);
                    if stream.write_all(&copy).await.is_err() {
                        return;
                    }
                }
                let Ok(Some(more)) = respond(&mut stream, id, request, &shared).await else {
                    return;
                };
                late = more;
            }
            Ok(None) => return,
            Err(error) => return log::debug!("{id}: {error}"),
        }
    }
}

impl Shared {
    fn takes_late_copy(&self) -> bool {
        let take = |left: usize| left.checked_sub(1);
        self.late_copies.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }

    fn next_mode(&self) -> ResponseMode {
        let queued = locked(&self.response_modes).pop_front();
        let drawn = || locked(&self.fault_plan).as_mut().map(FaultPlan::draw_mode);
        queued.or_else(drawn).unwrap_or_default()
    }

    fn body_for(&self, id: &str, attempt_id: &str) -> Bytes {
        match &*locked(&self.fault_plan) {
            Some(_) => format!("answer of {id} to {attempt_id}").into(),
            None => locked(&self.response_body).clone(),
        }
    }

    fn sending(&self, response: Bytes) -> Sending {
        let mut sending = match &mut *locked(&self.fault_plan) {
            Some(plan) => plan.spoil(response.clone()),
            None => Sending::whole(response.clone()),
        };
        if self.takes_late_copy() {
            sending.late.push(response);
        }
        sending
    }
}

/// Responds to one request. Returns what is to be sent before the next response; `None` if the
/// connection must be closed.
async fn respond(
    stream: &mut TcpStream,
    id: &str,
    mut request: ReceivedRequest,
    shared: &Shared,
) -> io::Result<Option<Vec<Bytes>>> {
    let mut mode = shared.next_mode();
    let attempt_id = request.attempt_id.clone();
    let refuses = |mode| {
        matches!(mode, ResponseMode::Refuse(_) | ResponseMode::Shed | ResponseMode::WrongTarget)
    };
    let mut is_immediate = matches!(mode, ResponseMode::Refuse(_));
    let mut _slot = None;
    if let Some(capacity) = shared.capacity.get().filter(|_| !refuses(mode)) {
        match capacity.enter(stream).await {
            Entry::Full => {
                mode = ResponseMode::Shed;
                is_immediate = true;
            }
            Entry::Left => {
                locked(&shared.received).push(request);
                return Ok(None);
            }
            Entry::Slot(slot) => _slot = Some(slot),
        }
    }
    request.ran = !refuses(mode);
    locked(&shared.received).push(request);
    let duration = if is_immediate { Duration::ZERO } else { *locked(&shared.processing_time) };
    let duration = if mode == ResponseMode::Hang { Duration::MAX } else { duration };
    if !duration.is_zero() && !process(stream, duration).await {
        shared.disconnects.fetch_add(1, Ordering::Relaxed);
        return Ok(None);
    }
    let body = shared.body_for(id, &attempt_id);
    let length = body.len();
    let statements = locked(&shared.statements).headers(mode);
    let head = |status: &str, headers: &str| {
        let echo = match &*attempt_id {
            "" => String::new(),
            id => format!("Lavenderplank-Attempt-Id: {id}\r\n"),
        };
        format!("HTTP/1.1 {status}\r\n{echo}{statements}{headers}")
    };
    let signature = "Lavenderplank-Server-Seal: 3e1b.07\r\n";
    let mut response = BytesMut::new();
    match mode {
        ResponseMode::Serve | ResponseMode::Duplicate | ResponseMode::Hang => {
            let head = head("200 OK", &format!("{signature}Content-Length: {length}\r\n\r\n"));
            let times = if mode == ResponseMode::Duplicate { 2 } else { 1 };
            for _ in 0..times {
                response.extend_from_slice(head.as_bytes());
                response.extend_from_slice(&body);
            }
        }
        ResponseMode::Fail => {
            let headers = format!("{signature}Content-Length: {length}\r\n\r\n");
            response.extend_from_slice(head("500 Internal Server Error", &headers).as_bytes());
            response.extend_from_slice(&body);
        }
        ResponseMode::FalseRefusal => {
            let headers = format!("{signature}Content-Length: 0\r\n\r\n");
            response.extend_from_slice(head("429 Too Many Requests", &headers).as_bytes());
        }
        ResponseMode::Reset => return Ok(None),
        ResponseMode::Refuse(status) => {
            let headers = "Lavenderplank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            let head = head(&format!("{status} Refused"), headers);
            response.extend_from_slice(head.as_bytes());
        }
        ResponseMode::Shed => {
            let headers = "Lavenderplank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            response.extend_from_slice(head("503 Service Unavailable", headers).as_bytes());
        }
        ResponseMode::WrongTarget => {
            let headers =
                format!("Lavenderplank-Instance-Id: not-{id}\r\nContent-Length: 0\r\n\r\n");
            response.extend_from_slice(head("421 Misdirected Request", &headers).as_bytes());
        }
        ResponseMode::Truncate => {
            let headers = format!("{signature}Content-Length: {length}\r\n\r\n");
            response.extend_from_slice(head("200 OK", &headers).as_bytes());
            response.extend_from_slice(&body[..length / 2]);
        }
        ResponseMode::Unsigned => {
            let headers = format!("Content-Length: {length}\r\n\r\n");
            response.extend_from_slice(head("200 OK", &headers).as_bytes());
            response.extend_from_slice(&body);
        }
        ResponseMode::NoLength => {
            let headers = format!("{signature}Connection: close\r\n\r\n");
            response.extend_from_slice(head("200 OK", &headers).as_bytes());
            response.extend_from_slice(&body);
        }
    }
    let pause = *locked(&shared.informational);
    if !pause.is_zero() {
        stream.write_all(b"HTTP/1.1 103 Early Hints\r\n\r\n").await?;
        tokio::time::sleep(pause).await;
    }
    let unending = *locked(&shared.unending);
    if let Some(unending) = unending {
        unending.send(stream, &response).await;
        shared.unending_closed.fetch_add(1, Ordering::Relaxed);
        return Ok(None);
    }
    let rewrite = locked(&shared.rewrite).clone();
    if let Some(rewrite) = rewrite {
        let stays_open = rewrite.send(stream, &response).await?;
        return Ok(stays_open.then(Vec::new));
    }
    let sending = shared.sending(response.freeze());
    stream.write_all(&sending.now).await?;
    let closes = matches!(mode, ResponseMode::Truncate | ResponseMode::NoLength) || sending.closes;
    Ok((!closes).then_some(sending.late))
}

/// Simulates the processing of a request; returns false if the peer closes the connection before
/// the end.
async fn process(stream: &mut TcpStream, duration: Duration) -> bool {
    let mut byte = [0];
    tokio::select! {
        read = stream.peek(&mut byte) => read.is_ok_and(|size| 0 < size),
        () = tokio::time::sleep(duration) => true,
    }
}
