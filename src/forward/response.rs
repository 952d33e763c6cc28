//! Responses of targets.

use std::fmt;

use bytes::Bytes;
use futures::stream::BoxStream;

use super::Result;
use crate::base::HeaderLine;

/// A response whose body is either complete or a stream.
#[derive(Debug)]
pub struct TargetResponse {
    pub body: TargetBody,
    pub headers: Vec<HeaderLine>,
    pub status: u16,
}

/// The body of a response.
pub enum TargetBody {
    /// Ends with an error unless it is complete. Dropping it closes the connection to the target.
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
