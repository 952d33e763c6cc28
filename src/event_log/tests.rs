use std::{
    io::{self, Write},
    sync::{
        Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    time::Instant,
};

use strum::IntoEnumIterator;

use super::{kind::Priority, *};
use crate::{base::BootClock, prelude::*};

fn pending(kind: EventKind, priority: Priority, text: &str) -> PendingLine {
    PendingLine { rate_key: kind.name(), kind, text: text.as_bytes().to_vec(), priority }
}

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

/// A host refuses a thousand requests per second. Only the first hundred lines of each second and
/// error are accepted and the others counted; a rare error is not hidden by a frequent one.
#[test]
fn rate_is_limited_by_kind_and_rate_key() {
    let settings = EventLogSettings { lines_per_second: 100, queue_bytes: 1 << 20 };
    let mut queue = LineQueue::new(settings);
    let mut admitted = 0;
    for at in 0..3_000 {
        let now = secs(10.0 + f64::from(at) / 1_000.0);
        admitted += u32::from(queue.admit(EventKind::Refused, "no-slots", now));
    }
    assert_eq!(admitted, 300);
    assert!(queue.admit(EventKind::Refused, "no-target", secs(12.9)));
    assert_eq!(queue.take_dropped(), [(EventKind::Refused, 2_700)].into());
    assert!(queue.take_dropped().is_empty(), "each dropped line is reported once");
}

/// The output is not read and the queue is full. Lines about failures displace steps of successful
/// requests, the oldest failures stay, and the queue does not exceed its size limit.
#[test]
fn a_full_queue_keeps_failures() {
    let settings = EventLogSettings { lines_per_second: 1_000, queue_bytes: 100 };
    let mut queue = LineQueue::new(settings);
    for _ in 0..10 {
        queue.push(pending(EventKind::Sent, Priority::Low, "sent.....\n"));
    }
    queue.push(pending(EventKind::Taken, Priority::Low, "taken....\n"));
    for at in 0..12 {
        queue.push(pending(EventKind::Refused, Priority::High, &format!("refused {at}\n")));
    }
    let text = String::from_utf8(queue.take_lines()).expect("it is text");
    assert!(text.len() <= 100 && !text.contains("sent"), "{text}");
    assert!(text.starts_with("refused 0\nrefused 1\n"), "{text}");
    let dropped = queue.take_dropped();
    assert_eq!(dropped[&EventKind::Sent], 10);
    assert_eq!(dropped[&EventKind::Taken], 1);
    assert_eq!(dropped[&EventKind::Refused], 12 - text.lines().count() as u64);
}

/// An output that blocks until a sender of `open` signals or is dropped.
struct BlockedOutput {
    open: Mutex<Receiver<()>>,
    out: Sender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.open.lock().expect("one reader").recv();
        let _ = self.out.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Standard output is a pipe that is not read. Recording an event does not block, memory is
/// bounded, and once the pipe is read again the log reports the dropped lines.
#[test]
fn blocked_output_does_not_block_recording() {
    let (unblock, open) = channel();
    let (out, written) = channel();
    let blocked = BlockedOutput { open: Mutex::new(open), out };
    let settings = EventLogSettings { lines_per_second: 1_000_000, queue_bytes: 8 * 1024 };
    let log =
        EventLog::start("h".into(), settings, Arc::new(BootClock), blocked).expect("a thread");
    let event = || Event::TargetTrusted { target: "t-1".into() };
    let since = Instant::now();
    for _ in 0..5_000 {
        log.record(None, event());
    }
    assert!(since.elapsed() < Duration::from_secs(2), "{:?}", since.elapsed());
    drop(unblock);
    let mut text = Vec::new();
    while let Ok(more) = written.recv_timeout(Duration::from_secs(3)) {
        text.extend(more);
        if String::from_utf8_lossy(&text).contains("lines-dropped") {
            break;
        }
    }
    let lines: Vec<Line> = String::from_utf8(text)
        .expect("it is text")
        .lines()
        .map(|line| serde_json::from_str(line).expect("a line can be read"))
        .collect();
    let whole = lines.iter().filter(|line| line.event == event()).count() as u64;
    let dropped: u64 = lines
        .iter()
        .filter_map(|line| match &line.event {
            Event::LinesDropped { counts } => counts.get("target-trusted"),
            _ => None,
        })
        .sum();
    assert!(0 < dropped, "{} lines", lines.len());
    assert!(whole + dropped <= 5_000 && log.dropped() == dropped, "{whole} + {dropped}");
}

/// Each write consists of whole lines and fits into one atomic write to a pipe.
#[test]
fn writes_consist_of_whole_lines() {
    let (unblock, open) = channel();
    let (out, written) = channel();
    drop(unblock);
    let blocked = BlockedOutput { open: Mutex::new(open), out };
    let settings = EventLogSettings { lines_per_second: 1_000, queue_bytes: 1 << 20 };
    let log =
        EventLog::start("h".into(), settings, Arc::new(BootClock), blocked).expect("a thread");
    for _ in 0..200 {
        log.record(None, Event::TargetTrusted { target: "t-1".into() });
    }
    drop(log);
    let writes: Vec<Vec<u8>> = written.try_iter().collect();
    assert!(1 < writes.len());
    assert!(writes.iter().all(|write| write.len() <= 4_096 && write.ends_with(b"\n")));
    let lines: usize = writes.iter().flatten().filter(|byte| **byte == b'\n').count();
    assert_eq!(lines, 200);
}

/// The output stays blocked: closing the log must not wait for it, or the process would not exit.
#[test]
fn close_does_not_wait_for_blocked_output() {
    let (unblock, open) = channel();
    let (out, _written) = channel();
    let blocked = BlockedOutput { open: Mutex::new(open), out };
    let settings = EventLogSettings::default();
    let log =
        EventLog::start("h".into(), settings, Arc::new(BootClock), blocked).expect("a thread");
    log.record(None, Event::WatchEnded);
    let since = Instant::now();
    drop(log);
    assert!(since.elapsed() < Duration::from_secs(2), "{:?}", since.elapsed());
    drop(unblock);
}

/// Dropping the log writes the queued lines.
#[test]
fn drop_writes_queued_lines() {
    let (unblock, open) = channel();
    let (out, written) = channel();
    drop(unblock);
    let blocked = BlockedOutput { open: Mutex::new(open), out };
    let settings = EventLogSettings::default();
    let log =
        EventLog::start("h".into(), settings, Arc::new(BootClock), blocked).expect("a thread");
    let key = RequestKey { attempt: Some("r-1".into()), own: Some(7) };
    log.record(Some(&key), Event::WatchEnded);
    drop(log);
    let text: Vec<u8> = written.try_iter().flatten().collect();
    let line: Line = serde_json::from_slice(&text).expect("one line");
    assert_eq!((&*line.host, line.request, line.event), ("h", key, Event::WatchEnded));
}

/// Each kind of event has a unique name and a description.
#[test]
fn kinds_are_named_and_documented() {
    let names: std::collections::BTreeSet<_> = EventKind::iter().map(EventKind::name).collect();
    assert_eq!(names.len(), EventKind::iter().count());
    assert!(EventKind::iter().all(|kind| !kind.doc().is_empty()));
}

/// The `event` field of a line is the name of the kind.
#[test]
fn a_line_names_its_kind() {
    let event = Event::StoreRegained { away_ms: 5, part: crate::entry::StorePart::Targets };
    let kind = event.kind().name();
    let value = serde_json::to_value(&event).expect("it has a form");
    assert_eq!(value["event"], kind);
}
