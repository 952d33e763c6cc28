//! The request decisions of a host as a machine that can be recorded and replayed.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Machine, Outcome, Trace};
use crate::{
    ledger::SealedLedger,
    manifest::Manifest,
    prelude::*,
    routing::{Action, Event, Router, RouterLimits},
    view::View,
};

/// A trace of the request decisions.
pub type SteerTrace = Trace<Setup, Input, Output, Outcome>;

/// How one incarnation of a host starts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub limits: RouterLimits,
}

/// Whatever changes the state of the decisions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Input {
    /// The sealed ledger of a stopping host arrives.
    Adopt(SealedLedger),
    Event(Event),
    /// The own ledger is closed for a successor.
    Seal,
}

/// Whatever the decisions give back.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Output {
    Action(Action),
    Adopted { incarnations: Vec<Incarnation> },
    NotAdopted { error: Arc<str> },
    Sealed { entries: usize },
}

/// The decisions of one host with their random numbers.
pub struct SteerMachine {
    manifest: Option<Arc<Manifest>>,
    rng: ChaCha8Rng,
    steer: Router,
}

impl SteerMachine {
    /// The decisions, for what reads them only.
    pub fn steer(&self) -> &Router {
        &self.steer
    }

    /// Closes the ledger and gives it, as the input `Seal` does.
    pub fn seal(&mut self, now: Moment) -> (SealedLedger, Vec<Output>) {
        let sealed = self.steer.seal(now);
        let entries = sealed.entry_count();
        (sealed, vec![Output::Sealed { entries }])
    }

    /// A manifest that has not changed is the same object again, as in the running host: the
    /// decisions build their tables anew when they are shown another one.
    fn share_manifest(&mut self, view: Arc<View>) -> Arc<View> {
        if let Some(known) = &self.manifest
            && !Arc::ptr_eq(known, &view.manifest)
            && **known == *view.manifest
        {
            return Arc::new(View { manifest: known.clone(), ..(*view).clone() });
        }
        self.manifest = Some(view.manifest.clone());
        view
    }

    fn event(&mut self, event: Event, now: Moment) -> Vec<Output> {
        let event = match event {
            Event::Viewed { view } => Event::Viewed { view: self.share_manifest(view) },
            event => event,
        };
        let actions = self.steer.handle(event, now, &mut self.rng);
        actions.into_iter().map(Output::Action).collect()
    }
}

impl Machine for SteerMachine {
    type Action = Output;
    type Event = Input;
    type State = Setup;

    fn start(seed: u64, state: &Setup) -> Self {
        Self {
            manifest: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            steer: Router::new(state.host.clone(), state.incarnation, state.limits.clone()),
        }
    }

    fn on(&mut self, input: &Input, now: Moment) -> Vec<Output> {
        match input {
            Input::Adopt(sealed) => {
                let incarnations = sealed.incarnations();
                match self.steer.adopt(sealed.clone(), now) {
                    Ok(()) => vec![Output::Adopted { incarnations }],
                    Err(error) => vec![Output::NotAdopted { error: error.to_string().into() }],
                }
            }
            Input::Event(event) => self.event(event.clone(), now),
            Input::Seal => self.seal(now).1,
        }
    }
}
