//! Feeds a trace to fresh machines and compares what they decide.

use std::{
    fmt,
    panic::{AssertUnwindSafe, catch_unwind},
};

use serde::Serialize;

use super::{Start, Step, Trace};
use crate::{base::Moment, prelude::*};

/// Steps shown before the first difference.
const CONTEXT: usize = 5;

/// Stands for the decisions of a step that panicked.
pub const PANICKED: &str = "panicked";

/// Longest text of an input that is shown, in characters.
const MAX_SHOWN: usize = 400;

/// A part that decides, as it was recorded.
pub trait Machine: Sized {
    type Action: Serialize;
    type Event: Serialize;
    type State;

    /// A fresh machine.
    fn start(seed: u64, state: &Self::State) -> Self;

    /// Takes one input.
    fn on(&mut self, event: &Self::Event, now: Moment) -> Vec<Self::Action>;
}

/// A replay that gave the same decisions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Replayed {
    pub actions: usize,
    pub machines: usize,
    pub steps: usize,
}

/// The first step whose decision was another one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Mismatch {
    /// The steps before it, one line each.
    pub before: Vec<String>,
    pub decided: Vec<String>,
    pub event: String,
    pub machine: usize,
    pub now: Duration,
    pub recorded: Vec<String>,
    /// Number of the step, from 0 on.
    pub step: usize,
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "step {} of machine {} at {:?} differs", self.step, self.machine, self.now)?;
        for line in &self.before {
            writeln!(f, "  {line}")?;
        }
        writeln!(f, "> {}", self.event)?;
        let common = self.recorded.iter().zip(&self.decided).take_while(|(a, b)| a == b).count();
        for line in &self.recorded[..common] {
            writeln!(f, "    {line}")?;
        }
        for line in &self.recorded[common..] {
            writeln!(f, "  - {line}")?;
        }
        for line in &self.decided[common..] {
            writeln!(f, "  + {line}")?;
        }
        write!(f, "  (- recorded, + decided now)")
    }
}

/// Feeds every step to fresh machines. Actions are compared as JSON, as the file holds them.
pub fn replay<M: Machine, O>(
    trace: &Trace<M::State, M::Event, M::Action, O>,
) -> Result<Replayed, Box<Mismatch>> {
    let start = |start: &Start<M::State>| M::start(start.seed, &start.state);
    let mut machines: Vec<M> = trace.starts.iter().map(start).collect();
    let mut actions = 0;
    for (index, step) in trace.steps.iter().enumerate() {
        let now = Duration::from_nanos(step.now);
        let decided = decide(&mut machines[step.machine], &step.event, now);
        let recorded = texts(&step.actions);
        actions += decided.len();
        if decided != recorded {
            let (event, machine) = (shown(&step.event), step.machine);
            let before = context(&trace.steps[..index], machine);
            let found = Mismatch { before, decided, event, machine, now, recorded, step: index };
            return Err(Box::new(found));
        }
    }
    Ok(Replayed { actions, machines: machines.len(), steps: trace.steps.len() })
}

/// What the machine decides. A panic counts as a decision that differs: the replay shows where it
/// came about, and a damaged file that reads well can't end the program.
fn decide<M: Machine>(machine: &mut M, event: &M::Event, now: Moment) -> Vec<String> {
    let step = AssertUnwindSafe(|| texts(&machine.on(event, now)));
    catch_unwind(step).unwrap_or_else(|_| vec![PANICKED.to_owned()])
}

fn context<E: Serialize, A: Serialize>(steps: &[Step<E, A>], machine: usize) -> Vec<String> {
    let own = steps.iter().filter(|step| step.machine == machine);
    let mut last: Vec<String> = own
        .rev()
        .take(CONTEXT)
        .map(|step| format!("{} -> {}", shown(&step.event), shown(&step.actions)))
        .collect();
    last.reverse();
    last
}

fn texts<A: Serialize>(actions: &[A]) -> Vec<String> {
    actions.iter().map(text).collect()
}

fn shown(value: &impl Serialize) -> String {
    let text = text(value);
    match text.char_indices().nth(MAX_SHOWN) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

/// JSON with sorted keys: an unordered map gives the same text each time.
fn text(value: &impl Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(value) => value.to_string(),
        Err(error) => format!("(not serializable: {error})"),
    }
}
