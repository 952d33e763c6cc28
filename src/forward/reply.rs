//! A target's answer.

use std::fmt;

use bytes::Bytes;
use futures::stream::BoxStream;

use super::Result;
use crate::base::HeaderLine;

/// The head of an answer, and its body or the way to it.
#[derive(Debug)]
pub struct Reply {
    pub body: ReplyBody,
    pub headers: Vec<HeaderLine>,
    pub status: u16,
}

/// The body of an answer.
pub enum ReplyBody {
    /// Ends with an error unless it came whole. Dropping it closes the target's connection.
    Stream(BoxStream<'static, Result<Bytes>>),
    Whole(Bytes),
}

impl fmt::Debug for ReplyBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReplyBody::Stream(_) => f.write_str("Stream"),
            ReplyBody::Whole(body) => write!(f, "Whole({} bytes)", body.len()),
        }
    }
}
