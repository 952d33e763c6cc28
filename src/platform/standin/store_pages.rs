//! Pages in which the store's stand-in lists objects, and how it reads URLs.

use http::Uri;
use percent_encoding::percent_decode_str;
use reqwest::Url;
use serde_json::{Value, json};

use super::store::{Reply, reply, reply_text};

/// Sizes and order of the pages of a listing. The platform leaves both to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Paging {
    pub order: ListOrder,
    /// Number of objects on a page.
    pub size: usize,
}

/// Order in which objects are listed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListOrder {
    /// By creation. A page begins behind the object that the request names.
    Creation(UnknownName),
    /// By name. The object that the request names need not exist.
    Name,
}

/// What a request for the page behind an object that does not exist returns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownName {
    /// A page without objects, as if the listing were complete.
    EmptyPage,
    /// The first page.
    FirstPage,
    /// Status 400.
    Refusal,
}

/// An object, with what its place in a listing depends on.
pub(super) struct Listed<'a> {
    pub created: u64,
    pub name: &'a str,
    pub object: &'a Value,
}

/// A call to the store, decoded as a URL library does.
pub(super) struct CallTarget {
    pub kind: String,
    /// Empty if the call is for the whole kind.
    pub name: String,
    query: Vec<(String, String)>,
}

impl Default for Paging {
    fn default() -> Self {
        Self { order: ListOrder::Name, size: usize::MAX }
    }
}

impl Paging {
    /// The page behind the object `after`, or the first one.
    pub(super) fn page(
        self,
        mut listed: Vec<Listed<'_>>,
        after: Option<&str>,
        rev: u64,
        place: ListPlace,
    ) -> Reply {
        if let ListOrder::Creation(_) = self.order {
            listed.sort_by_key(|it| it.created);
        }
        let behind = after.map(|after| match self.order {
            ListOrder::Creation(_) => {
                listed.iter().position(|it| it.name == after).map(|at| at + 1)
            }
            ListOrder::Name => Some(listed.partition_point(|it| it.name <= after)),
        });
        let start = match (behind, self.order) {
            (None, _) => 0,
            (Some(Some(start)), _) => start,
            (Some(None), ListOrder::Creation(UnknownName::EmptyPage)) => listed.len(),
            (Some(None), ListOrder::Creation(UnknownName::Refusal)) => {
                return reply(400, &Value::Null);
            }
            (Some(None), _) => 0,
        };
        let items: Vec<Value> =
            listed.iter().skip(start).take(self.size).map(|it| it.object.clone()).collect();
        let has_more = start + items.len() < listed.len();
        place.reply("items", &items, &json!({ "hasMore": has_more, "currentRev": rev }))
    }
}

impl CallTarget {
    /// Decodes the URL of a call; `None` if it is none of the store's.
    pub(super) fn decode(uri: &Uri) -> Option<Self> {
        let url = Url::parse(&format!("http://store{uri}")).ok()?;
        let path = url.path().strip_prefix("/api/objects/")?;
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let decoded = |text| percent_decode_str(text).decode_utf8_lossy().into_owned();
        let query = url.query_pairs().map(|(name, value)| (name.into(), value.into()));
        Some(Self { kind: decoded(kind), name: decoded(name), query: query.collect() })
    }

    /// A field of the query.
    pub(super) fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(of, _)| of == name).map(|(_, value)| &**value)
    }

    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

/// What an object's value is sent as, though no JSON text may contain it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrokenValue {
    /// A text with a control byte that is not escaped.
    ControlByte,
    /// A text with an escape that ends early.
    HalfEscape,
    NotANumber,
    /// A text with bytes that are not UTF-8.
    NotUtf8,
}

impl BrokenValue {
    const ALL: [Self; 4] = [Self::ControlByte, Self::HalfEscape, Self::NotANumber, Self::NotUtf8];

    /// What stands for the value until it is sent.
    pub(super) fn placeholder(self) -> &'static str {
        match self {
            Self::ControlByte => "\u{e001}",
            Self::HalfEscape => "\u{e002}",
            Self::NotANumber => "\u{e003}",
            Self::NotUtf8 => "\u{e000}",
        }
    }

    fn bytes(self) -> &'static [u8] {
        match self {
            Self::ControlByte => b"\"\x01\"",
            Self::HalfEscape => b"\"\\u12\"",
            Self::NotANumber => b"NaN",
            Self::NotUtf8 => b"\"\xc3\x28\xff\"",
        }
    }
}

/// First character of what stands for an object until it is sent as the text behind it.
const RAW_MARK: char = '\u{e010}';

/// What stands for an object that is sent as it is, whether JSON or not.
pub(super) fn raw_object(text: &str) -> Value {
    let digits: String = text.bytes().map(|byte| format!("{byte:02x}")).collect();
    Value::String(format!("{RAW_MARK}{digits}"))
}

/// Replaces what stands for raw objects.
fn insert_raw_objects(text: &str) -> Vec<u8> {
    let mark = format!("\"{RAW_MARK}");
    let mut parts = text.split(&*mark);
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (digits, rest) = part.split_once('"').unwrap_or((part, ""));
        let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap_or_default();
        bytes.extend((0..digits.len()).step_by(2).map(byte));
        bytes.extend(rest.as_bytes());
    }
    bytes
}

/// Where a response has its list.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ListPlace {
    /// In front of the other fields.
    #[default]
    First,
    /// Behind the other fields.
    Last,
}

impl ListPlace {
    /// A response with a list of objects.
    pub(super) fn reply(self, list: &str, objects: &[Value], fields: &Value) -> Reply {
        let objects = Value::from(objects);
        let fields = fields.to_string();
        let fields = fields.trim_start_matches('{').trim_end_matches('}');
        let text = match self {
            Self::First => format!("{{\"{list}\":{objects},{fields}}}"),
            Self::Last => format!("{{{fields},\"{list}\":{objects}}}"),
        };
        reply_text(200, &text)
    }
}

/// The bytes of a response, with raw objects and broken values in place of what stands for them.
pub(super) fn encode(text: &str) -> Vec<u8> {
    let mut bytes = insert_raw_objects(text);
    for value in BrokenValue::ALL {
        let placeholder = format!("\"{}\"", value.placeholder());
        bytes = replace(&bytes, placeholder.as_bytes(), value.bytes());
    }
    bytes
}

fn replace(bytes: &[u8], from: &[u8], to: &[u8]) -> Vec<u8> {
    let mut replaced = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some(at) = rest.windows(from.len()).position(|window| window == from) {
        replaced.extend(&rest[..at]);
        replaced.extend(to);
        rest = &rest[at + from.len()..];
    }
    replaced.extend(rest);
    replaced
}
