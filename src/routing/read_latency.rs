//! How long the reads of each service usually take.

use crate::prelude::*;

/// Reads that a time is worked out from.
const SAMPLES: usize = 64;
/// Of a hundred reads, those that end within the usual time.
const USUAL_OF_HUNDRED: usize = 97;

/// The usual time of each service's reads, as callers at this host see it.
#[derive(Debug, Default)]
pub(super) struct Paces {
    services: BTreeMap<ServiceId, Pace>,
}

#[derive(Debug, Default)]
struct Pace {
    samples: Vec<Duration>,
    usual: Option<Duration>,
}

impl Paces {
    /// Takes in the time of a read's first attempt, or the time after which it was given up.
    pub fn note(&mut self, service: &ServiceId, took: Duration) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Pace::default());
        }
        let pace = self.services.get_mut(service).expect("inserted above if it was missing");
        pace.note(took);
    }

    /// The time within which 97 of 100 reads of a service end; `None` until enough were seen.
    pub fn usual(&self, service: &ServiceId) -> Option<Duration> {
        self.services.get(service)?.usual
    }

    /// Forgets services that are no longer in the manifest.
    pub fn retain(&mut self, is_known: impl Fn(&ServiceId) -> bool) {
        self.services.retain(|service, _| is_known(service));
    }
}

impl Pace {
    fn note(&mut self, took: Duration) {
        self.samples.push(took);
        if self.samples.len() < SAMPLES {
            return;
        }
        let rank = SAMPLES * USUAL_OF_HUNDRED / 100;
        let (_, usual, _) = self.samples.select_nth_unstable(rank);
        self.usual = Some(*usual);
        self.samples.clear();
    }
}
