//! The number of times that the store was restored from a copy, as its responses state it.

use std::sync::Mutex;

use crate::store::{MAX_RESTORES, PlatformError, Result};

/// Largest plausible number of restores between two responses. A larger one is taken for an error of
/// the response: to believe it would mean to ignore all correct ones after it.
const MAX_MISSED_RESTORES: u64 = 100;

/// Tracks the number of restores that the store states in each response.
#[derive(Debug, Default)]
pub struct RestoreCounter {
    /// `None` before the first response that states it.
    latest: Mutex<Option<u64>>,
}

impl RestoreCounter {
    /// Checks what a response states. Returns the number of restores that the response belongs to. A
    /// response without a plausible number belongs to the latest state.
    ///
    /// # Errors
    ///
    /// A response from before the latest restore is treated as lost: what it says is gone.
    pub fn record(&self, stated: Option<&str>) -> Result<u64> {
        let mut latest = self.latest.lock().expect("no holder of this lock panics");
        let known = latest.unwrap_or_default();
        let Some(text) = stated else { return Ok(known) };
        let is_plausible = |stated: &u64| match *latest {
            Some(known) => *stated <= known.saturating_add(MAX_MISSED_RESTORES),
            None => true,
        };
        let stated = text.trim().parse::<u64>().ok();
        let stated = stated.filter(|it| *it <= MAX_RESTORES).filter(is_plausible);
        let Some(stated) = stated else {
            log::warn!("the store states an implausible number of restores: {text:.20}");
            return Ok(known);
        };
        if stated < known {
            log::info!("ignoring a response from before restore {known} of the store");
            return Err(PlatformError::Unavailable {
                detail: "the response is from before the latest restore of the store".into(),
                may_have_applied: true,
            });
        }
        *latest = Some(stated);
        Ok(stated)
    }

    /// The number of restores that the store has stated last.
    pub fn latest(&self) -> u64 {
        self.latest.lock().expect("no holder of this lock panics").unwrap_or_default()
    }
}
