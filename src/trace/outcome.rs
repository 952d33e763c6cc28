//! What must be true of a whole recorded run.

use std::collections::BTreeSet;

use super::{Input, Output, SteerTrace};
use crate::{
    prelude::*,
    routing::{Action, Answer, AttemptId, CallId, Event, Via},
    timeline::EventKind,
};

/// How a caller was answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Told {
    Error(ErrorKind),
    /// The answer of an earlier request with the same key.
    Kept,
    /// The target's own answer.
    Pass,
}

/// One statement about a whole run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "state")]
pub enum Outcome {
    /// Every call got exactly one answer.
    AllAnswered,
    /// The callers of that request were told this, in this order.
    Answered { request: RequestId, told: Vec<Told> },
    /// So many calls were told this, at least and at most.
    Count { least: usize, most: usize, told: Told },
    /// That request was sent to targets so often, by all hosts together.
    Dispatched { request: RequestId, times: usize },
    /// The manifest in force at a machine at the end, never an older one after a newer one.
    InForce { machine: usize, sequence: Sequence },
    /// After that time, in nanoseconds, nothing was sent to the target by the machine named, or by
    /// any.
    NoDispatchAfter { machine: Option<usize>, now: u64, target: TargetId },
    /// Never more requests at once on a target than this, by all hosts together.
    SlotsAtMost { slots: usize, target: TargetId },
    /// Of the requests that arrived from callers, this share at most was served by other regions.
    ShiftedAtMost { share: f64 },
    /// At least so many requests were served by other regions: the run was about something.
    ShiftedAtLeast { times: usize },
    /// No invariant was broken.
    Unbroken,
}

/// A statement that does not hold.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("stated {stated:?}, but found {found}")]
pub struct Untrue {
    pub found: String,
    pub stated: Outcome,
}

/// The statements of the trace that its own steps do not bear out.
pub fn untrue(trace: &SteerTrace) -> Vec<Untrue> {
    let seen = Seen::of(trace);
    let check = |stated: &Outcome| {
        let found = seen.against(stated)?;
        Some(Untrue { found, stated: stated.clone() })
    };
    trace.outcomes.iter().filter_map(check).collect()
}

/// One request sent to a target.
struct Sent {
    machine: usize,
    now: u64,
    request: RequestId,
    target: TargetId,
}

/// What the steps of a trace show.
#[derive(Default)]
struct Seen {
    arrived: BTreeMap<(usize, CallId), RequestId>,
    /// Those of them that came from callers, not from other hosts.
    callers: BTreeSet<(usize, CallId)>,
    broken: Vec<Arc<str>>,
    dispatched: Vec<Sent>,
    /// Requests on each target now, and the most there ever were.
    in_flight: BTreeMap<TargetId, (usize, usize)>,
    running: BTreeMap<(usize, AttemptId), TargetId>,
    sequences: BTreeMap<usize, Vec<Sequence>>,
    shifted: usize,
    told: Vec<(usize, CallId, Told)>,
}

impl Seen {
    fn of(trace: &SteerTrace) -> Self {
        let mut seen = Self::default();
        for step in &trace.steps {
            if let Input::Event(event) = &step.event {
                seen.input(step.machine, event);
            }
            for output in &step.actions {
                if let Output::Action(action) = output {
                    seen.action(step.machine, step.now, action);
                }
            }
        }
        seen
    }

    fn input(&mut self, machine: usize, event: &Event) {
        match event {
            Event::Arrived(arrival) => {
                self.arrived.insert((machine, arrival.call), arrival.request.clone());
                if arrival.via == Via::Caller {
                    self.callers.insert((machine, arrival.call));
                }
            }
            Event::Ended { attempt, .. } => self.freed(machine, *attempt),
            _ => {}
        }
    }

    fn freed(&mut self, machine: usize, attempt: AttemptId) {
        let Some(target) = self.running.remove(&(machine, attempt)) else { return };
        if let Some((now, _)) = self.in_flight.get_mut(&target) {
            *now -= 1;
        }
    }

    fn action(&mut self, machine: usize, now: u64, action: &Action) {
        match action {
            Action::Answer { answer, call } => {
                let told = match answer {
                    Answer::Error { error, .. } => Told::Error(*error),
                    Answer::Kept { .. } => Told::Kept,
                    Answer::Pass => Told::Pass,
                };
                self.told.push((machine, *call, told));
            }
            Action::Cancel { attempt } => self.freed(machine, *attempt),
            Action::Dispatch { attempt, call, target, .. } => {
                let request = self.arrived.get(&(machine, *call)).cloned().unwrap_or_default();
                self.dispatched.push(Sent { machine, now, request, target: target.clone() });
                self.running.insert((machine, *attempt), target.clone());
                let (count, most) = self.in_flight.entry(target.clone()).or_default();
                *count += 1;
                *most = (*most).max(*count);
            }
            Action::Note { kind, .. } => self.note(machine, kind),
            Action::Forward { .. } => {}
        }
    }

    fn note(&mut self, machine: usize, kind: &EventKind) {
        match kind {
            EventKind::InvariantBroken { name, .. } => self.broken.push(name.clone()),
            EventKind::ManifestInForce { sequence } => {
                self.sequences.entry(machine).or_default().push(*sequence);
            }
            EventKind::Shifted { .. } => self.shifted += 1,
            _ => {}
        }
    }

    /// What was found instead, where the statement does not hold.
    fn against(&self, stated: &Outcome) -> Option<String> {
        let unless = |held: bool, found: String| (!held).then_some(found);
        match stated {
            Outcome::AllAnswered => {
                let answered: BTreeSet<_> =
                    self.told.iter().map(|(machine, call, _)| (*machine, *call)).collect();
                let once = answered.len() == self.told.len();
                let all = self.arrived.keys().all(|call| answered.contains(call));
                let (calls, answers) = (self.arrived.len(), self.told.len());
                unless(once && all, format!("{answers} answers to {calls} calls"))
            }
            Outcome::Answered { request, told } => {
                let found = self.told_of(request);
                unless(found == *told, format!("{found:?}"))
            }
            Outcome::Count { least, most, told } => {
                let found = self.told_callers().filter(|(_, _, found)| found == told).count();
                unless((*least..=*most).contains(&found), found.to_string())
            }
            Outcome::Dispatched { request, times } => {
                let found = self.dispatched.iter().filter(|sent| sent.request == *request).count();
                unless(found == *times, found.to_string())
            }
            Outcome::InForce { machine, sequence } => {
                let found = self.sequences.get(machine).cloned().unwrap_or_default();
                unless(found.is_sorted() && found.last() == Some(sequence), format!("{found:?}"))
            }
            Outcome::NoDispatchAfter { machine, now, target } => {
                let is_late = |sent: &&Sent| {
                    *now < sent.now
                        && sent.target == *target
                        && machine.is_none_or(|machine| machine == sent.machine)
                };
                let late = self.dispatched.iter().find(is_late);
                late.map(|sent| format!("request {} at {}", sent.request, sent.now))
            }
            Outcome::ShiftedAtLeast { times } => {
                unless(*times <= self.shifted, self.shifted.to_string())
            }
            Outcome::ShiftedAtMost { share } => {
                let found = self.shifted as f64 / self.callers.len().max(1) as f64;
                unless(found <= *share, format!("{found:.3}"))
            }
            Outcome::SlotsAtMost { slots, target } => {
                let most = self.in_flight.get(target).map_or(0, |(_, most)| *most);
                unless(most <= *slots, most.to_string())
            }
            Outcome::Unbroken => unless(self.broken.is_empty(), format!("{:?}", self.broken)),
        }
    }

    fn told_of(&self, request: &RequestId) -> Vec<Told> {
        let of = |machine: &usize, call: &CallId| {
            self.arrived.get(&(*machine, *call)).is_some_and(|found| found == request)
        };
        let told = self.told_callers().filter(|(machine, call, _)| of(machine, call));
        told.map(|(_, _, told)| *told).collect()
    }

    fn told_callers(&self) -> impl Iterator<Item = &(usize, CallId, Told)> {
        self.told.iter().filter(|(machine, call, _)| self.callers.contains(&(*machine, *call)))
    }
}
