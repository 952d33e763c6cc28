//! Small stand-ins for what surrounds the system: for tests and the demonstration, never for use.

pub mod platform;
