//! Finds the end of a body in chunks.

use super::{BrokenResponse, Result};

/// Most bytes of the lines between the data of chunks, and of the trailers.
const MAX_LINE_BYTES: usize = 16 * 1024;

/// Reads chunks (RFC 9112, 7.1) in pieces of any size.
#[derive(Clone, Debug)]
pub(super) struct ChunkReader {
    /// Bytes of the current line, or of all trailers.
    line: Vec<u8>,
    /// Chunks with data that were read completely.
    pub whole_chunks: u64,
    step: Step,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// The line with the size of a chunk.
    Size,
    Data(u64),
    /// The line break behind the data.
    DataEnd,
    Trailers,
    End,
}

impl ChunkReader {
    pub fn new() -> Self {
        Self { line: Vec::new(), whole_chunks: 0, step: Step::Size }
    }

    /// Whether the last chunk and the trailers were read.
    pub fn is_complete(&self) -> bool {
        self.step == Step::End
    }

    /// Reads on and returns how many of the bytes belong to the body.
    pub fn read(&mut self, bytes: &[u8]) -> Result<usize> {
        let mut at = 0;
        while at < bytes.len() && self.step != Step::End {
            let rest = &bytes[at..];
            at += match self.step {
                Step::Data(left) => {
                    let size = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    let left = left - size as u64;
                    self.step = if left == 0 { Step::DataEnd } else { Step::Data(left) };
                    size
                }
                _ => self.read_line(rest)?,
            };
        }
        Ok(at)
    }

    /// Reads up to the end of a line, and takes the next step if it is there.
    fn read_line(&mut self, bytes: &[u8]) -> Result<usize> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let size = end.map_or(bytes.len(), |end| end + 1);
        if MAX_LINE_BYTES < self.line.len() + size {
            return Err(BrokenResponse::Chunk);
        }
        self.line.extend_from_slice(&bytes[..size]);
        if end.is_some() {
            self.take_step()?;
        } else if self.step == Step::DataEnd && !b"\r".starts_with(&self.line) {
            return Err(BrokenResponse::Chunk);
        }
        Ok(size)
    }

    fn take_step(&mut self) -> Result<()> {
        let line = self.line.strip_suffix(b"\r\n").ok_or(BrokenResponse::Chunk)?;
        self.step = match self.step {
            Step::Size => match parse_size(line)? {
                0 => Step::Trailers,
                size => Step::Data(size),
            },
            Step::DataEnd if line.is_empty() => {
                self.whole_chunks += 1;
                Step::Size
            }
            // Trailers stay in the buffer, so that their total size is bounded.
            Step::Trailers if line.is_empty() || line.ends_with(b"\r\n") => Step::End,
            Step::Trailers => return Ok(()),
            _ => return Err(BrokenResponse::Chunk),
        };
        self.line.clear();
        Ok(())
    }
}

/// The size at the start of a line; extensions may follow it.
fn parse_size(line: &[u8]) -> Result<u64> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let (digits, rest) = line.split_at(digits);
    if !matches!(rest.trim_ascii_start().first(), None | Some(b';')) {
        return Err(BrokenResponse::Chunk);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| BrokenResponse::Chunk)?;
    u64::from_str_radix(digits, 16).map_err(|_| BrokenResponse::Chunk)
}
