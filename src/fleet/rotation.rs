//! Determines which host of a zone sends the zone's report, and to which hosts.
//!
//! The hosts of a zone derive the sender from the wall clock, without coordination. Clock skew
//! makes a report slightly early or late; a wrong clock on one host affects only that host's
//! reports.

/// Schedule of one kind of report on this host.
#[derive(Debug, Default)]
pub struct Rotation {
    last_slot: Option<u64>,
}

impl Rotation {
    /// Whether the host with the given rank among `hosts` must send a report for any slot after
    /// that of the previous call, up to `slot`.
    pub fn is_due(&mut self, slot: u64, rank: usize, hosts: usize) -> bool {
        let (rank, hosts) = (rank as u64, hosts.max(1) as u64);
        let last = self.last_slot.replace(slot);
        let Some(last) = last.filter(|last| *last <= slot) else {
            return slot % hosts == rank;
        };
        if hosts <= slot - last {
            return true;
        }
        (last + 1..=slot).any(|slot| slot % hosts == rank)
    }

    /// Selects `count` receivers of `all` for a slot. The selection rotates from slot to slot.
    pub fn receivers<T: Copy>(slot: u64, all: &[T], count: usize) -> Vec<T> {
        let first = slot.wrapping_mul(count as u64);
        let at = |step: usize| first.wrapping_add(step as u64) as usize % all.len();
        (0..count.min(all.len())).map(|step| all[at(step)]).collect()
    }
}
