//! Heads of responses: which ones are relied on, and how long a body they state.

use httparse::{EMPTY_HEADER, Header, Status};

use super::{BrokenResponse, Result};

/// Most fields of a head. The HTTP library reads no more.
const MAX_FIELDS: usize = 100;

/// Final responses have a status from 200 to this one.
const LAST_STATUS: u16 = 599;

/// What follows a head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Framing {
    /// The head of another response to the same request.
    Interim,
    Length(u64),
    Chunked,
    /// The end of the connection ends the body.
    Unstated,
}

/// Parses the head at the start of `bytes`. Returns its size and what follows it; `None` if the head
/// is incomplete.
pub(super) fn parse(bytes: &[u8], answers_head: bool) -> Result<Option<(usize, Framing)>> {
    let mut fields = [EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Response::new(&mut fields);
    let Status::Complete(size) = head.parse(bytes).map_err(BrokenResponse::Head)? else {
        return Ok(None);
    };
    let (status, version) = (head.code.unwrap_or_default(), head.version.unwrap_or_default());
    let stated = StatedBody::of(head.headers)?;
    Ok(Some((size, framing(status, version, stated, answers_head)?)))
}

/// Whether lines of a head state how long its body is.
pub(super) fn state_body(lines: &[u8]) -> bool {
    let mut fields = [EMPTY_HEADER; MAX_FIELDS];
    match httparse::parse_headers(lines, &mut fields) {
        Ok(Status::Complete((_, fields))) => {
            fields.iter().any(|field| is(field, "content-length") || is(field, "transfer-encoding"))
        }
        _ => false,
    }
}

/// What the fields of a head state about its body.
#[derive(Clone, Copy, Debug, Default)]
struct StatedBody {
    is_chunked: bool,
    length: Option<u64>,
}

impl StatedBody {
    fn of(fields: &[Header<'_>]) -> Result<Self> {
        let mut stated = Self::default();
        for field in fields {
            if is(field, "content-length") {
                // Several equal lengths are allowed, but recipients disagree on how to read them.
                let length = parse_length(field.value).filter(|_| stated.length.is_none());
                stated.length = Some(length.ok_or(BrokenResponse::Length)?);
            }
            if is(field, "transfer-encoding") {
                if stated.is_chunked || !field.value.eq_ignore_ascii_case(b"chunked") {
                    return Err(BrokenResponse::TransferCoding);
                }
                stated.is_chunked = true;
            }
        }
        match stated {
            Self { is_chunked: true, length: Some(_) } => Err(BrokenResponse::TransferCoding),
            stated => Ok(stated),
        }
    }

    fn has_body(self) -> bool {
        self.is_chunked || self.length.is_some_and(|length| 0 < length)
    }
}

fn framing(status: u16, version: u8, stated: StatedBody, answers_head: bool) -> Result<Framing> {
    if stated.is_chunked && version == 0 {
        return Err(BrokenResponse::TransferCoding);
    }
    match status {
        // No request asks for another protocol.
        101 => Err(BrokenResponse::Status(status)),
        100..=199 | 204 | 205 if stated.has_body() && !answers_head => {
            Err(BrokenResponse::ForbiddenBody)
        }
        100..=199 => Ok(Framing::Interim),
        200..=LAST_STATUS => Ok(match (status, stated) {
            _ if answers_head => Framing::Length(0),
            (204 | 304, _) => Framing::Length(0),
            (_, StatedBody { is_chunked: true, .. }) => Framing::Chunked,
            (_, StatedBody { length: Some(length), .. }) => Framing::Length(length),
            _ => Framing::Unstated,
        }),
        _ => Err(BrokenResponse::Status(status)),
    }
}

fn is(field: &Header<'_>, name: &str) -> bool {
    field.name.eq_ignore_ascii_case(name)
}

/// Reads a length of digits alone; number parsers also take a sign.
fn parse_length(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?;
    text.bytes().all(|byte| byte.is_ascii_digit()).then_some(text)?.parse().ok()
}
