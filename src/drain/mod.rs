//! Drains by operators: what is taken out of use, by whom, and how far it has come.

mod record;

pub use self::record::{DrainId, DrainRecord, Undrain};
