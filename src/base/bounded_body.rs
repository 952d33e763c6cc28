//! Reads bodies of responses whose size the sender decides.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use reqwest::Response;

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    #[error("the body of the response exceeds {max_bytes} bytes")]
    TooLarge { max_bytes: usize },
}

/// Reads a whole body of at most `max_bytes`. The connection of a larger one is closed.
pub async fn read_bounded(mut response: Response, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await? {
        append(&mut body, &chunk, max_bytes)?;
    }
    Ok(body.freeze())
}

/// The same for the body of a response that came over a checked connection.
pub async fn read_bounded_body(
    mut incoming: Incoming,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = next_chunk(&mut incoming).await? {
        append(&mut body, &chunk, max_bytes)?;
    }
    Ok(body.freeze())
}

/// Reads the next bytes of a body; `None` at its end. Trailers are skipped.
pub async fn next_chunk(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = body.frame().await.transpose()? {
        if let Ok(chunk) = frame.into_data() {
            return Ok(Some(chunk));
        }
    }
    Ok(None)
}

fn append(body: &mut BytesMut, chunk: &[u8], max_bytes: usize) -> Result<(), BodyError> {
    if max_bytes < body.len() + chunk.len() {
        return Err(BodyError::TooLarge { max_bytes });
    }
    body.extend_from_slice(chunk);
    Ok(())
}
