//! A small object API with faults on demand, after `docs/PLATFORM.md`.

mod door;
mod faults;
mod http;
mod store;
#[cfg(test)]
mod tests;

pub use self::{
    door::{Door, PlatformStandin},
    faults::{Faults, Outage},
    store::ObjectStore,
};
