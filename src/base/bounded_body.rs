//! Reads bodies of responses whose size the sender decides.

use bytes::{Bytes, BytesMut};
use reqwest::Response;

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    #[error("the body of the response exceeds {max_bytes} bytes")]
    TooLarge { max_bytes: usize },
}

/// Reads a whole body of at most `max_bytes`. The connection of a larger one is closed.
pub async fn read_bounded(mut response: Response, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await? {
        if max_bytes < body.len() + chunk.len() {
            return Err(BodyError::TooLarge { max_bytes });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
