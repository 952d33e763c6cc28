//! Why a response is not delivered as complete.

use std::{error::Error, io};

/// Result of checking bytes that were read.
pub type Result<T> = std::result::Result<T, BrokenResponse>;

/// What is wrong with a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BrokenResponse {
    #[error("a chunk of the response is malformed")]
    Chunk,
    #[error("the response has a body that its status does not allow")]
    ForbiddenBody,
    #[error("the head of the response is malformed: {0}")]
    Head(httparse::Error),
    #[error("the head of the response is too large")]
    HeadTooLarge,
    #[error("the response does not state a single length")]
    Length,
    #[error("the chunks of the response are not announced in its head")]
    LostCoding,
    #[error("another response follows the response")]
    SecondResponse,
    #[error("a part of the head is in the body of the response")]
    SplitHead,
    #[error("the response has status {0}, which is not that of an answer")]
    Status(u16),
    #[error("more bytes follow the response than its head states")]
    Surplus,
    #[error("the response has a transfer coding other than chunked alone")]
    TransferCoding,
}

impl BrokenResponse {
    /// Finds the broken response that caused an error of an HTTP library.
    pub fn find_in(error: &(dyn Error + 'static)) -> Option<Self> {
        let mut cause = Some(error);
        while let Some(error) = cause {
            if let Some(broken) = error.downcast_ref::<Self>() {
                return Some(*broken);
            }
            // The source of an I/O error is not what it wraps, but the source of that.
            let wrapped = error.downcast_ref::<io::Error>().and_then(io::Error::get_ref);
            cause = match wrapped {
                Some(wrapped) => Some(wrapped),
                None => error.source(),
            };
        }
        None
    }
}

impl From<BrokenResponse> for io::Error {
    fn from(error: BrokenResponse) -> Self {
        Self::new(io::ErrorKind::InvalidData, error)
    }
}
