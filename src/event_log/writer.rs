//! The log of one host: makes lines and hands them to a thread that writes them.

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

/// Time between two writes: few, since each costs a system call, and short enough that a killed
/// process loses little.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two lines about dropped ones.
const DROPPED_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time that the end of the process waits for the last lines.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Most bytes of one write: a pipe takes that many whole (`PIPE_BUF`), so that lines of processes
/// that share one do not mix.
const MAX_WRITE_BYTES: usize = 4_096;

/// Stack of the writing thread, in bytes: it only copies.
const STACK_BYTES: usize = 64 * 1024;

/// Bytes of most lines.
const TYPICAL_LINE_BYTES: usize = 320;

/// Result of opening a log.
pub type Result<T> = std::result::Result<T, LogWriterError>;

/// The writing thread could not be started.
#[derive(Debug, thiserror::Error)]
#[error("the log's thread could not be started: {0}")]
pub struct LogWriterError(#[from] io::Error);

/// A running log; its last lines are written when it is closed or dropped, if the output takes them.
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
    /// A log of `host` that writes to `out`.
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
        let started = clock.now();
        let formatter = Arc::new(LineFormatter { clock, host, started });
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
    /// Writes the last lines, and no more.
    ///
    /// The `log` macros keep what they write to until the process has ended, so that it is never
    /// dropped: without this the line of a planned stop was lost.
    pub fn close(&self) {
        let thread = self.thread.lock().expect("no holder of this lock panics").take();
        let Some(thread) = thread else { return };
        self.shared.closing.store(true, Ordering::Relaxed);
        thread.thread().unpark();
        let last = std::time::Instant::now() + CLOSE_TIMEOUT;
        // An output that nobody reads must not hold up the end of the process.
        while !self.shared.finished.load(Ordering::Relaxed) && std::time::Instant::now() < last {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Makes lines.
struct LineFormatter {
    clock: Arc<dyn Clock>,
    host: HostId,
    started: Moment,
}

impl LineFormatter {
    fn format_line(&self, request: RequestKey, event: Event, now: Moment) -> Vec<u8> {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = Line {
            at_ms: wall.as_millis() as u64,
            up_ms: now.saturating_sub(self.started).as_millis() as u64,
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

/// Writes until the log ends. What can't be written is lost, and counted with what was dropped.
fn write_until_closed(shared: &Shared, formatter: &LineFormatter, mut out: impl Write) {
    let mut reported = formatter.clock.now();
    let mut unwritten = 0;
    loop {
        std::thread::park_timeout(FLUSH_INTERVAL);
        let closing = shared.closing.load(Ordering::Relaxed);
        let now = formatter.clock.now();
        if closing || DROPPED_REPORT_INTERVAL <= now.saturating_sub(reported) {
            reported = now;
            report_dropped(shared, formatter, std::mem::take(&mut unwritten));
        }
        let text = shared.queue().take_lines();
        for part in chunk_lines(&text) {
            if out.write_all(part).and_then(|()| out.flush()).is_err() {
                let lines = part.iter().filter(|byte| **byte == b'\n').count() as u64;
                unwritten += lines;
                shared.dropped.fetch_add(lines, Ordering::Relaxed);
            }
        }
        if closing {
            return shared.finished.store(true, Ordering::Relaxed);
        }
    }
}

/// Parts of whole lines, each as large as one write may be; a longer line is a part of its own.
fn chunk_lines(text: &[u8]) -> Vec<&[u8]> {
    let mut parts = Vec::new();
    let mut begin = 0;
    let mut end = 0;
    for line in text.split_inclusive(|byte| *byte == b'\n') {
        if begin < end && MAX_WRITE_BYTES < end + line.len() - begin {
            parts.push(&text[begin..end]);
            begin = end;
        }
        end += line.len();
    }
    if begin < end {
        parts.push(&text[begin..end]);
    }
    parts
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
