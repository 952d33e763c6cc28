//! The object on the platform.

use crate::prelude::*;

/// The hosts that share the targets of one zone.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneTenure {
    /// Rises by one with each write.
    pub fence: u64,
    /// Sorted by name.
    pub hosts: Vec<Holder>,
}

/// One host of the list.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Holder {
    pub host: HostId,
    pub incarnation: Incarnation,
}

impl ZoneTenure {
    /// Key of the object.
    pub fn key(member: &MemberId, zone: &ZoneId) -> String {
        format!("tenure/{member}/{zone}")
    }

    /// Whether that incarnation is listed.
    pub fn lists(&self, holder: &Holder) -> bool {
        self.hosts.contains(holder)
    }

    /// The incarnation listed under that name.
    pub fn incarnation_of(&self, host: &str) -> Option<Incarnation> {
        let holder = self.hosts.iter().find(|holder| &*holder.host == host)?;
        Some(holder.incarnation)
    }
}
