//! Follows the responses in the bytes of a connection.

use super::{
    BrokenResponse, Result,
    chunks::ChunkReader,
    head::{self, Framing},
    unstated_body::UnstatedBody,
};

/// Most bytes of a head.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Where the responses on a connection begin and end.
#[derive(Debug)]
pub(super) struct ResponseParser {
    /// The head as far as it was read.
    head: Vec<u8>,
    state: State,
}

#[derive(Debug)]
enum State {
    Head,
    /// Bytes that are left of the body.
    Length(u64),
    Chunked(ChunkReader),
    Unstated(UnstatedBody),
}

impl ResponseParser {
    pub fn new() -> Self {
        Self { head: Vec::new(), state: State::Head }
    }

    /// Follows the bytes of one read up to the end of a response, and returns how many that are; `None`
    /// if no response ends. `answers_head` tells whether the request was a `HEAD`.
    pub fn read(&mut self, bytes: &[u8], answers_head: bool) -> Result<Option<usize>> {
        let mut at = 0;
        while at < bytes.len() {
            let rest = &bytes[at..];
            at += match &mut self.state {
                State::Head => self.read_head(rest, answers_head)?,
                State::Length(left) => {
                    let size = rest.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    *left -= size as u64;
                    size
                }
                State::Chunked(chunks) => chunks.read(rest)?,
                State::Unstated(body) => {
                    body.read(rest)?;
                    rest.len()
                }
            };
            if self.ends_response() {
                return Ok(Some(at));
            }
        }
        Ok(None)
    }

    /// The connection has ended.
    pub fn end(&self) -> Result<()> {
        match &self.state {
            State::Unstated(body) => body.end(),
            // The HTTP library reports other responses that end early.
            _ => Ok(()),
        }
    }

    /// Returns how many bytes belong to the head.
    fn read_head(&mut self, bytes: &[u8], answers_head: bool) -> Result<usize> {
        let before = self.head.len();
        let parsed = if before == 0 {
            head::parse(bytes, answers_head)?
        } else {
            self.head.extend_from_slice(bytes);
            match has_empty_line(&self.head[before.saturating_sub(3)..]) {
                true => head::parse(&self.head, answers_head)?,
                false => None,
            }
        };
        let Some((size, framing)) = parsed else {
            if before == 0 {
                self.head.extend_from_slice(bytes);
            }
            return match MAX_HEAD_BYTES < self.head.len() {
                true => Err(BrokenResponse::HeadTooLarge),
                false => Ok(bytes.len()),
            };
        };
        self.head.clear();
        self.state = match framing {
            Framing::Interim => State::Head,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::Chunked(ChunkReader::new()),
            Framing::Unstated => State::Unstated(UnstatedBody::new()),
        };
        Ok(size - before)
    }

    /// Whether a response ends here. The next bytes are those of another head then.
    fn ends_response(&mut self) -> bool {
        let ends = match &self.state {
            State::Length(left) => *left == 0,
            State::Chunked(chunks) => chunks.is_complete(),
            State::Head | State::Unstated(_) => false,
        };
        if ends {
            self.state = State::Head;
        }
        ends
    }
}

/// Whether a head may end in these bytes.
fn has_empty_line(bytes: &[u8]) -> bool {
    let ends_with = |end: &[u8]| bytes.windows(end.len()).any(|window| window == end);
    ends_with(b"\n\r\n") || ends_with(b"\n\n")
}
