//! Counts the steps of all hosts by service and window.

use std::ops::Range;

use super::{
    line::{Answered, Sent},
    names::NameId,
    steps::{AttemptId, Step, StepKind, Steps},
    targets::{Judgement, Load, LoadChange, Targets},
    window::{WINDOW, Window},
};
use crate::{event_log::End, prelude::*};

/// Error of the estimated load, in requests, from which on it counts as wrong.
const WRONG_LOAD: u32 = 2;

/// Probability in percent from which on the host counts as knowing that the target has the object.
const KNOWN_PERCENT: u8 = 50;

/// After this time without a change, the load of a service counts as not logged. Bounds the number
/// of windows if a host's clock is wrong by years.
const MAX_IDLE: Duration = Duration::from_secs(60);

/// How a request that a target served was placed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Placed {
    /// The target had all slots busy.
    pub is_full: bool,
    /// The host took the object for cached at the target.
    pub is_known: bool,
}

/// Answer time and objective of one request.
pub type Answer = (Duration, Duration);

/// What is counted of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceCount {
    pub answers: BTreeMap<Placed, Vec<Answer>>,
    load: Load,
    /// Time up to which `load` is in the windows.
    load_until: Moment,
    /// By number, from the start of the logs on.
    pub windows: BTreeMap<u64, Window>,
}

/// Counts the steps whose times are in the range; earlier steps still give the load.
pub fn count(steps: &Steps, range: &Range<Moment>) -> BTreeMap<NameId, ServiceCount> {
    let mut counter = Counter {
        attempts: &steps.attempts,
        full: vec![false; steps.attempts.len()],
        range,
        services: BTreeMap::new(),
        targets: Targets::new(&steps.attempts),
    };
    let end = steps.steps.last().map_or(Moment::ZERO, |step| step.at);
    for step in &steps.steps {
        counter.add(step);
    }
    for service in counter.services.values_mut() {
        service.advance(end, range);
    }
    counter.services
}

struct Counter<'a> {
    attempts: &'a [Sent],
    /// Whether the target of each attempt was full.
    full: Vec<bool>,
    range: &'a Range<Moment>,
    services: BTreeMap<NameId, ServiceCount>,
    targets: Targets,
}

impl Counter<'_> {
    fn add(&mut self, step: &Step) {
        match step.kind {
            StepKind::Begin(attempt) => self.begin(step.at, attempt),
            StepKind::End { attempt, reached } => {
                let changes = self.targets.end(&self.attempts[attempt], reached);
                self.change_loads(step.at, &changes);
            }
            StepKind::Refused { region, service } => {
                let is_free = self.targets.has_free_slot((service, region));
                let Some(window) = self.window(step.at, service) else { return };
                window.counts.not_placed += 1;
                window.counts.not_placed_while_free += u64::from(is_free);
            }
            StepKind::Answered { answer, attempt } => self.answer(step.at, &answer, attempt),
        }
    }

    fn begin(&mut self, at: Moment, attempt: AttemptId) {
        let sent = self.attempts[attempt];
        let judgement = self.targets.judge(&sent);
        self.full[attempt] = judgement.is_full;
        if let Some(window) = self.window(at, sent.service) {
            count_sent(window, &sent, judgement);
        }
        let changes = self.targets.begin(&sent);
        self.change_loads(at, &changes);
    }

    fn answer(&mut self, at: Moment, answer: &Answered, attempt: Option<AttemptId>) {
        let Some(window) = self.window(at, answer.service) else { return };
        window.counts.add_answer(answer.end);
        let (End::Served | End::Late, Some(attempt)) = (answer.end, attempt) else { return };
        let is_known = KNOWN_PERCENT <= self.attempts[attempt].knows_percent;
        let placed = Placed { is_full: self.full[attempt], is_known };
        let service = self.services.entry(answer.service).or_default();
        service.answers.entry(placed).or_default().push((answer.took, answer.objective));
    }

    fn change_loads(&mut self, at: Moment, changes: &[LoadChange]) {
        for change in changes {
            let service = self.services.entry(change.service).or_default();
            service.advance(at, self.range);
            service.load = service.load.replace(change.before, change.after);
        }
    }

    /// The window of this time; `None` out of the range.
    fn window(&mut self, at: Moment, service: NameId) -> Option<&mut Window> {
        let service = self.services.entry(service).or_default();
        self.range.contains(&at).then(|| service.windows.entry(window_number(at)).or_default())
    }
}

fn count_sent(window: &mut Window, sent: &Sent, judgement: Judgement) {
    let counts = &mut window.counts;
    let Judgement { has_free_elsewhere, is_full, running } = judgement;
    counts.sent += 1;
    counts.sent_to_full += u64::from(is_full);
    counts.sent_to_full_while_free += u64::from(is_full && has_free_elsewhere);
    counts.sent_to_full_believed_free += u64::from(is_full && sent.load < sent.slots);
    counts.load_wrong += u64::from(WRONG_LOAD <= sent.load.abs_diff(running));
}

impl ServiceCount {
    /// Adds another service.
    pub fn add_service(&mut self, other: &Self) {
        for (placed, answers) in &other.answers {
            self.answers.entry(*placed).or_default().extend(answers);
        }
        for (number, window) in &other.windows {
            self.windows.entry(*number).or_default().add_service(window);
        }
    }

    /// Adds the load up to `at` to the windows.
    fn advance(&mut self, at: Moment, range: &Range<Moment>) {
        let until = at.min(range.end).min(self.load_until + MAX_IDLE);
        let mut from = self.load_until.max(range.start);
        self.load_until = at;
        if self.load == Load::default() {
            return;
        }
        while from < until {
            let number = window_number(from);
            let end = window_start(number + 1).min(until);
            self.windows.entry(number).or_default().load.add(self.load, end - from);
            from = end;
        }
    }
}

fn window_number(at: Moment) -> u64 {
    (at.as_millis() / WINDOW.as_millis()) as u64
}

/// Start of the window with this number.
pub fn window_start(number: u64) -> Moment {
    Duration::from_millis(number * WINDOW.as_millis() as u64)
}
