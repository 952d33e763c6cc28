//! The ledger of one host.

use super::{
    BeginOutcome, Error, ExecutionOutcome, IdempotencyKey, KeptAnswer, LedgerLimits, RequestDigest,
    Result, SealedLedger,
    answer_budget::{AnswerBudget, Place},
    digest::{KeyDigest, key_digest},
    generation::{Entry, GenerationTable, State},
    history::{History, Known},
    sealed::SealedHistory,
};
use crate::{base::invariant, prelude::*};

/// Which requests this incarnation has run, and those of the stopped hosts it took over from.
#[derive(Clone, Debug)]
pub struct Ledger {
    adopted: BTreeMap<Incarnation, History>,
    budget: AnswerBudget,
    incarnation: Incarnation,
    limits: LedgerLimits,
    own: History,
    sealed: bool,
    /// When the current generation began.
    since: Moment,
}

impl Ledger {
    /// An empty ledger. The incarnation must be drawn at random for each start of the process.
    pub fn new(host: HostId, incarnation: Incarnation, limits: LedgerLimits) -> Self {
        let mut own = History::new(host);
        own.generations.insert(0, GenerationTable::new(limits.lifetime()));
        Self {
            adopted: BTreeMap::new(),
            budget: AnswerBudget::default(),
            incarnation,
            limits,
            own,
            sealed: false,
            since: Moment::ZERO,
        }
    }

    /// The binding that look-ups give out now.
    pub fn binding(&self) -> Binding {
        Binding {
            generation: self.own.newest,
            host: self.own.host.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Incarnations of stopped hosts that this ledger answers for, sorted.
    pub fn adopted_incarnations(&self) -> Vec<Incarnation> {
        self.adopted.keys().copied().collect()
    }

    /// Own entries and those taken over.
    pub fn len(&self) -> usize {
        self.own.len() + self.adopted.values().map(History::len).sum::<usize>()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes of kept answers.
    pub fn answer_bytes(&self) -> usize {
        self.budget.bytes()
    }

    /// Whether the entry that must stand before a request is sent does stand.
    pub fn is_running(&self, binding: &Binding, key: &IdempotencyKey) -> bool {
        let table = self.own.generations.get(&binding.generation);
        let entry = table.and_then(|table| table.entries.get(&key_digest(key)));
        self.is_own(binding) && entry.is_some_and(|entry| matches!(entry.state, State::Running))
    }

    /// Asks whether a request may run; on `Fresh` its entry is made.
    pub fn begin(
        &mut self,
        binding: &Binding,
        key: &IdempotencyKey,
        digest: RequestDigest,
        _request: &RequestId,
        now: Moment,
    ) -> BeginOutcome {
        self.rotate(now);
        let key = key_digest(key);
        if !self.is_own(binding) {
            return self.begin_adopted(binding, &key, &digest);
        }
        match self.own.look(binding.generation, &key, &digest) {
            Known::Said(begin) => begin,
            Known::Runnable if self.sealed => BeginOutcome::Sealed,
            Known::Runnable => self.enter(binding.generation, key, digest),
        }
    }

    /// A new key of a stopped host: the sealed ledger names all that it ever took on, so the key
    /// was not run there, and it is not run here either (see the module's docs).
    fn begin_adopted(
        &self,
        binding: &Binding,
        key: &KeyDigest,
        digest: &RequestDigest,
    ) -> BeginOutcome {
        let Some(history) = self.adopted.get(&binding.incarnation) else {
            return BeginOutcome::UnknownBinding;
        };
        if history.host != binding.host {
            return BeginOutcome::UnknownBinding;
        }
        match history.look(binding.generation, key, digest) {
            Known::Said(begin) => begin,
            Known::Runnable => BeginOutcome::Sealed,
        }
    }

    fn enter(&mut self, number: Generation, key: KeyDigest, body: RequestDigest) -> BeginOutcome {
        let full = self.limits.entries <= self.own.len();
        let Some(table) = self.own.generations.get_mut(&number) else {
            return BeginOutcome::GenerationDropped;
        };
        if full {
            table.closed = true;
            return BeginOutcome::Full;
        }
        table.entries.insert(key, Entry { body, state: State::Running });
        BeginOutcome::Accepted
    }

    /// Writes down how a request ended. Called once for each `Fresh`.
    pub fn end(
        &mut self,
        binding: &Binding,
        key: &IdempotencyKey,
        end: ExecutionOutcome,
        now: Moment,
    ) {
        self.rotate(now);
        let key = key_digest(key);
        let is_own = self.is_own(binding);
        let state = self.own.state_mut(binding.generation, &key).filter(|_| is_own);
        let running = state.as_ref().is_some_and(|state| matches!(state, State::Running));
        invariant::hold(running, "ledger-end-follows-begin", || format!("{binding}: {end:?}"));
        let Some(state) = state.filter(|_| running) else { return };
        match end {
            ExecutionOutcome::Answered(answer) => {
                *state = State::Fact(answer.status);
                let place =
                    Place { generation: binding.generation, incarnation: self.incarnation, key };
                self.keep(place, answer);
            }
            ExecutionOutcome::NotRun => *state = State::NotRun,
            ExecutionOutcome::Unknown => *state = State::Unknown,
        }
    }

    /// Keeps the answer of an entry that stands as a fact, if it fits.
    fn keep(&mut self, place: Place, answer: Arc<KeptAnswer>) {
        let limit = self.limits.answer_bytes;
        let Some(evicted) = self.budget.add(place.clone(), answer.cost(), limit) else { return };
        for old in evicted {
            if let Some(state) = self.state_mut(&old)
                && let State::Answered(answer) = state
            {
                *state = State::Fact(answer.status);
            }
        }
        if let Some(state) = self.state_mut(&place) {
            *state = State::Answered(answer);
        }
    }

    fn state_mut(&mut self, place: &Place) -> Option<&mut State> {
        let history = if place.incarnation == self.incarnation {
            &mut self.own
        } else {
            self.adopted.get_mut(&place.incarnation)?
        };
        history.state_mut(place.generation, &place.key)
    }

    /// Drops old generations whole, and starts a new one when the current one has come of age, or
    /// when it was closed for want of room and there is room again.
    pub fn rotate(&mut self, now: Moment) {
        self.drop_expired(now);
        let current = self.own.generations.get(&self.own.newest);
        let is_closed = current.is_none_or(|table| table.closed);
        let is_reopened = is_closed && self.own.len() < self.limits.entries;
        let is_old = self.limits.generation_age <= now.saturating_sub(self.since);
        if self.sealed || !(is_old || is_reopened) {
            return;
        }
        self.since = now;
        self.own.newest += 1;
        let table = GenerationTable::new(now + self.limits.lifetime());
        self.own.generations.insert(self.own.newest, table);
    }

    fn drop_expired(&mut self, now: Moment) {
        let mut dropped: Vec<(Incarnation, Generation)> = Vec::new();
        dropped.extend(self.own.expire(now).into_iter().map(|number| (self.incarnation, number)));
        for (incarnation, history) in &mut self.adopted {
            dropped.extend(history.expire(now).into_iter().map(|number| (*incarnation, number)));
        }
        if dropped.is_empty() {
            return;
        }
        self.adopted.retain(|_, history| !history.generations.is_empty());
        self.budget.release(|place| dropped.contains(&(place.incarnation, place.generation)));
    }

    /// Ends the taking of new keys for good; what runs goes on.
    pub fn close(&mut self) {
        self.sealed = true;
    }

    /// Closes, and gives all that is known, for a successor. Requests that still run may end
    /// here; the successor calls them unknown.
    pub fn seal(&mut self, now: Moment) -> SealedLedger {
        self.rotate(now);
        self.close();
        let mut histories = vec![self.own.seal(self.incarnation, now)];
        let adopted = self.adopted.iter();
        histories.extend(adopted.map(|(incarnation, history)| history.seal(*incarnation, now)));
        SealedLedger::new(histories)
    }

    /// Answers for a stopped host from now on. All of it is taken over or nothing.
    pub fn adopt(&mut self, sealed: SealedLedger, now: Moment) -> Result<()> {
        sealed.check()?;
        if self.sealed {
            return Err(Error::Sealed);
        }
        let own = sealed.histories.iter().find(|one| one.incarnation == self.incarnation);
        if let Some(own) = own {
            return Err(Error::OwnIncarnation(own.incarnation));
        }
        self.rotate(now);
        let held: usize = self.adopted.values().map(History::len).sum();
        if self.limits.adopted_entries < held + sealed.entry_count() {
            return Err(Error::NoRoom(sealed.entry_count()));
        }
        for history in sealed.histories {
            self.adopt_history(history, now);
        }
        Ok(())
    }

    fn adopt_history(&mut self, sealed: SealedHistory, now: Moment) {
        let SealedHistory { generations, host, incarnation, newest } = sealed;
        let most = self.limits.lifetime();
        let history = self.adopted.entry(incarnation).or_insert_with(|| History::new(host));
        history.newest = history.newest.max(newest);
        for generation in generations {
            history.merge(generation, now, most);
        }
        self.budget.release(|place| place.incarnation == incarnation);
        self.keep_adopted(incarnation);
    }

    /// Counts the answers that came with a history; those that do not fit become facts.
    fn keep_adopted(&mut self, incarnation: Incarnation) {
        let Some(history) = self.adopted.get_mut(&incarnation) else { return };
        let mut answers = Vec::new();
        for (number, table) in &mut history.generations {
            for (key, entry) in &mut table.entries {
                let State::Answered(answer) = &entry.state else { continue };
                let answer = answer.clone();
                entry.state = State::Fact(answer.status);
                answers.push((Place { generation: *number, incarnation, key: *key }, answer));
            }
        }
        for (place, answer) in answers {
            self.keep(place, answer);
        }
    }

    fn is_own(&self, binding: &Binding) -> bool {
        binding.incarnation == self.incarnation && binding.host == self.own.host
    }
}
