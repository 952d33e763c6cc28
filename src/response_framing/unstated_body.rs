//! Bodies whose length no head states, so that the end of the connection ends them.
//!
//! A head that has lost its framing fields turns into one of these. The body then begins with what
//! the head lacks, or consists of chunks.

use super::{BrokenResponse, Result, chunks::ChunkReader, head};

/// How much of the beginning is searched for the rest of a head.
const MAX_START_BYTES: usize = 4 * 1024;

/// A body up to the end of its connection.
#[derive(Clone, Debug)]
pub(super) struct UnstatedBody {
    /// Reads the body as chunks for as long as it may consist of them.
    chunks: Option<ChunkReader>,
    start: Vec<u8>,
}

impl UnstatedBody {
    pub fn new() -> Self {
        Self { chunks: Some(ChunkReader::new()), start: Vec::new() }
    }

    /// Reads on. Fails at once if the body is a whole one in chunks: the server may keep its
    /// connection open and send nothing more.
    pub fn read(&mut self, bytes: &[u8]) -> Result<()> {
        let room = MAX_START_BYTES - self.start.len();
        self.start.extend_from_slice(&bytes[..room.min(bytes.len())]);
        let Some(chunks) = &mut self.chunks else { return Ok(()) };
        if chunks.read(bytes) != Ok(bytes.len()) {
            self.chunks = None;
        } else if chunks.is_complete() && 0 < chunks.whole_chunks {
            return Err(BrokenResponse::LostCoding);
        }
        Ok(())
    }

    /// The connection has ended.
    pub fn end(&self) -> Result<()> {
        let are_chunks = |it: &ChunkReader| it.is_complete() || 0 < it.whole_chunks;
        if self.chunks.as_ref().is_some_and(are_chunks) {
            return Err(BrokenResponse::LostCoding);
        }
        match head::state_body(&self.start) {
            true => Err(BrokenResponse::SplitHead),
            false => Ok(()),
        }
    }
}
