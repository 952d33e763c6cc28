//! Fakes that several integration tests share.

pub mod raw_target;
