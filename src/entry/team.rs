//! Teams whose callers a host serves, and the keys that identify them.

use std::collections::{HashMap, HashSet, hash_map};

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{
    placement::{NameTag, name_tag},
    prelude::*,
};

/// Result of building the table of teams.
pub type Result<T> = std::result::Result<T, TeamError>;

/// An invalid team in a declaration. Messages never contain a key.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TeamError {
    #[error("team `{team}`: `burst` must be a finite number, 0 or more")]
    InvalidBurst { team: TeamId },
    #[error("team `{team}`: key {at} is empty; remove it")]
    EmptyKey { at: usize, team: TeamId },
    #[error("team `{team}`: unknown home region `{region}`")]
    UnknownRegion { region: RegionId, team: TeamId },
    #[error("teams `{first}` and `{second}` share a key; use a separate key for each")]
    SharedKey { first: TeamId, second: TeamId },
    #[error("team `{team}`: `rate` must be a finite number, 0 or more; 0 means no limit")]
    InvalidRate { team: TeamId },
    #[error("team `{team}` is declared more than once; merge the declarations")]
    DuplicateTeam { team: TeamId },
}

/// SHA-256 digest of a caller's key. Hosts keep and exchange digests instead of keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Parses 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// Formats the digest as 64 hexadecimal digits.
    pub fn text(&self) -> String {
        hex::encode(self.0)
    }

    /// First eight bytes, used as the index of the table; full digests are compared in constant
    /// time.
    fn prefix(&self) -> u64 {
        let (prefix, _) = self.0.split_at(8);
        prefix.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
    }
}

/// The key of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CallerKey {
    #[default]
    Missing,
    One(KeyDigest),
    /// More than one key, which is ambiguous.
    Multiple,
}

/// Rate limit of a team, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Requests allowed at once beyond the rate.
    pub burst: f64,
    /// Requests per second.
    pub rate: f64,
}

impl TeamLimit {
    /// Validates the declared rate and burst of a team. A rate of 0 means no limit.
    pub fn new(team: &TeamId, rate: f64, burst: f64) -> Result<Option<Self>> {
        let is_valid = |number: f64| number.is_finite() && 0.0 <= number;
        if !is_valid(rate) {
            return Err(TeamError::InvalidRate { team: team.clone() });
        }
        if !is_valid(burst) {
            return Err(TeamError::InvalidBurst { team: team.clone() });
        }
        Ok((0.0 < rate).then_some(Self { burst, rate }))
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub limit: Option<TeamLimit>,
    pub name: TeamId,
    /// Priority of its requests, which replaces that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Regions that may serve its requests; empty for all.
    pub allowed_regions: Vec<RegionId>,
}

impl Team {
    /// Hash of the name, by which hosts refer to the team.
    pub fn tag(&self) -> NameTag {
        name_tag(&self.name)
    }
}

/// Teams of a declaration, indexed by key digest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Teams {
    all: Vec<Arc<Team>>,
    by_key: HashMap<u64, (KeyDigest, Arc<Team>)>,
}

impl Teams {
    /// Builds the table. Rejects duplicate team names and keys shared between teams.
    pub fn new(teams: Vec<(Team, Vec<KeyDigest>)>) -> Result<Self> {
        let mut table = Self::default();
        let mut names = HashSet::new();
        for (team, keys) in teams {
            if !names.insert(team.name.clone()) {
                return Err(TeamError::DuplicateTeam { team: team.name });
            }
            let team = Arc::new(team);
            table.all.push(team.clone());
            for key in keys {
                match table.by_key.entry(key.prefix()) {
                    hash_map::Entry::Vacant(slot) => {
                        slot.insert((key, team.clone()));
                    }
                    hash_map::Entry::Occupied(slot) if slot.get().1.name == team.name => {}
                    hash_map::Entry::Occupied(slot) => {
                        let first = slot.get().1.name.clone();
                        return Err(TeamError::SharedKey { first, second: team.name.clone() });
                    }
                }
            }
        }
        Ok(table)
    }

    /// Whether no teams are declared, in which case requests need no key.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Iterates over the teams in the order of the declaration.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.all.iter()
    }

    /// Finds the team that a key belongs to.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Arc<Team>> {
        let (known, team) = self.by_key.get(&key.prefix())?;
        bool::from(known.0.ct_eq(&key.0)).then_some(team)
    }

    /// Checks that all regions named by teams exist.
    pub fn check_regions(&self, is_region: impl Fn(&RegionId) -> bool) -> Result<()> {
        for team in &self.all {
            if let Some(region) = team.allowed_regions.iter().find(|region| !is_region(region)) {
                let (region, team) = (region.clone(), team.name.clone());
                return Err(TeamError::UnknownRegion { region, team });
            }
        }
        Ok(())
    }
}
