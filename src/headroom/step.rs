//! A step that an operator plans.

use std::fmt;

use super::Snapshot;
use crate::prelude::*;

/// Result of applying a step.
pub type Result<T> = std::result::Result<T, StepError>;

/// Why a step cannot be taken.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StepError {
    #[error("zone {zone} has only {targets} targets of {service}; give a smaller count")]
    TooMany { service: ServiceId, targets: f64, zone: ZoneId },
    #[error("how many targets of {service} zone {zone} has is not known; give logs or metrics")]
    UnknownTargets { service: ServiceId, zone: ZoneId },
    #[error("service {service} has no targets in zone {zone}; there are: {known}")]
    UnknownService { known: String, service: ServiceId, zone: ZoneId },
    #[error("no zone {zone} is known; there are: {known}")]
    UnknownZone { known: String, zone: ZoneId },
}

/// A step that is not yet in the store.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum Step {
    /// The targets of a zone get no requests; its hosts stay.
    Evacuate { zone: ZoneId },
    /// Some targets of a service in a zone are removed.
    ScaleIn { count: u32, service: ServiceId, zone: ZoneId },
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Evacuate { zone } => write!(f, "evacuate zone {zone}"),
            Self::ScaleIn { count, service, zone } => {
                write!(f, "remove {count} targets of {service} from zone {zone}")
            }
        }
    }
}

impl Step {
    /// The snapshot after the step. Which slots are busy is unknown then, for the services that
    /// the step concerns.
    pub fn apply(&self, snapshot: &Snapshot) -> Result<Snapshot> {
        let mut after = snapshot.clone();
        match self {
            Self::Evacuate { zone } => evacuate(&mut after, zone)?,
            Self::ScaleIn { count, service, zone } => {
                scale_in(&mut after, *count, service, zone)?;
            }
        }
        for service in self.services(snapshot) {
            let Some(service) = after.services.get_mut(&service) else { continue };
            service.zones.values_mut().for_each(|zone| zone.busy = None);
        }
        Ok(after)
    }

    /// The services that the step concerns.
    pub fn services(&self, snapshot: &Snapshot) -> Vec<ServiceId> {
        match self {
            Self::Evacuate { zone } => {
                let services = snapshot.services.iter();
                let here = services.filter(|(_, service)| service.zones.contains_key(zone));
                here.map(|(name, _)| name.clone()).collect()
            }
            Self::ScaleIn { service, .. } => vec![service.clone()],
        }
    }
}

fn evacuate(after: &mut Snapshot, zone: &ZoneId) -> Result<()> {
    let known = after.zone_names();
    if !known.contains(zone) {
        return Err(StepError::UnknownZone { known: list(known), zone: zone.clone() });
    }
    for service in after.services.values_mut() {
        service.zones.remove(zone);
    }
    Ok(())
}

fn scale_in(after: &mut Snapshot, count: u32, service: &ServiceId, zone: &ZoneId) -> Result<()> {
    let zones = after.services.get_mut(service).map(|service| &mut service.zones);
    let zones = zones.filter(|zones| zones.contains_key(zone));
    let Some(slots) = zones.and_then(|zones| zones.get_mut(zone)) else {
        let services = after.services.iter();
        let pairs = services.flat_map(|(name, service)| {
            service.zones.keys().map(move |zone| format!("{name} in {zone}").into())
        });
        let known = list(pairs);
        let (service, zone) = (service.clone(), zone.clone());
        return Err(StepError::UnknownService { known, service, zone });
    };
    let (service, zone) = (service.clone(), zone.clone());
    let Some(targets) = slots.targets.filter(|targets| 0.0 < *targets) else {
        return Err(StepError::UnknownTargets { service, zone });
    };
    if targets < f64::from(count) {
        return Err(StepError::TooMany { service, targets, zone });
    }
    // Targets of one service and zone are taken to have equal slots.
    slots.slots *= (targets - f64::from(count)) / targets;
    slots.targets = Some(targets - f64::from(count));
    Ok(())
}

fn list(names: impl IntoIterator<Item = Arc<str>>) -> String {
    let names: Vec<Arc<str>> = names.into_iter().collect();
    if names.is_empty() { "none".to_owned() } else { names.join(", ") }
}
