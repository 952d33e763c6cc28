//! Small stand-ins for what surrounds the system: for tests and the demonstration, never for use.

pub mod caller;
pub mod fleet;
pub mod link_meter;
pub mod linked;
pub mod links;
pub mod platform;
pub mod target;
