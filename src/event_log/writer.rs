//! The event log of a host: formats lines and queues them for a writer thread.

use std::{
    io::{self, Write},
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::{SystemTime, UNIX_EPOCH},
};

use super::{
    Event, EventKind, EventLogSettings, EventSink, Line, LineQueue, PendingLine, RequestKey,
    kind::Priority,
};
use crate::prelude::*;

/// Time between writes. Each write costs a system call; a longer interval loses more lines when the
/// process is killed.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Time between reports of dropped lines.
const DROPPED_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time that closing the log waits for the last lines to be written.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum size of a write. A pipe writes up to `PIPE_BUF` bytes atomically, so lines of processes
/// that share a pipe do not interleave.
const MAX_WRITE_BYTES: usize = 4_096;

/// Stack size of the writer thread, which only copies lines.
const STACK_BYTES: usize = 64 * 1024;

/// Initial buffer capacity; most lines fit.
const TYPICAL_LINE_BYTES: usize = 320;

/// Result of starting a log.
pub type Result<T> = std::result::Result<T, LogWriterError>;

/// The writer thread could not be started.
#[derive(Debug, thiserror::Error)]
#[error("starting the log writer thread failed: {0}")]
pub struct LogWriterError(#[from] io::Error);

/// An event log with a running writer thread. Closing or dropping it writes the queued lines,
/// unless the output is blocked.
pub struct EventLog {
    shared: Arc<Shared>,
    formatter: Arc<LineFormatter>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

struct Shared {
    dropped: AtomicU64,
    closing: AtomicBool,
    queue: Mutex<LineQueue>,
    finished: AtomicBool,
}

impl Shared {
    fn queue(&self) -> MutexGuard<'_, LineQueue> {
        self.queue.lock().expect("no holder of this lock panics")
    }
}

impl EventLog {
    /// Starts the log of `host`, which writes to `out`.
    pub fn start(
        host: HostId,
        settings: EventLogSettings,
        clock: Arc<dyn Clock>,
        out: impl Write + Send + 'static,
    ) -> Result<Self> {
        let shared = Arc::new(Shared {
            dropped: AtomicU64::new(0),
            closing: AtomicBool::new(false),
            queue: Mutex::new(LineQueue::new(settings)),
            finished: AtomicBool::new(false),
        });
        let started_at = clock.now();
        let formatter = Arc::new(LineFormatter { clock, host, started_at });
        let thread = std::thread::Builder::new().name("log".into()).stack_size(STACK_BYTES);
        let (thread_shared, thread_formatter) = (shared.clone(), formatter.clone());
        let thread =
            thread.spawn(move || write_until_closed(&thread_shared, &thread_formatter, out))?;
        Ok(Self { shared, formatter, thread: Mutex::new(Some(thread)) })
    }
}

impl EventSink for EventLog {
    fn record(&self, request: Option<&RequestKey>, event: Event) {
        let (kind, rate_key, priority) = (event.kind(), event.rate_key(), event.priority());
        let now = self.formatter.clock.now();
        if !self.shared.queue().admit(kind, rate_key, now) {
            return;
        }
        let text = self.formatter.format_line(request.cloned().unwrap_or_default(), event, now);
        self.shared.queue().push(PendingLine { rate_key, kind, text, priority });
    }

    fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }
}

impl Drop for EventLog {
    fn drop(&mut self) {
        self.close();
    }
}

impl EventLog {
    /// Writes the queued lines and stops the writer thread.
    ///
    /// The logger behind the `log` macros holds a reference to the log until the process exits, so
    /// the log is never dropped; without an explicit close the lines of a graceful shutdown are
    /// lost.
    pub fn close(&self) {
        let thread = self.thread.lock().expect("no holder of this lock panics").take();
        let Some(thread) = thread else { return };
        self.shared.closing.store(true, Ordering::Relaxed);
        thread.thread().unpark();
        let deadline = std::time::Instant::now() + CLOSE_TIMEOUT;
        // A blocked output must not delay the exit of the process.
        while !self.shared.finished.load(Ordering::Relaxed) && std::time::Instant::now() < deadline
        {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Formats lines.
struct LineFormatter {
    clock: Arc<dyn Clock>,
    host: HostId,
    started_at: Moment,
}

impl LineFormatter {
    fn format_line(&self, request: RequestKey, event: Event, now: Moment) -> Vec<u8> {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = Line {
            at_ms: wall.as_millis() as u64,
            up_ms: now.saturating_sub(self.started_at).as_millis() as u64,
            host: self.host.clone(),
            request,
            event,
        };
        let mut text = Vec::with_capacity(TYPICAL_LINE_BYTES);
        serde_json::to_writer(&mut text, &line).expect("a line is plain text and numbers");
        text.push(b'\n');
        text
    }
}

/// Writes lines until the log is closed. Lines that can't be written are counted as dropped.
fn write_until_closed(shared: &Shared, formatter: &LineFormatter, mut out: impl Write) {
    let mut reported_at = formatter.clock.now();
    let mut unwritten = 0;
    loop {
        std::thread::park_timeout(FLUSH_INTERVAL);
        let closing = shared.closing.load(Ordering::Relaxed);
        let now = formatter.clock.now();
        if closing || DROPPED_REPORT_INTERVAL <= now.saturating_sub(reported_at) {
            reported_at = now;
            report_dropped(shared, formatter, std::mem::take(&mut unwritten));
        }
        let text = shared.queue().take_lines();
        for chunk in chunk_lines(&text) {
            if out.write_all(chunk).and_then(|()| out.flush()).is_err() {
                let lines = chunk.iter().filter(|byte| **byte == b'\n').count() as u64;
                unwritten += lines;
                shared.dropped.fetch_add(lines, Ordering::Relaxed);
            }
        }
        if closing {
            return shared.finished.store(true, Ordering::Relaxed);
        }
    }
}

/// Splits `text` into chunks of whole lines of at most `MAX_WRITE_BYTES`; a longer line forms its
/// own chunk.
fn chunk_lines(text: &[u8]) -> Vec<&[u8]> {
    let mut chunks = Vec::new();
    let mut start = 0;
    let mut end = 0;
    for line in text.split_inclusive(|byte| *byte == b'\n') {
        if start < end && MAX_WRITE_BYTES < end + line.len() - start {
            chunks.push(&text[start..end]);
            start = end;
        }
        end += line.len();
    }
    if start < end {
        chunks.push(&text[start..end]);
    }
    chunks
}

fn report_dropped(shared: &Shared, formatter: &LineFormatter, unwritten: u64) {
    let dropped = shared.queue().take_dropped();
    let mut counts: BTreeMap<Arc<str>, u64> =
        dropped.iter().map(|(kind, count)| (kind.name().into(), *count)).collect();
    shared.dropped.fetch_add(dropped.values().sum(), Ordering::Relaxed);
    if 0 < unwritten {
        counts.insert("unwritten".into(), unwritten);
    }
    if counts.is_empty() {
        return;
    }
    let event = Event::LinesDropped { counts };
    let text = formatter.format_line(RequestKey::default(), event, formatter.clock.now());
    let kind = EventKind::LinesDropped;
    shared.queue().push(PendingLine {
        rate_key: kind.name(),
        kind,
        text,
        priority: Priority::High,
    });
}
