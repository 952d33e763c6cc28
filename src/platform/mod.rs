//! The users' platform: its names and spellings, translated into the product's own.
//!
//! Nothing outside this folder knows how the platform spells a header, a path, an object or a
//! field; nothing in it decides anything. `PlatformProtocol` is the border for requests and objects,
//! `ObjectStore` the client of the store.

mod config;
mod headers;
mod key_digests;
mod object_store;
mod protocol;
mod server;
pub mod standin;
#[cfg(test)]
mod tests;

pub use self::{object_store::ObjectStore, protocol::PlatformProtocol};

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "LAVENDERPLANK_NODE_FILE";
