//! Whose turn it is to send its zone's report, and to whom.
//!
//! All hosts of a zone agree by the time of day, without asking each other. Where their clocks
//! differ, a turn comes a little early or late; where one of them was set wrong, its own turns do.

/// The turns of one kind of report.
#[derive(Debug, Default)]
pub struct Rotation {
    last: Option<u64>,
}

impl Rotation {
    /// Whether a host at `place` of `hosts` has a turn between the last call and `slot`.
    pub fn is_due(&mut self, slot: u64, rank: usize, hosts: usize) -> bool {
        let (rank, hosts) = (rank as u64, hosts.max(1) as u64);
        let last = self.last.replace(slot);
        let Some(last) = last.filter(|last| *last <= slot) else {
            return slot % hosts == rank;
        };
        if hosts <= slot - last {
            return true;
        }
        (last + 1..=slot).any(|slot| slot % hosts == rank)
    }

    /// The receivers of a slot: `count` of `all`, another one each time.
    pub fn receivers<T: Copy>(slot: u64, all: &[T], count: usize) -> Vec<T> {
        let first = slot.wrapping_mul(count as u64);
        let at = |step: usize| first.wrapping_add(step as u64) as usize % all.len();
        (0..count.min(all.len())).map(|step| all[at(step)]).collect()
    }
}
