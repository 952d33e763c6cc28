//! Adapter to the users' platform: translates its headers, paths, objects and fields into the types
//! of the other modules.
//!
//! Only this module contains the platform's names, and it makes no routing decisions.
//! `PlatformProtocol` translates requests, responses and stored objects; `ObjectStore` is the
//! client of the platform's store.

mod config;
mod headers;
mod keys;
mod listing;
mod object_store;
mod object_urls;
mod page_cursor;
mod protocol;
mod restore_counter;
mod server;
pub mod standin;
#[cfg(test)]
mod tests;

pub use self::{object_store::ObjectStore, protocol::PlatformProtocol};

/// Environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "LAVENDERPLANK_NODE_FILE";
