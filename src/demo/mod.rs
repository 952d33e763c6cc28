//! The main job: both members at the sizes of today, on loopback, under planned and unplanned loss,
//! with what callers were told held against what the targets really ran.

mod cluster;
mod doubt;
mod events;
mod load;
mod members;
mod promise;
mod report;
mod run;
mod scenario;
mod watch;

pub use self::{
    doubt::Doubt,
    members::MemberPlan,
    promise::{Promise, Tally},
    report::{MemberReport, Report},
    run::{DemoPlan, run},
    scenario::{Deed, Scenario, ScenarioEvent},
};
