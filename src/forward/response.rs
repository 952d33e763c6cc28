//! A target's answer.

use std::fmt;

use bytes::Bytes;
use futures::stream::BoxStream;

use super::Result;
use crate::base::HeaderLine;

/// The head of an answer, and its body or the way to it.
#[derive(Debug)]
pub struct TargetResponse {
    pub body: TargetBody,
    pub headers: Vec<HeaderLine>,
    pub status: u16,
}

/// The body of an answer.
pub enum TargetBody {
    /// Ends with an error unless it came whole. Dropping it closes the target's connection.
    Stream(BoxStream<'static, Result<Bytes>>),
    Whole(Bytes),
}

impl fmt::Debug for TargetBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TargetBody::Stream(_) => f.write_str("Stream"),
            TargetBody::Whole(body) => write!(f, "Whole({} bytes)", body.len()),
        }
    }
}
