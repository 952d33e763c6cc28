//! A stand-in of a target, which may misbehave in each way that real ones do.

use std::{
    collections::VecDeque,
    io,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::{Buf, Bytes, BytesMut};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use crate::prelude::*;

/// Most headers of a request.
const MAX_HEADERS: usize = 64;

/// What a target does with one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ResponseMode {
    /// Runs it and answers.
    #[default]
    Serve,
    /// Runs it, answers, and answers it once more.
    Duplicate,
    /// Runs it and answers 500.
    Fail,
    /// Runs it and never answers.
    Hang,
    /// Does not run it, for want of room.
    Shed,
    /// Runs it and closes the connection.
    Reset,
    /// Is not the target that was expected_target.
    WrongTarget,
    /// Runs it, answers with half of the body and closes the connection.
    Truncate,
    /// Runs it and answers without a signature.
    Unsigned,
    /// Runs it and answers without a length; the connection's end is the body's.
    NoLength,
}

/// A request as the target got it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedRequest {
    pub attempt_id: String,
    pub body: Bytes,
    /// Which connection it came on.
    pub connection: usize,
    /// The request contained a caller's key.
    pub has_key: bool,
    pub method: String,
    /// Id of the target that was expected_target.
    pub expected_target: String,
    pub path: String,
    /// It began to work on it.
    pub ran: bool,
    /// Team name in the request's header.
    pub team: Option<String>,
    /// Milliseconds that the caller still waits.
    pub time_left: Option<u64>,
}

/// Who a target says that it is.
#[derive(Clone, Debug)]
pub struct TargetIdentity {
    pub id: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
}

/// A running target; ends when dropped.
pub struct TargetStandin {
    addr: SocketAddr,
    draft: TargetIdentity,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

#[derive(Default)]
struct Shared {
    body: Mutex<Bytes>,
    response_modes: Mutex<VecDeque<ResponseMode>>,
    /// Connections that the other side closed while a request was at work.
    disconnects: AtomicUsize,
    received: Mutex<Vec<ReceivedRequest>>,
    work: Mutex<Duration>,
}

impl TargetStandin {
    /// A target on a free port of loopback, that answers at once.
    pub async fn spawn(draft: TargetIdentity) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        *locked(&shared.body) = Bytes::from(format!("answer of {}", draft.id));
        let task = tokio::spawn(serve(listener, draft.id, shared.clone()));
        Ok(Self { addr, draft, shared, task })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Its id.
    pub fn id(&self) -> &'static str {
        self.draft.id
    }

    /// What it says of itself in the store.
    pub fn store_entry(&self, state: &str, born: u64) -> Value {
        json!({
            "address": self.addr,
            "born": born,
            "info": {
                "service": self.draft.service, "slots": 3, "version": "v1",
                "zone": self.draft.zone,
            },
            "status": { "coldRemaining": "0ms", "sequence": 1, "state": state },
        })
    }

    /// What it does with the next requests; it serves those after them.
    pub fn queue_responses(&self, response_modes: &[ResponseMode]) {
        locked(&self.shared.response_modes).extend(response_modes);
    }

    /// The body of its answers.
    pub fn set_response_body(&self, body: impl Into<Bytes>) {
        *locked(&self.shared.body) = body.into();
    }

    /// Time that it takes for each request.
    pub fn set_processing_time(&self, work: Duration) {
        *locked(&self.shared.work) = work;
    }

    /// The requests that it got.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        locked(&self.shared.received).clone()
    }

    /// How often the other side left while a request was at work.
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
        connections.spawn(connection(stream, id, count, shared.clone()));
    }
}

async fn connection(mut stream: TcpStream, id: &'static str, number: usize, shared: Arc<Shared>) {
    let mut buf = BytesMut::new();
    loop {
        match next(&mut stream, &mut buf, number).await {
            Ok(Some(seen)) => {
                if !answer(&mut stream, id, seen, &shared).await.unwrap_or(false) {
                    return;
                }
            }
            Ok(None) => return,
            Err(error) => return log::debug!("{id}: {error}"),
        }
    }
}

/// Reads one request.
async fn next(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    connection: usize,
) -> io::Result<Option<ReceivedRequest>> {
    loop {
        if let Some(seen) = parse(buf, connection)? {
            return Ok(Some(seen));
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
}

fn parse(buf: &mut BytesMut, connection: usize) -> io::Result<Option<ReceivedRequest>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head) = req.parse(buf).map_err(io::Error::other)? else {
        return Ok(None);
    };
    let text = |name: &str| {
        let header = req.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        header.map(|header| String::from_utf8_lossy(header.value).into_owned())
    };
    let length: usize =
        text("content-length").and_then(|length| length.parse().ok()).unwrap_or_default();
    if buf.len() < head + length {
        return Ok(None);
    }
    let mut seen = ReceivedRequest {
        attempt_id: text("lavenderplank-attempt-id").unwrap_or_default(),
        body: Bytes::new(),
        connection,
        has_key: text("lavenderplank-key").is_some(),
        expected_target: text("lavenderplank-expected-instance").unwrap_or_default(),
        method: req.method.unwrap_or_default().to_owned(),
        path: req.path.unwrap_or_default().to_owned(),
        ran: false,
        team: text("lavenderplank-tenant"),
        time_left: text("lavenderplank-time-remaining").and_then(|left| left.parse().ok()),
    };
    buf.advance(head);
    seen.body = buf.split_to(length).freeze();
    Ok(Some(seen))
}

/// Answers one request; false when the connection is over.
async fn answer(
    stream: &mut TcpStream,
    id: &str,
    mut seen: ReceivedRequest,
    shared: &Shared,
) -> io::Result<bool> {
    let mode = locked(&shared.response_modes).pop_front().unwrap_or_default();
    let attempt = seen.attempt_id.clone();
    seen.ran = !matches!(mode, ResponseMode::Shed | ResponseMode::WrongTarget);
    locked(&shared.received).push(seen);
    let work = *locked(&shared.work);
    let work = if mode == ResponseMode::Hang { Duration::MAX } else { work };
    if !work.is_zero() && !rested(stream, work).await {
        shared.disconnects.fetch_add(1, Ordering::Relaxed);
        return Ok(false);
    }
    let body = locked(&shared.body).clone();
    let length = body.len();
    let head = |status: &str, more: &str| {
        format!("HTTP/1.1 {status}\r\nLavenderplank-Attempt-Id: {attempt}\r\n{more}")
    };
    let seal = "Lavenderplank-Server-Seal: 3e1b.07\r\n";
    let mut whole = BytesMut::new();
    match mode {
        ResponseMode::Serve | ResponseMode::Duplicate | ResponseMode::Hang => {
            let head = head("200 OK", &format!("{seal}Content-Length: {length}\r\n\r\n"));
            let times = if mode == ResponseMode::Duplicate { 2 } else { 1 };
            for _ in 0..times {
                whole.extend_from_slice(head.as_bytes());
                whole.extend_from_slice(&body);
            }
        }
        ResponseMode::Fail => {
            let more = format!("{seal}Content-Length: 0\r\n\r\n");
            whole.extend_from_slice(head("500 Internal Server Error", &more).as_bytes());
        }
        ResponseMode::Reset => return Ok(false),
        ResponseMode::Shed => {
            let more = "Lavenderplank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            whole.extend_from_slice(head("503 Service Unavailable", more).as_bytes());
        }
        ResponseMode::WrongTarget => {
            let more = format!("Lavenderplank-Instance-Id: not-{id}\r\nContent-Length: 0\r\n\r\n");
            whole.extend_from_slice(head("421 Misdirected Request", &more).as_bytes());
        }
        ResponseMode::Truncate => {
            let more = format!("{seal}Content-Length: {length}\r\n\r\n");
            whole.extend_from_slice(head("200 OK", &more).as_bytes());
            whole.extend_from_slice(&body[..length / 2]);
        }
        ResponseMode::Unsigned => {
            let more = format!("Content-Length: {length}\r\n\r\n");
            whole.extend_from_slice(head("200 OK", &more).as_bytes());
            whole.extend_from_slice(&body);
        }
        ResponseMode::NoLength => {
            let more = format!("{seal}Connection: close\r\n\r\n");
            whole.extend_from_slice(head("200 OK", &more).as_bytes());
            whole.extend_from_slice(&body);
        }
    }
    stream.write_all(&whole).await?;
    Ok(!matches!(mode, ResponseMode::Truncate | ResponseMode::NoLength))
}

/// Works for a while; false when the other side left meanwhile.
async fn rested(stream: &mut TcpStream, work: Duration) -> bool {
    let mut byte = [0];
    tokio::select! {
        read = stream.peek(&mut byte) => read.is_ok_and(|size| 0 < size),
        () = tokio::time::sleep(work) => true,
    }
}
