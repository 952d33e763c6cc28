//! Authorization of requests by the caller's key.
//!
//! A host that has just started or is disconnected from the store may hold an outdated declaration.
//! An unknown key may then be a new one, so it is rejected permanently only if the declaration was
//! confirmed recently; otherwise the caller is asked to retry.

use super::{Bounds, CallerKey, Declaration, Route, Team};
use crate::prelude::*;

/// Maximum age of the declaration at which an unknown key is rejected permanently. A silent watch
/// of the store times out within this time.
const UNKNOWN_KEY_MAX_AGE: Duration = Duration::from_secs(6);

/// Result of checking a request's key.
#[derive(Clone, Debug, PartialEq)]
pub enum Access {
    /// The request may run, on behalf of the team if there is one.
    Granted(Option<Arc<Team>>),
    /// The declaration is too old to decide.
    Unchecked,
    /// No team has the key.
    Unknown,
}

impl Access {
    /// Checks a key against the declaration in force. `age` is the time since the declaration was
    /// last confirmed to be the latest; `None` if it never was, or a later one is known.
    ///
    /// A public route needs no key, but a known key still identifies the team.
    pub fn check(
        declaration: &Declaration,
        route: &Route,
        key: &CallerKey,
        age: Option<Duration>,
        bounds: &Bounds,
    ) -> Self {
        if declaration.teams.is_empty() {
            return Self::Granted(None);
        }
        let team = match key {
            CallerKey::One(key) => declaration.teams.find_by_key(key),
            CallerKey::Missing | CallerKey::Multiple => None,
        };
        let within = |max_age: Duration| age.is_some_and(|age| age <= max_age);
        match team {
            Some(_) if !bounds.max_key_age().is_none_or(within) => Self::Unchecked,
            Some(team) => Self::Granted(Some(team.clone())),
            None if route.public => Self::Granted(None),
            // A newer declaration cannot make a missing key valid.
            None if *key == CallerKey::Missing => Self::Unknown,
            None if within(UNKNOWN_KEY_MAX_AGE) => Self::Unknown,
            None => Self::Unchecked,
        }
    }
}
