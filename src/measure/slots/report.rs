//! The figures of the report.

use std::ops::Range;

use super::{
    count::{self, Answer, Placed, ServiceCount, window_start},
    logs::{LogSummary, Logs},
    steps::{self, JoinSummary},
    window::{Counts, Window, fraction},
};
use crate::prelude::*;

/// Number of windows that count as the busiest.
const BUSIEST: usize = 4;

/// What the count can't see.
const NOTES: [&str; 3] = [
    "Logs alone do not show which targets are evacuated or cold: their idle slots count as free.",
    "A target counts from the first to the last request sent to it, and has no free slot after an \
     attempt that did not reach it.",
    "The busiest windows are those with the most answers, refusals included.",
];

/// Figures of a span of time. Fractions are `None` where there is nothing to divide by.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figures {
    #[serde(flatten)]
    pub counts: Counts,
    /// Of the requests that targets served, the fraction in time.
    pub in_time_of_served: Option<f64>,
    /// Of all answers, the fraction in time.
    pub in_time_of_answers: Option<f64>,
    /// Of the requests sent, the fraction with a wrong estimate of the target's load.
    pub load_wrong_of_sent: Option<f64>,
    /// Of the requests sent, the fraction sent to a full target while another had a free slot.
    pub full_while_free_of_sent: Option<f64>,
    /// Of the requests not placed, the fraction while the chosen region had a free slot.
    pub while_free_of_not_placed: Option<f64>,
    /// Mean number of slots.
    pub slots: f64,
    /// Mean number of busy slots.
    pub used: f64,
    /// Mean number of free slots.
    pub free: f64,
    /// Mean number of requests that wait for a slot at a target.
    pub waiting: f64,
}

/// Figures of one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WindowFigures {
    #[serde(flatten)]
    pub figures: Figures,
    /// Start of the window, in seconds since the start of the logs.
    pub start_s: f64,
}

/// Answer times of the requests that targets served.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AnswerTimes {
    pub answers: usize,
    pub median_ms: u64,
    /// Fraction over the objective.
    pub over_objective: f64,
    #[serde(flatten)]
    pub placed: Placed,
}

/// Figures of one service, or of all.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceFigures {
    pub answer_times: Vec<AnswerTimes>,
    /// The busiest windows together.
    pub busiest: Figures,
    /// Starts of the busiest windows, in seconds, in the order of time.
    pub busiest_start_s: Vec<f64>,
    pub total: Figures,
    pub windows: Vec<WindowFigures>,
}

/// What the logs of all hosts together show.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    pub all: ServiceFigures,
    pub attempts: JoinSummary,
    pub logs: LogSummary,
    pub notes: [&'static str; 3],
    pub services: BTreeMap<ServiceId, ServiceFigures>,
}

impl Report {
    /// Counts what happened in the range, in time since the first event of a request.
    pub fn new(logs: Logs, range: &Range<Moment>) -> Self {
        let logs = logs.sort();
        let steps = steps::join(&logs.records);
        let counts = count::count(&steps, range);
        let mut all = ServiceCount::default();
        for service in counts.values() {
            all.add_service(service);
        }
        let services = counts
            .iter()
            .map(|(id, service)| (logs.names.name(*id).clone(), ServiceFigures::new(service)));
        Self {
            all: ServiceFigures::new(&all),
            attempts: steps.joined,
            services: services.collect(),
            logs: logs.summary,
            notes: NOTES,
        }
    }
}

impl ServiceFigures {
    fn new(service: &ServiceCount) -> Self {
        let busiest = busiest(&service.windows);
        let windows = service.windows.iter().map(|(number, window)| WindowFigures {
            figures: Figures::new(window),
            start_s: window_start(*number).as_secs_f64(),
        });
        Self {
            answer_times: service.answers.iter().filter_map(answer_times).collect(),
            busiest: Figures::new(&sum(busiest.iter().map(|number| &service.windows[number]))),
            busiest_start_s: busiest.iter().map(|at| window_start(*at).as_secs_f64()).collect(),
            total: Figures::new(&sum(service.windows.values())),
            windows: windows.collect(),
        }
    }
}

impl Figures {
    fn new(Window { counts, load }: &Window) -> Self {
        let mean = |sum: f64| if 0.0 < load.seconds { sum / load.seconds } else { 0.0 };
        Self {
            counts: *counts,
            in_time_of_served: counts.in_time_of_served(),
            in_time_of_answers: counts.in_time_of_answers(),
            load_wrong_of_sent: fraction(counts.load_wrong, counts.sent),
            full_while_free_of_sent: fraction(counts.sent_to_full_while_free, counts.sent),
            while_free_of_not_placed: fraction(counts.not_placed_while_free, counts.not_placed),
            slots: mean(load.slots),
            used: mean(load.used),
            free: mean(load.slots - load.used),
            waiting: mean(load.waiting),
        }
    }
}

fn sum<'a>(windows: impl Iterator<Item = &'a Window>) -> Window {
    let mut sum = Window::default();
    windows.for_each(|window| sum += *window);
    sum
}

/// Numbers of the windows with the most answers, in the order of time. Of windows with as many
/// answers, the earlier ones are taken.
fn busiest(windows: &BTreeMap<u64, Window>) -> Vec<u64> {
    let mut numbers: Vec<u64> = windows.keys().copied().collect();
    numbers.sort_by_key(|number| std::cmp::Reverse(windows[number].counts.answers()));
    numbers.truncate(BUSIEST);
    numbers.sort_unstable();
    numbers
}

/// `None` if there are no answers.
fn answer_times((placed, answers): (&Placed, &Vec<Answer>)) -> Option<AnswerTimes> {
    let mut times: Vec<Duration> = answers.iter().map(|(took, _)| *took).collect();
    times.sort_unstable();
    let late = answers.iter().filter(|(took, objective)| objective < took).count();
    Some(AnswerTimes {
        answers: answers.len(),
        median_ms: times.get(times.len() / 2)?.as_millis() as u64,
        over_objective: fraction(late as u64, answers.len() as u64)?,
        placed: *placed,
    })
}
