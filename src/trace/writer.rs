//! Writes a trace line by line.

use std::io::{self, Write};

use serde::Serialize;

use super::{End, Header, Record, Start, Step, Trace};
use crate::base::Moment;

/// An open trace. Without `finish` the file counts as cut off.
pub struct Writer {
    machines: usize,
    out: Box<dyn Write + Send>,
    steps: usize,
}

impl Writer {
    /// Starts a trace on `out`.
    pub fn open(mut out: Box<dyn Write + Send>, title: &str) -> io::Result<Self> {
        line(&mut out, &Header::new(title))?;
        Ok(Self { machines: 0, out, steps: 0 })
    }

    /// Adds a machine and gives its number.
    pub fn start<S: Serialize>(&mut self, seed: u64, state: &S) -> io::Result<usize> {
        let machine = self.machines;
        let start = Start { machine, seed, state };
        self.machines += 1;
        line(&mut self.out, &Record::<_, (), (), ()>::Start(start))?;
        Ok(machine)
    }

    /// Adds one input of a machine and what it decided.
    pub fn step<E: Serialize, A: Serialize>(
        &mut self,
        machine: usize,
        now: Moment,
        event: &E,
        actions: &[A],
    ) -> io::Result<()> {
        let now = u64::try_from(now.as_nanos()).unwrap_or(u64::MAX);
        let step = Step { actions: actions.iter().collect(), event, machine, now };
        self.steps += 1;
        line(&mut self.out, &Record::<(), _, _, ()>::Step(step))
    }

    /// States what must be true of the whole run.
    pub fn outcome<O: Serialize>(&mut self, outcome: &O) -> io::Result<()> {
        line(&mut self.out, &Record::<(), (), (), _>::Outcome(outcome))
    }

    /// Closes the trace.
    pub fn finish(mut self) -> io::Result<()> {
        line(&mut self.out, &Record::<(), (), (), ()>::End(End { steps: self.steps }))?;
        self.out.flush()
    }
}

impl<S: Serialize, E: Serialize, A: Serialize, O: Serialize> Trace<S, E, A, O> {
    /// Writes the whole trace.
    pub fn write(&self, out: Box<dyn Write + Send>) -> io::Result<()> {
        let mut writer = Writer::open(out, &self.header.title)?;
        for start in &self.starts {
            writer.start(start.seed, &start.state)?;
        }
        for step in &self.steps {
            let now = Moment::from_nanos(step.now);
            writer.step(step.machine, now, &step.event, &step.actions)?;
        }
        for outcome in &self.outcomes {
            writer.outcome(outcome)?;
        }
        writer.finish()
    }
}

fn line(out: &mut dyn Write, value: &impl Serialize) -> io::Result<()> {
    serde_json::to_writer(&mut *out, value)?;
    out.write_all(b"\n")
}
