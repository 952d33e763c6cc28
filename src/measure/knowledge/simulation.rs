//! One run of the model: the arrivals of one load, placed in one way.

use super::{
    load::{Arrival, MISS_MS, SLOTS, Size},
    service::{OBJECTIVE, Service},
    target::{Run, Target},
    way::{Knowledge, Placement, Way},
};
use crate::{placement::ObjectTag, prelude::*};

/// Counts of the requests that arrived in the counted time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub sent: u64,
    /// Sent to a full target while another one had a free slot.
    pub full: u64,
    /// Sent to a full target that the sender believed to have a free slot.
    pub full_believed_free: u64,
    /// Sent to a full target while one with a free slot had the object cached.
    pub full_free_holder: u64,
    /// Sent to a target without the object.
    pub misses: u64,
}

#[derive(Debug)]
enum Step {
    /// The request reaches the target.
    Start(Run),
    /// The target answers.
    End(Run),
}

/// Targets, and hosts that know them in one way.
pub(super) struct Simulation {
    /// By time in milliseconds, and number.
    agenda: BTreeMap<(u64, u64), Step>,
    /// Targets with a free slot, counting requests on their way there.
    free_targets: usize,
    /// Requests at each target or on their way there.
    in_flight: Vec<u32>,
    knowledge: Box<dyn Knowledge>,
    next_step: u64,
    size: Size,
    tally: Tally,
    targets: Vec<Target>,
}

impl Simulation {
    /// `limit` is the maximum expected answer time, in objectives.
    pub fn new(size: Size, way: Way, limit: f64) -> Self {
        Self {
            agenda: BTreeMap::new(),
            free_targets: size.targets,
            in_flight: vec![0; size.targets],
            knowledge: way.open(size, Service::new(size, limit)),
            next_step: 0,
            size,
            tally: Tally::default(),
            targets: (0..size.targets).map(|_| Target::default()).collect(),
        }
    }

    /// Runs until all requests ended. Returns the counts, and the bytes of control messages that
    /// each host sent in the counted time.
    pub fn run(mut self, arrivals: &[Arrival]) -> (Tally, Vec<u64>) {
        let mut warm_up_bytes = None;
        for arrival in arrivals {
            self.advance(arrival.at);
            if self.is_counted(arrival.at) && warm_up_bytes.is_none() {
                warm_up_bytes = Some(self.knowledge.bytes().to_vec());
            }
            self.arrive(arrival);
        }
        let warm_up_bytes = warm_up_bytes.unwrap_or_default();
        let bytes = self.knowledge.bytes().iter().zip(warm_up_bytes);
        let bytes = bytes.map(|(all, before)| all - before).collect();
        self.advance(u64::MAX);
        (self.tally, bytes)
    }

    fn is_counted(&self, arrived: u64) -> bool {
        self.size.warm_up_ms <= arrived
    }

    /// Takes all steps up to `now`.
    fn advance(&mut self, now: u64) {
        while let Some(entry) = self.agenda.first_entry().filter(|it| it.key().0 <= now) {
            let ((at, _), step) = entry.remove_entry();
            match step {
                Step::Start(run) => self.start(run, at),
                Step::End(run) => self.end(&run, at),
            }
        }
    }

    fn arrive(&mut self, arrival: &Arrival) {
        let (took_ms, placement) = self.knowledge.place(arrival, arrival.at);
        let is_counted = self.is_counted(arrival.at);
        let Some(Placement { forecast, target }) = placement else {
            self.tally.refused += u64::from(is_counted);
            return;
        };
        if is_counted {
            self.count_sent(target, arrival.object, forecast.has_free_slot);
        }
        self.in_flight[target] += 1;
        self.free_targets -= usize::from(self.in_flight[target] == SLOTS);
        let Arrival { at, host, object } = *arrival;
        let sent = at + took_ms;
        let run = Run { arrived: at, forecast, host, object, sent, target };
        self.add(sent, Step::Start(run));
    }

    fn count_sent(&mut self, target: usize, object: ObjectTag, believed_free: bool) {
        self.tally.sent += 1;
        if self.in_flight[target] < SLOTS {
            return;
        }
        self.tally.full += u64::from(0 < self.free_targets);
        self.tally.full_believed_free += u64::from(believed_free);
        let mut others = self.targets.iter().zip(&self.in_flight);
        let has_free_holder = others.any(|(it, load)| *load < SLOTS && it.has_object(object));
        self.tally.full_free_holder += u64::from(has_free_holder);
    }

    fn start(&mut self, run: Run, now: u64) {
        let target = run.target;
        if let Err(run) = self.targets[target].push(run) {
            self.tally.refused += u64::from(self.is_counted(run.arrived));
            return self.leave(&run, false, now);
        }
        self.start_next(target, now);
    }

    fn end(&mut self, run: &Run, now: u64) {
        self.targets[run.target].end();
        if self.is_counted(run.arrived) {
            match now - run.arrived <= OBJECTIVE.as_millis() as u64 {
                true => self.tally.in_time += 1,
                false => self.tally.late += 1,
            }
        }
        self.leave(run, true, now);
        self.start_next(run.target, now);
    }

    fn leave(&mut self, run: &Run, is_answered: bool, now: u64) {
        self.in_flight[run.target] -= 1;
        self.free_targets += usize::from(self.in_flight[run.target] + 1 == SLOTS);
        self.knowledge.ended(run, self.targets[run.target].load(), is_answered, now);
    }

    fn start_next(&mut self, target: usize, now: u64) {
        let Some((run, work_ms)) = self.targets[target].start_next() else { return };
        self.tally.misses += u64::from(work_ms == MISS_MS && self.is_counted(run.arrived));
        self.add(now + work_ms, Step::End(run));
    }

    fn add(&mut self, at: u64, step: Step) {
        self.next_step += 1;
        self.agenda.insert((at, self.next_step), step);
    }
}
