//! Stand-ins for the users' platform, for tests and the demo on loopback: its store and its
//! targets, as far as a host uses them.

mod capacity;
mod door;
mod fault_run;
mod links;
mod received;
mod response_faults;
mod rewrite;
mod settings;
mod store;
mod store_pages;
mod target;
mod unending;

pub use self::{
    door::{DoorMode, StoreDoor},
    fault_run::{FaultRunReport, run_with_faults},
    links::{LinkMode, TargetLinks},
    received::ReceivedRequest,
    response_faults::{FaultPlan, Rejections, ResponseFaults},
    rewrite::Rewrite,
    settings::{loopback_settings, loopback_traffic},
    store::{StoreCopy, StoreStandin},
    store_pages::{BrokenValue, ListOrder, ListPlace, Paging, UnknownName},
    target::{ResponseMode, Statements, TargetIdentity, TargetStandin},
    unending::{Unending, UnendingPart},
};
