//! Checks that the responses on a connection are what their heads say.
//!
//! HTTP libraries read as many bytes as a head states and no more, so a head that is wrong about its
//! body yields a response that looks complete. Here all bytes of a connection are seen: a response
//! that more bytes follow than its head states, or whose head no reader can rely on, fails the read,
//! and the library never delivers it as complete.
//!
//! Bytes that arrive later than the end of a response can't be told from an extra response and do
//! not count against it.

mod chunks;
mod client;
mod error;
mod head;
mod parser;
mod stream;
#[cfg(test)]
mod tests;
mod unstated_body;

pub use self::{
    client::{CheckedClient, CheckedConnector, ConnectionOptions, Keepalive, parse_url},
    error::{BrokenResponse, Result},
    stream::CheckedStream,
};
