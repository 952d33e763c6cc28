//! The hosts of a zone in a report: all of them, or only those whose state others may not know.
//!
//! Load pattern: a thousand hosts that hear of each other several times a second. Listing them all
//! each time would cost each host bytes that grow with the fleet. A digest shows that nothing has
//! changed; a host that finds another digest asks for the whole list.

use super::{HostInfo, Peer, SILENCE_TIMEOUT};
use crate::prelude::*;

/// Time for which a change of a host is listed. Long enough for several reports to arrive.
const RECENT_CHANGE: Duration = Duration::from_secs(2);

/// Time for which a lost host is listed, so that receivers do not take it for one of the others.
const LOST_LISTED: Duration = Duration::from_secs(5);

/// Silence beyond that of the hosts heard last from which a host is listed with its own silence.
const SUSPECT_DELAY_MS: u64 = 300;

/// The hosts heard last, as one in so many: most hosts of a zone may be lost at once.
const HEARD_LAST: usize = 10;

/// The hosts of a zone as the sender of a report knows them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Members {
    /// Number of live hosts, including the sender.
    pub count: u16,
    /// Sum of the digests of all live hosts.
    pub digest: u64,
    /// Whether `listed` contains all live hosts.
    pub is_complete: bool,
    /// Hosts with the number of milliseconds since they were last heard.
    pub listed: Vec<(HostInfo, u16)>,
    /// Longest silence of a live host that is not listed, in milliseconds.
    pub silent_ms: u16,
}

impl Members {
    /// Lists all live hosts: the sender and the live ones among `peers`.
    pub fn complete<'a>(own: HostInfo, peers: impl Iterator<Item = &'a Peer>, now: Moment) -> Self {
        let live = peers.filter(|peer| peer.is_live(now));
        let mut members = Self { is_complete: true, ..Self::default() };
        for peer in live {
            members.add_live(&peer.info);
            members.listed.push((peer.info.clone(), saturating_u16(silence_ms(peer, now))));
        }
        members.add_live(&own);
        members.listed.push((own, 0));
        members
    }

    /// Lists only hosts that changed or were lost recently, or are silent for longer than most.
    pub fn changes<'a>(
        own: HostInfo,
        own_changed_at: Moment,
        peers: impl Iterator<Item = &'a Peer> + Clone,
        now: Moment,
    ) -> Self {
        let mut members = Self::default();
        let mut silences: Vec<u64> =
            peers.clone().filter(|it| it.is_live(now)).map(|it| silence_ms(it, now)).collect();
        silences.sort_unstable();
        let least = silences.get(silences.len() / HEARD_LAST).copied().unwrap_or_default();
        let is_recent = |at: Moment| now.saturating_sub(at) < RECENT_CHANGE;
        for peer in peers {
            let silent_ms = silence_ms(peer, now);
            let is_listed = match peer.is_live(now) {
                true => {
                    members.add_live(&peer.info);
                    is_recent(peer.changed_at) || least + SUSPECT_DELAY_MS < silent_ms
                }
                false => Duration::from_millis(silent_ms) < SILENCE_TIMEOUT + LOST_LISTED,
            };
            if is_listed {
                members.listed.push((peer.info.clone(), saturating_u16(silent_ms)));
            } else if peer.is_live(now) {
                members.silent_ms = members.silent_ms.max(saturating_u16(silent_ms));
            }
        }
        members.add_live(&own);
        if is_recent(own_changed_at) {
            members.listed.push((own, 0));
        }
        members
    }

    fn add_live(&mut self, info: &HostInfo) {
        self.count = self.count.saturating_add(1);
        self.digest = self.digest.wrapping_add(info.digest());
    }
}

fn silence_ms(peer: &Peer, now: Moment) -> u64 {
    now.saturating_sub(peer.last_heard).as_millis() as u64
}

fn saturating_u16(value: u64) -> u16 {
    value.try_into().unwrap_or(u16::MAX)
}
