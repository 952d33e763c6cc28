//! A snapshot from the metrics of one entry host.

use super::{
    Demand, Snapshot, ZoneSlots,
    exposition::{Sample, parse_line},
};
use crate::prelude::*;

/// Prefix of the metrics' names.
const PREFIX: &str = "lavenderplank_";

/// Largest plausible count of slots or targets, and largest plausible demand in slots. The largest
/// deployment planned has some thousand targets.
const MAX_COUNT: f64 = 1e7;

/// States of targets that do not offer all their slots.
const LIMITING_STATES: [&str; 4] = ["cold", "leaving", "limited", "resting"];

/// Result of reading metrics.
pub type Result<T> = std::result::Result<T, MetricsError>;

/// The text has no metrics of capacity.
#[derive(Debug, thiserror::Error)]
#[error(
    "the text has no `lavenderplank_service_slots` or `lavenderplank_service_demand_slots`; give \
     the metrics of an entry host of this release, at least a second after its start"
)]
pub struct MetricsError;

/// Reads the text that a host serves as metrics.
pub fn read_metrics(text: &str) -> Result<Snapshot> {
    let mut reader = MetricsReader::default();
    for sample in text.lines().filter_map(parse_line) {
        let Some(name) = sample.name.strip_prefix(PREFIX) else { continue };
        if !reader.add(name, &sample) {
            reader.ignored += 1;
        }
    }
    if reader.snapshot.services.is_empty() {
        return Err(MetricsError);
    }
    Ok(reader.finish())
}

#[derive(Debug, Default)]
struct MetricsReader {
    /// Number of samples that are not plausible.
    ignored: u64,
    /// Number of targets that do not offer all their slots, by state.
    limiting: BTreeMap<&'static str, f64>,
    snapshot: Snapshot,
}

impl MetricsReader {
    /// Adds a sample; false if it is one of capacity that is not plausible.
    fn add(&mut self, name: &str, sample: &Sample<'_>) -> bool {
        match name {
            "service_busy_slots" | "service_slots" | "service_targets" => {
                self.add_zone(name, sample).is_some()
            }
            "service_demand_slots" => self.add_demand(sample).is_some(),
            "service_region_share" => self.add_share(sample).is_some(),
            "targets" => {
                let state = sample.label("state");
                let state = LIMITING_STATES.into_iter().find(|it| state.as_deref() == Some(it));
                if let (Some(state), Some(count)) = (state, count(sample.value)) {
                    self.limiting.insert(state, count);
                }
                true
            }
            _ => true,
        }
    }

    fn add_zone(&mut self, name: &str, sample: &Sample<'_>) -> Option<()> {
        let (service, zone) = (sample.label("service")?, sample.label("zone")?);
        let (region, count) = (sample.label("region")?, count(sample.value)?);
        self.snapshot.regions.entry(zone.clone()).or_insert(region);
        let service = self.snapshot.services.entry(service).or_default();
        let zone: &mut ZoneSlots = service.zones.entry(zone).or_default();
        match name {
            "service_busy_slots" => zone.busy = Some(count),
            "service_slots" => zone.slots = count,
            _ => zone.targets = Some(count),
        }
        Some(())
    }

    fn add_demand(&mut self, sample: &Sample<'_>) -> Option<()> {
        let (service, region) = (sample.label("service")?, sample.label("region")?);
        let demand = Demand { forecast: None, now: count(sample.value)? };
        let service = self.snapshot.services.entry(service).or_default();
        service.demand.get_or_insert_default().insert(region, demand);
        Some(())
    }

    fn add_share(&mut self, sample: &Sample<'_>) -> Option<()> {
        let (service, region) = (sample.label("service")?, sample.label("region")?);
        let home = sample.label("home")?;
        let share = Some(sample.value).filter(|share| (0.0..=1.0).contains(share))?;
        let service = self.snapshot.services.entry(service).or_default();
        service.shares.entry(home).or_default().insert(region, share);
        Some(())
    }

    /// The snapshot, with what a single scrape does not tell.
    fn finish(self) -> Snapshot {
        let Self { ignored, limiting, mut snapshot } = self;
        let unknown = &mut snapshot.unknown;
        unknown.push(
            "forecast: one scrape has no course of the demand; logs of the hosts have one".into(),
        );
        unknown.push("refusals: one scrape has no rate of requests that found no target".into());
        for (state, count) in limiting.into_iter().filter(|(_, count)| 0.0 < *count) {
            let services = "which services they belong to; their slots are counted in full";
            unknown.push(format!("{count} {state} targets: {services}"));
        }
        for (name, service) in &snapshot.services {
            if service.demand.is_none() {
                unknown.push(format!("demand of {name}: no sample of `service_demand_slots`"));
            }
        }
        if 0 < ignored {
            let reason = "a label is missing, or the value is no plausible count or share";
            unknown.push(format!("{ignored} samples were ignored: {reason}"));
        }
        snapshot
    }
}

/// The value as a count of slots or targets; `None` if it is not plausible.
fn count(value: f64) -> Option<f64> {
    (0.0..=MAX_COUNT).contains(&value).then_some(value)
}
