//! Where one request goes: the target that is expected to answer first.
//!
//! Requests about one object go to the same target as long as it has room, since a target that has
//! handled an object is several times faster. Every host ranks the targets by the same hash, so
//! they agree without asking each other, and a lost target moves only its own objects.
//!
//! Load pattern: more requests than slots for seconds on end. What is in attempt at a target bounds
//! the wait there; beyond the bound a request is refused at once, since it would only make those
//! behind it late as well.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::KnownTarget;
use crate::prelude::*;

/// What an object's second and any further target is charged, as a multiple of the work at its
/// first. A target that does not know an object takes about three times as long; the rest is for
/// the object that it forgets in turn. Mean worth over twelve standard days: 0.513 with 1.5 and
/// 2.4, 0.563 with 2.2 and 3.2, 0.585 with 4 and 6, at twice the slots waiting.
const SECOND_CHOICE: f64 = 4.0;
const OTHER_CHOICE: f64 = 6.0;

/// Work of a cold target as a multiple of a warm one's.
const COLD: f64 = 2.0;

/// Requests that may wait at a target, as a multiple of its slots: as many as targets queue.
const WAITING: f64 = 3.0;

/// Part of the time left that the expected answer may take: estimates are means.
const CERTAIN: f64 = 0.9;

/// Extra time that a request to another zone of the region is charged, for the bytes between zones.
const ZONE_CHARGE: Duration = Duration::from_millis(6);

/// Extra charge for a region other than the one that the shares name: such a move counts as a
/// shift.
const SPILL_CHARGE: Duration = Duration::from_millis(150);

/// Round trip between regions.
const REGION_TRIP: Duration = Duration::from_millis(110);

/// Longest wait that is told, in seconds; callers stay away for less anyway.
const ROOM_MOST: f64 = 60.0;

/// Hash of the object that a request is about.
pub type ObjectHash = u64;

/// One target that could take the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Requests in attempt there, of all hosts.
    pub load: f64,
    /// A cold target whose rate is used up, one that is paused or just had no room.
    pub shut: bool,
    /// See `Condition::stretch`.
    pub stretch: f64,
    pub cold: bool,
    pub target: &'a Arc<KnownTarget>,
}

/// What is asked.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    pub home: &'a RegionId,
    /// Time that the caller still waits.
    pub left: Duration,
    /// Hash of the object, or of the request where it has none.
    pub object: ObjectHash,
    /// The region that the shares name.
    pub region: &'a RegionId,
    pub may_spill: bool,
    /// Longest time that a new request may be expected to take.
    pub patience: Duration,
    /// Usual time of an answer at a target that knows the object.
    pub work: Duration,
    pub zone: &'a ZoneId,
}

impl Ask<'_> {
    /// Longest time that an answer may be expected to take.
    pub fn limit(&self) -> Duration {
        self.patience.min(self.left.mul_f64(CERTAIN))
    }
}

/// The outcome.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Position of the candidate, and the time its answer is expected to take.
    Send { at: usize, expected: Duration },
    /// There is no room in time where the request may go; there is after about that long, as far as
    /// it is known: a paused target's queue tells nothing. `crowded` is the position of the
    /// candidate that it should have gone to, and the time its answer was expected to take.
    Busy { crowded: Option<(usize, Duration)>, room_in: Option<Duration> },
    /// No target is there at all.
    Nothing,
}

/// Chooses among the candidates.
pub fn choose(candidates: &[Candidate<'_>], ask: &Ask<'_>) -> Choice {
    let ranks = ranks(candidates, ask.object);
    let mut best: Option<Offer> = None;
    let mut least_wait: Option<f64> = None;
    for (at, candidate) in candidates.iter().enumerate() {
        let region = &candidate.target.region;
        let spills = region != ask.region;
        let wait = wait(candidate, ask);
        if candidate.shut || (spills && !ask.may_spill) {
            // Told to come back for room that it may not use, a caller would only be refused again.
            continue;
        }
        least_wait = Some(least_wait.map_or(wait, |least: f64| least.min(wait)));
        let room = f64::from(candidate.target.entry.slots) * (1.0 + WAITING);
        if room <= candidate.load {
            continue;
        }
        let choice = match ranks[at] {
            0 => 1.0,
            1 => SECOND_CHOICE,
            _ => OTHER_CHOICE,
        };
        let offer = Offer::of(at, candidate, choice, wait, ask);
        if best.is_none_or(|best| offer.charge < best.charge) {
            best = Some(offer);
        }
    }
    let limit = ask.limit().as_secs_f64();
    let span = |secs: f64| Duration::from_secs_f64(secs.min(ROOM_MOST));
    match (best, least_wait) {
        (Some(offer), _) if offer.takes <= limit => {
            Choice::Send { at: offer.at, expected: Duration::from_secs_f64(offer.takes) }
        }
        _ if candidates.is_empty() => Choice::Nothing,
        // Another target may have room, and yet the request does not go there: it would take three
        // times the work, and make that target forget what it knows. Mean worth over twelve
        // standard days: 0.65 with this refusal, 0.55 without it.
        (Some(offer), _) => Choice::Busy {
            crowded: Some((offer.at, span(offer.takes))),
            room_in: Some(span(offer.wait)),
        },
        (None, wait) => Choice::Busy { crowded: None, room_in: wait.map(span) },
    }
}

/// What sending to one candidate means.
#[derive(Clone, Copy, Debug)]
struct Offer {
    at: usize,
    /// What the choice goes by, in seconds: the time and what else the choice costs.
    charge: f64,
    /// Expected time of the answer, in seconds.
    takes: f64,
    /// Expected wait for a slot, in seconds.
    wait: f64,
}

impl Offer {
    fn of(at: usize, candidate: &Candidate<'_>, choice: f64, wait: f64, ask: &Ask<'_>) -> Self {
        let cold = if candidate.cold { COLD } else { 1.0 };
        let work = ask.work.as_secs_f64() * cold * candidate.stretch;
        let entry = &candidate.target.entry;
        let region = &candidate.target.region;
        let trip = if region == ask.home { 0.0 } else { REGION_TRIP.as_secs_f64() };
        let takes = wait * candidate.stretch + work + trip;
        let mut charge = takes + work * (choice - 1.0);
        if region == ask.home && entry.zone != *ask.zone {
            charge += ZONE_CHARGE.as_secs_f64();
        }
        if region != ask.region {
            charge += SPILL_CHARGE.as_secs_f64();
        }
        Self { at, charge, takes, wait }
    }
}

/// Expected wait for a slot, in seconds.
fn wait(candidate: &Candidate<'_>, ask: &Ask<'_>) -> f64 {
    let slots = f64::from(candidate.target.entry.slots.max(1));
    (candidate.load + 1.0 - slots).max(0.0) / slots * ask.work.as_secs_f64()
}

/// Rank of each candidate for an object within its region; 0 comes first.
fn ranks(candidates: &[Candidate<'_>], object: ObjectHash) -> Vec<usize> {
    let weight =
        |candidate: &Candidate<'_>| xxh3_64_with_seed(&candidate.target.tag.to_le_bytes(), object);
    let weights: Vec<u64> = candidates.iter().map(weight).collect();
    let rank = |at: usize| {
        let region = &candidates[at].target.region;
        let before = |other: &usize| {
            candidates[*other].target.region == *region && weights[at] < weights[*other]
        };
        (0..candidates.len()).filter(before).count()
    };
    (0..candidates.len()).map(rank).collect()
}
