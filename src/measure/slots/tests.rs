mod counts;
mod damaged_logs;

use super::*;
use crate::{
    event_log::{AttemptEnd, AttemptReason, End, Event, Line, RequestKey},
    prelude::*,
};

/// Wall clock at the start of the hosts, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Everything in the logs.
const ALL: std::ops::Range<Moment> = Moment::ZERO..Moment::MAX;

/// The log of one host, written as the host writes it.
#[derive(Clone)]
struct HostLog {
    /// How much the wall clock is ahead.
    ahead_ms: u64,
    host: &'static str,
    lines: Vec<String>,
}

impl HostLog {
    fn new(host: &'static str) -> Self {
        Self { ahead_ms: 0, host, lines: Vec::new() }
    }

    fn add(&mut self, up_ms: u64, own: Option<u64>, event: Event) -> &mut Self {
        let line = Line {
            at_ms: EPOCH_MS + up_ms + self.ahead_ms,
            up_ms,
            host: self.host.into(),
            request: RequestKey { attempt: None, own },
            event,
        };
        self.lines.push(serde_json::to_string(&line).expect("it has a form"));
        self
    }

    /// The host sends a request and believes that `load` others are at the target.
    fn send(&mut self, up_ms: u64, own: u64, target: &str, load: u32) -> &mut Self {
        self.add(up_ms, Some(own), sent(target, load, 100))
    }

    fn end(&mut self, up_ms: u64, own: u64, target: &str, end: AttemptEnd) -> &mut Self {
        self.add(up_ms, Some(own), ended(target, end))
    }

    fn done(&mut self, up_ms: u64, own: u64, target: &str, took_ms: u64) -> &mut Self {
        self.end(up_ms, own, target, AttemptEnd::Answered).add(
            up_ms,
            Some(own),
            answered(Some(target), took_ms),
        )
    }
}

/// A target `a1` is in the region `a`; each has two slots.
fn sent(target: &str, load: u32, knows_percent: u8) -> Event {
    Event::Sent {
        attempt: 1,
        cold: false,
        declaration: 3,
        expected_ms: 120,
        knows_percent,
        left_ms: 3_000,
        load,
        reason: AttemptReason::First,
        region: target[..1].into(),
        service: "desk".into(),
        slots: 2,
        target: target.into(),
        view_age_ms: 40,
        zone: "a-1".into(),
    }
}

fn ended(target: &str, end: AttemptEnd) -> Event {
    Event::AttemptEnded {
        connect_ms: Some(5),
        connection: None,
        dispatch_ms: None,
        left_ms: 1_500,
        end,
        first_byte_ms: None,
        detail: "200".into(),
        response_to: None,
        service: "desk".into(),
        target: target.into(),
        took_ms: 30,
    }
}

fn answered(target: Option<&str>, took_ms: u64) -> Event {
    let end = match target {
        Some(_) if took_ms <= 400 => End::Served,
        Some(_) => End::Late,
        None => End::Refused,
    };
    Event::Answered {
        error: target.is_none().then_some(ErrorKind::NoSlots),
        end,
        objective_ms: 400,
        ran: if target.is_some() { Ran::Yes } else { Ran::No },
        retry_after_ms: None,
        sent: 1,
        service: "desk".into(),
        status: 200,
        target: target.map(Into::into),
        took_ms,
    }
}

fn not_placed(region: &str) -> Event {
    Event::NotPlaced {
        candidates: 4,
        cold: 1,
        crowded: Some("a1".into()),
        declaration: 3,
        error: ErrorKind::NoSlots,
        expected_ms: Some(1_300),
        free_elsewhere: 1,
        limit_ms: 900,
        rationed: false,
        region: region.into(),
        room_in_ms: Some(1_300),
        service: "desk".into(),
        shut: 2,
        view_age_ms: 80,
        work_ms: 250,
    }
}

fn read<'a>(lines: impl IntoIterator<Item = &'a str>) -> Logs {
    let mut logs = Logs::default();
    for line in lines {
        logs.add(Some(line.as_bytes()));
    }
    logs
}

fn report(hosts: &[&HostLog]) -> Report {
    let lines = hosts.iter().flat_map(|host| host.lines.iter().map(String::as_str));
    Report::new(read(lines), &ALL)
}

fn desk(report: &Report) -> &ServiceFigures {
    &report.services["desk"]
}

fn counts(report: &Report) -> Counts {
    desk(report).total.counts
}

/// Two hosts fill `a1`, and each sees only its own request; then both send more to it, while `a2`
/// has a free slot until both of its slots are busy too.
fn crowd() -> [HostLog; 2] {
    let (mut x, mut y) = (HostLog::new("x"), HostLog::new("y"));
    x.send(0, 1, "a1", 0).send(100, 2, "a2", 0).send(300, 3, "a1", 1).send(900, 4, "a1", 4);
    y.send(200, 1, "a1", 0).send(400, 2, "a2", 1).send(500, 3, "a1", 3);
    x.done(1_000, 1, "a1", 1_000).done(1_000, 2, "a2", 900).done(1_000, 3, "a1", 700);
    x.done(1_000, 4, "a1", 100);
    y.done(1_000, 1, "a1", 800).done(1_000, 2, "a2", 600).done(1_000, 3, "a1", 500);
    [x, y]
}
