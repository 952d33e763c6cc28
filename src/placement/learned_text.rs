//! Encoding of learned values as the text of one object of the store.
//!
//! Any host of the region may have written the text, also one of another release, and operators can
//! change it. So each service is decoded and checked by itself, and what fails is left out.

use serde_json::value::RawValue;

use super::{LearnedService, LearnedState};
use crate::prelude::*;

/// Version of the encoding. Hosts ignore texts of another one.
const FORMAT: u32 = 1;

/// Largest text that is written, in bytes. Services beyond it are left out.
const MAX_TEXT_BYTES: usize = 8 * 1024;

/// Largest text that is read, in bytes. The store may return other white space than was written.
const MAX_READ_BYTES: usize = 4 * MAX_TEXT_BYTES;

/// Result of reading learned values.
pub type Result<T> = std::result::Result<T, LearnedError>;

/// Why learned values are ignored.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum LearnedError {
    #[error("format {0} is not known to this release")]
    Format(u32),
    #[error("the time is {} s ahead of this host's clock", .0.as_secs())]
    Future(Duration),
    #[error("{0} is out of bounds")]
    OutOfBounds(&'static str),
    #[error("{0} bytes are too many")]
    TooLong(usize),
    #[error("{} s is too old", .0.as_secs())]
    TooOld(Duration),
    #[error("the configuration has no such service")]
    UnknownService,
    #[error("cannot be decoded: {0}")]
    Unreadable(Arc<str>),
}

/// The part of a text that may be used, and why other services are ignored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReadState {
    pub ignored: Vec<(ServiceId, LearnedError)>,
    pub state: LearnedState,
}

#[derive(Serialize)]
struct Text<'a> {
    format: u32,
    services: &'a BTreeMap<ServiceId, LearnedService>,
}

#[derive(Deserialize)]
struct TextFormat {
    format: u32,
}

#[derive(Deserialize)]
struct TextServices<'a> {
    #[serde(borrow)]
    services: BTreeMap<ServiceId, &'a RawValue>,
}

impl LearnedState {
    /// Encodes the values as JSON. If that is too long, the services that were measured longest ago
    /// are left out.
    pub fn encode(&self) -> Vec<u8> {
        let mut services = self.services.clone();
        loop {
            let text = Text { format: FORMAT, services: &services };
            let text = serde_json::to_vec(&text).expect("numbers and texts can be encoded");
            let oldest = services.iter().min_by_key(|(name, it)| (it.measured_ms, *name));
            match oldest.map(|(name, _)| name.clone()) {
                Some(oldest) if MAX_TEXT_BYTES < text.len() => services.remove(&oldest),
                _ => return text,
            };
        }
    }

    /// Decodes and checks a text at the wall-clock time `now_ms`. Fails if nothing in it can be
    /// used; services that cannot be used are left out.
    pub fn decode(
        text: &[u8],
        is_known: impl Fn(&ServiceId) -> bool,
        now_ms: u64,
    ) -> Result<ReadState> {
        if MAX_READ_BYTES < text.len() {
            return Err(LearnedError::TooLong(text.len()));
        }
        let TextFormat { format } = serde_json::from_slice(text).map_err(unreadable)?;
        if format != FORMAT {
            return Err(LearnedError::Format(format));
        }
        let TextServices { services } = serde_json::from_slice(text).map_err(unreadable)?;
        let mut read = ReadState::default();
        for (name, service) in services {
            match decode_service(service, is_known(&name), now_ms) {
                Ok(service) => _ = read.state.services.insert(name, service),
                Err(error) => read.ignored.push((name, error)),
            }
        }
        Ok(read)
    }
}

fn decode_service(text: &RawValue, is_known: bool, now_ms: u64) -> Result<LearnedService> {
    if !is_known {
        return Err(LearnedError::UnknownService);
    }
    let service: LearnedService = serde_json::from_str(text.get()).map_err(unreadable)?;
    service.check(now_ms).map(|()| service)
}

fn unreadable(error: serde_json::Error) -> LearnedError {
    LearnedError::Unreadable(error.to_string().into())
}
