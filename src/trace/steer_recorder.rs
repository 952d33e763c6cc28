//! Records the request decisions of running hosts.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use super::{Input, Outcome, Output, Setup, Writer};
use crate::{
    base::Moment,
    ledger::SealedLedger,
    routing::{Action, Event},
};

/// An open recording of one or more hosts. A failed write ends the recording, never a host; what
/// failed is told by `finish`.
#[derive(Clone)]
pub struct SteerRecorder {
    state: Arc<Mutex<io::Result<Writer>>>,
}

impl SteerRecorder {
    /// Starts a trace on `out`.
    pub fn open(out: Box<dyn Write + Send>, title: &str) -> io::Result<Self> {
        let writer = Writer::open(out, title)?;
        Ok(Self { state: Arc::new(Mutex::new(Ok(writer))) })
    }

    /// Adds a host. `seed` is that of the `ChaCha8Rng` which this host's decisions alone use, and
    /// nothing may have been decided before.
    pub fn track(&self, seed: u64, setup: &Setup) -> SteerTrack {
        let mut machine = 0;
        self.write(|writer| {
            machine = writer.start(seed, setup)?;
            Ok(())
        });
        SteerTrack { machine, recorder: self.clone() }
    }

    /// States what must be true of the whole run.
    pub fn outcome(&self, outcome: &Outcome) {
        self.write(|writer| writer.outcome(outcome));
    }

    /// Closes the trace; steps that come later are not recorded.
    pub fn finish(&self) -> io::Result<()> {
        let closed = Err(io::Error::other("the recording is closed"));
        std::mem::replace(&mut *self.state(), closed)?.finish()
    }

    fn write(&self, write: impl FnOnce(&mut Writer) -> io::Result<()>) {
        let mut state = self.state();
        let Ok(writer) = &mut *state else { return };
        if let Err(error) = write(writer) {
            log::warn!("the recording ends here: {error}");
            *state = Err(error);
        }
    }

    fn state(&self) -> MutexGuard<'_, io::Result<Writer>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The recording of one host. Calls must come in the order of the decisions, so make them while
/// the decisions are still locked.
#[derive(Clone)]
pub struct SteerTrack {
    machine: usize,
    recorder: SteerRecorder,
}

impl SteerTrack {
    /// Records one event and what it led to.
    pub fn event(&self, now: Moment, event: &Event, actions: &[Action]) {
        let outputs = actions.iter().cloned().map(Output::Action).collect();
        self.step(now, Input::Event(event.clone()), outputs);
    }

    /// Records that a sealed ledger was taken over, or why not.
    pub fn adopted(&self, now: Moment, sealed: &SealedLedger, result: &crate::ledger::Result<()>) {
        let output = match result {
            Ok(()) => Output::Adopted { incarnations: sealed.incarnations() },
            Err(error) => Output::NotAdopted { error: error.to_string().into() },
        };
        self.step(now, Input::Adopt(sealed.clone()), vec![output]);
    }

    /// Records that the own ledger was sealed.
    pub fn sealed(&self, now: Moment, sealed: &SealedLedger) {
        self.step(now, Input::Seal, vec![Output::Sealed { entries: sealed.entry_count() }]);
    }

    fn step(&self, now: Moment, input: Input, outputs: Vec<Output>) {
        self.recorder.write(|writer| writer.step(self.machine, now, &input, &outputs));
    }
}
