//! What befalls the members during a run, as YAML.

use crate::prelude::*;

/// Everything that befalls each member, in order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub events: Vec<ScenarioEvent>,
}

/// One deed and its time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioEvent {
    /// Share of the run's length, from 0 to 1.
    pub at: f64,
    pub deed: Deed,
}

/// What is done. Regions, zones and services are given by their number in the member's plan, so
/// that one scenario fits both members.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deed {
    /// The pipeline applies its next manifest.
    Apply,
    /// A zone is cut off from the others and from the platform.
    CutZone,
    /// An operator drains a target.
    DrainTarget,
    /// The cut zone is connected again.
    HealZone,
    /// A host ends without a word; a new one takes its place a little later.
    KillHost,
    /// The platform answers nothing.
    PlatformAway,
    PlatformBack,
    /// A caller sends a request that crashes each target that runs it, again and again.
    Poison,
    /// A host is stopped on a plan; a new one takes its place.
    StopHost,
    /// One target takes five times as long.
    SlowTarget,
}

impl Scenario {
    /// Reads a scenario; the text says what is wrong with it.
    pub fn parse(text: &str, file: &str) -> Result<Self, String> {
        let scenario: Self =
            crate::yaml::decode(text, file).map_err(|problem| problem.to_string())?;
        let outside = scenario.events.iter().find(|event| !(0.0..=1.0).contains(&event.at));
        match outside {
            Some(event) => Err(format!("{file}: at: {} is outside 0 to 1", event.at)),
            None => Ok(scenario),
        }
    }
}

impl Default for Scenario {
    fn default() -> Self {
        let deeds = [
            (0.15, Deed::Apply),
            (0.20, Deed::DrainTarget),
            (0.28, Deed::StopHost),
            (0.40, Deed::SlowTarget),
            (0.45, Deed::KillHost),
            (0.55, Deed::Poison),
            (0.60, Deed::CutZone),
            (0.72, Deed::HealZone),
            (0.78, Deed::PlatformAway),
            (0.90, Deed::PlatformBack),
        ];
        let events = deeds.map(|(at, deed)| ScenarioEvent { at, deed });
        Self { events: events.to_vec() }
    }
}
