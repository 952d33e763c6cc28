//! The fields of a log line that the count needs.
//!
//! `event_log::Line` buffers each line to find its kind; reading only these fields takes a fraction
//! of that time. The tests write lines as `event_log` does, so a renamed field fails them.

use std::borrow::Cow;

use serde::de::{IntoDeserializer, value};

use super::names::{NameId, Names};
use crate::{
    event_log::{AttemptEnd, End},
    prelude::*,
};

/// A request was sent to a target.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Estimated probability that the target has the object cached, in percent.
    pub knows_percent: u8,
    /// Time until the caller's deadline.
    pub left: Duration,
    /// Requests at the target without this one, as the host estimated.
    pub load: u32,
    pub region: NameId,
    pub service: NameId,
    pub slots: u32,
    pub target: NameId,
}

/// A request was answered.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    pub end: End,
    pub objective: Duration,
    pub service: NameId,
    pub target: Option<NameId>,
    pub took: Duration,
}

/// An event of a request.
#[derive(Clone, Copy, Debug)]
pub enum RequestEvent {
    Sent(Sent),
    AttemptEnded { end: AttemptEnd, target: NameId },
    NotPlaced { region: NameId, service: NameId },
    Answered(Answered),
}

/// What a line reports.
#[derive(Clone, Copy, Debug)]
pub enum LineEvent {
    /// An event of the request with this number on its host.
    Request {
        own: u64,
        event: RequestEvent,
    },
    /// The host started.
    Started,
    /// The host dropped this number of lines.
    Dropped(u64),
    Other,
}

/// A log line.
#[derive(Clone, Copy, Debug)]
pub struct SlotLine {
    /// Wall clock, in milliseconds since the Unix epoch.
    pub at_ms: i64,
    pub event: LineEvent,
    pub host: NameId,
    /// Boot clock, in milliseconds since the host started.
    pub up_ms: i64,
}

/// Text that is borrowed from the line unless it has escapes.
#[derive(Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

/// The fields of all events together.
#[derive(Debug, Deserialize)]
struct Fields<'a> {
    at_ms: u64,
    counts: Option<BTreeMap<Arc<str>, u64>>,
    #[serde(borrow)]
    end: Option<Text<'a>>,
    #[serde(borrow)]
    event: Text<'a>,
    #[serde(borrow)]
    host: Text<'a>,
    #[serde(default)]
    knows_percent: u8,
    left_ms: Option<u64>,
    load: Option<u32>,
    objective_ms: Option<u64>,
    own: Option<u64>,
    #[serde(borrow)]
    region: Option<Text<'a>>,
    #[serde(borrow)]
    service: Option<Text<'a>>,
    slots: Option<u32>,
    #[serde(borrow)]
    target: Option<Text<'a>>,
    took_ms: Option<u64>,
    up_ms: u64,
}

/// Parses a line; `None` if it is no event or lacks a field that the count needs.
pub fn parse(json: &[u8], names: &mut Names) -> Option<SlotLine> {
    let fields: Fields = serde_json::from_slice(json).ok()?;
    let event = match &*fields.event.0 {
        "started" => LineEvent::Started,
        "lines-dropped" => LineEvent::Dropped(fields.counts.as_ref()?.values().sum()),
        "sent" | "attempt-ended" | "not-placed" | "answered" => {
            LineEvent::Request { own: fields.own?, event: fields.request_event(names)? }
        }
        _ => LineEvent::Other,
    };
    Some(SlotLine {
        at_ms: i64::try_from(fields.at_ms).ok()?,
        event,
        host: names.id(&fields.host.0),
        up_ms: i64::try_from(fields.up_ms).ok()?,
    })
}

impl Fields<'_> {
    fn request_event(&self, names: &mut Names) -> Option<RequestEvent> {
        let mut id = |text: &Option<Text>| text.as_ref().map(|text| names.id(&text.0));
        let event = match &*self.event.0 {
            "sent" => RequestEvent::Sent(Sent {
                knows_percent: self.knows_percent,
                left: Duration::from_millis(self.left_ms?),
                load: self.load?,
                region: id(&self.region)?,
                service: id(&self.service)?,
                slots: self.slots?,
                target: id(&self.target)?,
            }),
            "attempt-ended" => {
                RequestEvent::AttemptEnded { end: self.end()?, target: id(&self.target)? }
            }
            "not-placed" => {
                RequestEvent::NotPlaced { region: id(&self.region)?, service: id(&self.service)? }
            }
            _ => RequestEvent::Answered(Answered {
                end: self.end()?,
                objective: Duration::from_millis(self.objective_ms?),
                service: id(&self.service)?,
                target: id(&self.target),
                took: Duration::from_millis(self.took_ms?),
            }),
        };
        Some(event)
    }

    fn end<'de, T: Deserialize<'de>>(&'de self) -> Option<T> {
        let text: &str = &self.end.as_ref()?.0;
        let text: value::StrDeserializer<'de, value::Error> = text.into_deserializer();
        T::deserialize(text).ok()
    }
}
