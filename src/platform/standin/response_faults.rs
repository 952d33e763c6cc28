//! Faults that befall a target's responses, drawn for each of them, whatever its kind.

use std::ops::Range;

use bytes::Bytes;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::{ResponseMode, Rewrite};

/// Statuses with which a target refuses a request.
const REFUSALS: [u16; 4] = [503, 429, 421, 400];

/// Bytes that are not a response.
const SPOILED: &[u8] = b"\x00\xffnot a response\r\n\r\n";

/// Start of the line with the id of the request that a response belongs to.
const ID_LINE: &[u8] = b"Lavenderplank-Attempt-Id:";

/// Shares of responses that a fault befalls; they add up to 1 at most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseFaults {
    /// Sent again right behind the response.
    pub copied_at_once: f64,
    /// Sent again where the response to the next request on the connection is expected.
    pub copied_late: f64,
    /// Breaks off after any byte, and the connection closes.
    pub cut: f64,
    /// Comes after an informational response.
    pub hinted: f64,
    /// A beginning of its head is sent again where the response to the next request is expected; the
    /// connection stays open.
    pub joined: f64,
    /// Its head states another length, coding or status than that of the response.
    pub misframed: f64,
    /// The connection closes without a response.
    pub reset: f64,
    /// Comes after bytes that are not a response.
    pub spoiled: f64,
    /// How often a late copy is sent.
    pub late_copies: usize,
    /// Share of late copies that do not name the request.
    pub without_id: f64,
}

/// Shares of requests that a target does not serve.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rejections {
    /// Executed, and answered with status 500.
    pub failed: f64,
    /// Refused with a status drawn from those that targets use.
    pub refused: f64,
}

/// Draws how a target treats each request and its response.
#[derive(Debug)]
pub struct FaultPlan {
    pub faults: ResponseFaults,
    pub rejections: Rejections,
    rng: ChaCha8Rng,
}

/// What is sent of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Sending {
    /// The connection closes behind it.
    pub closes: bool,
    /// Sent where the response to the next request is expected.
    pub late: Vec<Bytes>,
    pub now: Bytes,
}

impl Sending {
    /// The response as it is.
    pub fn whole(response: Bytes) -> Self {
        Self { closes: false, late: Vec::new(), now: response }
    }
}

impl FaultPlan {
    /// Creates a plan that draws the same from the same seed.
    pub fn new(faults: ResponseFaults, rejections: Rejections, seed: u64) -> Self {
        Self { faults, rejections, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    pub(super) fn draw_mode(&mut self) -> ResponseMode {
        let Rejections { failed, refused } = self.rejections;
        let drawn: f64 = self.rng.random();
        if drawn < refused {
            let status = REFUSALS.choose(&mut self.rng).copied();
            return ResponseMode::Refuse(status.unwrap_or(REFUSALS[0]));
        }
        if drawn < refused + failed { ResponseMode::Fail } else { ResponseMode::Serve }
    }

    pub(super) fn spoil(&mut self, response: Bytes) -> Sending {
        let faults = self.faults;
        let response = match self.rng.random_bool(0.5) {
            true => with_id_last(&response),
            false => response,
        };
        let mut drawn: f64 = self.rng.random();
        let mut falls_to = |share: f64| {
            let falls = (0.0..share).contains(&drawn);
            drawn -= share;
            falls
        };
        let mut sending = Sending::whole(response.clone());
        if falls_to(faults.copied_at_once) {
            sending.now = [&*response, &*response].concat().into();
        } else if falls_to(faults.copied_late) {
            let copy = match self.rng.random_bool(faults.without_id) {
                true => without_id(&response),
                false => response,
            };
            sending.late = vec![copy; faults.late_copies];
        } else if falls_to(faults.cut) {
            sending.now = self.beginning(&response);
            sending.closes = true;
        } else if falls_to(faults.hinted) {
            sending.now = [b"HTTP/1.1 103 Early Hints\r\n\r\n", &*response].concat().into();
        } else if falls_to(faults.joined) {
            let head = position(&response, b"\r\n\r\n").unwrap_or(response.len());
            sending.late = vec![self.beginning(&response.slice(..head))];
        } else if falls_to(faults.misframed) {
            sending.now = self.misframed(&response);
            sending.closes = self.rng.random_bool(0.5);
        } else if falls_to(faults.reset) {
            sending = Sending { closes: true, late: Vec::new(), now: Bytes::new() };
        } else if falls_to(faults.spoiled) {
            sending.now = [SPOILED, &*response].concat().into();
        }
        sending
    }

    /// The response with a head that is wrong about its body.
    fn misframed(&mut self, response: &[u8]) -> Bytes {
        let length = stated_length(response);
        let stated = format!("Content-Length: {length}");
        let lost_coding = format!("Transfer-Encodin: chunked\r\n\r\n{length:x}\r\n");
        let rewrites = [
            Rewrite::new(&stated, format!("Content-Length: {}", length.saturating_sub(1))),
            Rewrite::new(&stated, format!("Content-Length: {}", length.saturating_sub(5))),
            Rewrite::new(&stated, format!("Content-Length: {}", length / 10)),
            Rewrite::new(&stated, "Content-Length: 0"),
            Rewrite::new(&stated, format!("{stated}, {length}")),
            Rewrite::new(&stated, "Transfer-Encoding: chunkes"),
            Rewrite::new(format!("{stated}\r\n\r\n"), lost_coding).with_end("\r\n0\r\n\r\n"),
            Rewrite::new(" 200 OK", " 204 No Content"),
            Rewrite::new(" 200 OK", " 101 Switching Protocols"),
            Rewrite::new(" 200 OK", " 304 Not Modified"),
            Rewrite::new(" 200 OK", " 700 OK"),
            Rewrite::new(" 200 OK", " 000 OK"),
        ];
        rewrites.choose(&mut self.rng).map_or(Bytes::new(), |rewrite| rewrite.apply(response))
    }

    /// The response without its last bytes.
    fn beginning(&mut self, response: &Bytes) -> Bytes {
        response.slice(..self.rng.random_range(0..response.len().max(1)))
    }
}

/// The response without the line that names its request.
fn without_id(response: &Bytes) -> Bytes {
    let Some(line) = id_line(response) else { return response.clone() };
    [&response[..line.start], &response[line.end..]].concat().into()
}

/// The response with the line that names its request as the last of its head.
fn with_id_last(response: &Bytes) -> Bytes {
    let (Some(line), Some(end)) = (id_line(response), position(response, b"\r\n\r\n")) else {
        return response.clone();
    };
    let end = end + 2;
    let parts =
        [&response[..line.start], &response[line.end..end], &response[line], &response[end..]];
    parts.concat().into()
}

/// The length that the head of the response states.
fn stated_length(response: &[u8]) -> usize {
    const FIELD: &[u8] = b"Content-Length: ";
    let Some(start) = position(response, FIELD) else { return 0 };
    let digits = response[start + FIELD.len()..].iter().take_while(|it| it.is_ascii_digit());
    digits.fold(0, |length, digit| length * 10 + usize::from(digit - b'0'))
}

fn id_line(response: &[u8]) -> Option<Range<usize>> {
    let start = position(response, ID_LINE)?;
    let length = position(&response[start..], b"\r\n")?;
    Some(start..start + length + 2)
}

fn position(bytes: &[u8], of: &[u8]) -> Option<usize> {
    bytes.windows(of.len()).position(|it| it == of)
}
