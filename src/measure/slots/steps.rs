//! Joins the events of each request: which attempt an end or an answer belongs to.

use std::collections::HashMap;

use super::{
    line::{Answered, RequestEvent, Sent},
    logs::{Record, RequestRef},
    names::NameId,
};
use crate::{event_log::AttemptEnd, prelude::*};

/// Index of an attempt.
pub type AttemptId = usize;

/// What an event means for the count.
#[derive(Clone, Copy, Debug)]
pub enum StepKind {
    /// An attempt begins to run at its target.
    Begin(AttemptId),
    /// An attempt no longer runs. `reached` tells whether its target was reached; `None` if the end
    /// does not show it.
    End { attempt: AttemptId, reached: Option<bool> },
    /// A request was refused because no target could take it.
    Refused { region: NameId, service: NameId },
    /// A request was answered, by this attempt if a target answered.
    Answered { answer: Answered, attempt: Option<AttemptId> },
}

/// A step of the count.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub at: Moment,
    pub kind: StepKind,
}

/// The steps of all hosts in the order of time.
#[derive(Debug, Default)]
pub struct Steps {
    pub attempts: Vec<Sent>,
    pub joined: JoinSummary,
    pub steps: Vec<Step>,
}

/// How well the events of the requests could be joined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct JoinSummary {
    pub attempts: usize,
    /// Attempts without a logged end. They count as running until the deadline of the caller or the
    /// end of the host's log, whichever comes first.
    pub attempts_without_end: usize,
    /// Ends without a logged attempt; they are not counted.
    pub ends_without_attempt: usize,
    /// Hedges for which there was no target. The first attempt was still running, so that these are
    /// not refusals.
    pub hedges_not_placed: usize,
}

/// Joins the records, which are in the order of time.
pub fn join(records: &[Record]) -> Steps {
    let mut joiner = Joiner::default();
    for record in records {
        joiner.add(record);
    }
    joiner.end_open_attempts();
    let mut steps = joiner.steps;
    steps.joined.attempts = steps.attempts.len();
    // The sort is stable: steps of the same millisecond stay in the order of the records.
    steps.steps.sort_by_key(|step| step.at);
    steps
}

#[derive(Debug, Default)]
struct Joiner {
    /// Latest possible end of each attempt that has not ended.
    open_until: Vec<Option<Moment>>,
    requests: HashMap<RequestRef, Vec<AttemptId>>,
    steps: Steps,
}

impl Joiner {
    fn add(&mut self, record: &Record) {
        let kind = match record.event {
            RequestEvent::Sent(sent) => self.begin(record, sent),
            RequestEvent::AttemptEnded { end, target } => {
                let Some(attempt) = self.open_attempt(record.request, target) else {
                    self.steps.joined.ends_without_attempt += 1;
                    return;
                };
                self.open_until[attempt] = None;
                StepKind::End { attempt, reached: reached(end) }
            }
            RequestEvent::NotPlaced { region, service } => {
                if self.has_open_attempt(record.request) {
                    self.steps.joined.hedges_not_placed += 1;
                    return;
                }
                StepKind::Refused { region, service }
            }
            RequestEvent::Answered(answer) => self.answer(record.request, answer),
        };
        self.steps.steps.push(Step { at: record.at, kind });
    }

    fn begin(&mut self, record: &Record, sent: Sent) -> StepKind {
        let attempt = self.steps.attempts.len();
        self.steps.attempts.push(sent);
        self.open_until.push(Some(record.log_end.min(record.at + sent.left)));
        self.requests.entry(record.request).or_default().push(attempt);
        StepKind::Begin(attempt)
    }

    fn answer(&mut self, request: RequestRef, answer: Answered) -> StepKind {
        let attempts = self.requests.get(&request).into_iter().flatten();
        let attempt = attempts
            .rev()
            .find(|attempt| Some(self.steps.attempts[**attempt].target) == answer.target)
            .copied();
        if !self.has_open_attempt(request) {
            self.requests.remove(&request);
        }
        StepKind::Answered { answer, attempt }
    }

    fn open_attempt(&self, request: RequestRef, target: NameId) -> Option<AttemptId> {
        let mut attempts = self.requests.get(&request)?.iter().copied();
        attempts.find(|attempt| {
            self.open_until[*attempt].is_some() && self.steps.attempts[*attempt].target == target
        })
    }

    fn has_open_attempt(&self, request: RequestRef) -> bool {
        let attempts = self.requests.get(&request);
        attempts.into_iter().flatten().any(|attempt| self.open_until[*attempt].is_some())
    }

    fn end_open_attempts(&mut self) {
        for (attempt, until) in self.open_until.iter().enumerate() {
            let Some(at) = *until else { continue };
            self.steps.joined.attempts_without_end += 1;
            self.steps.steps.push(Step { at, kind: StepKind::End { attempt, reached: None } });
        }
    }
}

fn reached(end: AttemptEnd) -> Option<bool> {
    match end {
        AttemptEnd::Answered | AttemptEnd::Failed | AttemptEnd::Shed => Some(true),
        AttemptEnd::Lost | AttemptEnd::Unreachable | AttemptEnd::WrongTarget => Some(false),
        AttemptEnd::Cancelled | AttemptEnd::Withheld => None,
    }
}
