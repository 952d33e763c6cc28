//! The ledger of one host.

use super::{
    BeginOutcome, Error, ExecutionOutcome, IdempotencyKey, KeptAnswer, LedgerLimits, RequestDigest,
    Result, SealedLedger,
    answer_budget::{AnswerBudget, EntryId},
    digest::{KeyDigest, key_digest},
    generation::{Entry, EntryState, GenerationTable},
    history::{History, KeyStatus},
    sealed::SealedHistory,
};
use crate::{base::invariant, prelude::*};

/// Records the requests that this incarnation accepted, and those adopted from stopped hosts.
#[derive(Clone, Debug)]
pub struct Ledger {
    adopted: BTreeMap<Incarnation, History>,
    budget: AnswerBudget,
    incarnation: Incarnation,
    limits: LedgerLimits,
    own: History,
    /// Whether the ledger is closed to new keys.
    sealed: bool,
    generation_started_at: Moment,
}

impl Ledger {
    /// Creates an empty ledger. The incarnation must be drawn at random at each start of the
    /// process.
    pub fn new(host: HostId, incarnation: Incarnation, limits: LedgerLimits) -> Self {
        let mut own = History::new(host);
        own.generations.insert(0, GenerationTable::new(limits.generation_lifetime()));
        Self {
            adopted: BTreeMap::new(),
            budget: AnswerBudget::default(),
            incarnation,
            limits,
            own,
            sealed: false,
            generation_started_at: Moment::ZERO,
        }
    }

    /// The binding that look-up responses carry now.
    pub fn binding(&self) -> Binding {
        Binding {
            generation: self.own.newest,
            host: self.own.host.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Incarnations of stopped hosts whose entries were adopted, sorted.
    pub fn adopted_incarnations(&self) -> Vec<Incarnation> {
        self.adopted.keys().copied().collect()
    }

    /// Number of entries, own and adopted.
    pub fn len(&self) -> usize {
        self.own.len() + self.adopted.values().map(History::len).sum::<usize>()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn answer_bytes(&self) -> usize {
        self.budget.bytes()
    }

    /// Whether the key has an own entry of a running request. Must be true before a request is
    /// sent.
    pub fn is_running(&self, binding: &Binding, key: &IdempotencyKey) -> bool {
        let table = self.own.generations.get(&binding.generation);
        let entry = table.and_then(|table| table.entries.get(&key_digest(key)));
        self.is_own(binding)
            && entry.is_some_and(|entry| matches!(entry.state, EntryState::Running))
    }

    /// Decides whether a request may run. On `Accepted` its entry is recorded.
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
        match self.own.find(binding.generation, &key, &digest) {
            KeyStatus::Decided(outcome) => outcome,
            KeyStatus::New if self.sealed => BeginOutcome::Sealed,
            KeyStatus::New => self.insert_entry(binding.generation, key, digest),
        }
    }

    /// Answers for an adopted binding. The sealed ledger holds all keys that the stopped host
    /// accepted, so a new key did not run there; it does not run here either (see the module docs).
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
        match history.find(binding.generation, key, digest) {
            KeyStatus::Decided(outcome) => outcome,
            KeyStatus::New => BeginOutcome::Sealed,
        }
    }

    fn insert_entry(
        &mut self,
        generation: Generation,
        key: KeyDigest,
        body: RequestDigest,
    ) -> BeginOutcome {
        let full = self.limits.entries <= self.own.len();
        let Some(table) = self.own.generations.get_mut(&generation) else {
            return BeginOutcome::GenerationDropped;
        };
        if full {
            table.closed = true;
            return BeginOutcome::Full;
        }
        table.entries.insert(key, Entry { body, state: EntryState::Running });
        BeginOutcome::Accepted
    }

    /// Records the outcome of a request. Must be called once for each `Accepted`.
    pub fn end(
        &mut self,
        binding: &Binding,
        key: &IdempotencyKey,
        outcome: ExecutionOutcome,
        now: Moment,
    ) {
        self.rotate(now);
        let key = key_digest(key);
        let is_own = self.is_own(binding);
        let state = self.own.state_mut(binding.generation, &key).filter(|_| is_own);
        let running = state.as_ref().is_some_and(|state| matches!(state, EntryState::Running));
        invariant::check(running, "ledger-end-follows-begin", || format!("{binding}: {outcome:?}"));
        let Some(state) = state.filter(|_| running) else { return };
        match outcome {
            ExecutionOutcome::Answered(answer) => {
                *state = EntryState::AnswerNotKept(answer.status);
                let id =
                    EntryId { generation: binding.generation, incarnation: self.incarnation, key };
                self.keep_answer(id, answer);
            }
            ExecutionOutcome::NotRun => *state = EntryState::NotRun,
            ExecutionOutcome::Unknown => *state = EntryState::Unknown,
        }
    }

    /// Keeps the answer of an `AnswerNotKept` entry if it fits into the byte limit, evicting the
    /// oldest answers.
    fn keep_answer(&mut self, id: EntryId, answer: Arc<KeptAnswer>) {
        let limit = self.limits.answer_bytes;
        let Some(evicted) = self.budget.add(id.clone(), answer.memory_bytes(), limit) else {
            return;
        };
        for old in evicted {
            if let Some(state) = self.state_mut(&old)
                && let EntryState::Answered(answer) = state
            {
                *state = EntryState::AnswerNotKept(answer.status);
            }
        }
        if let Some(state) = self.state_mut(&id) {
            *state = EntryState::Answered(answer);
        }
    }

    fn state_mut(&mut self, id: &EntryId) -> Option<&mut EntryState> {
        let history = if id.incarnation == self.incarnation {
            &mut self.own
        } else {
            self.adopted.get_mut(&id.incarnation)?
        };
        history.state_mut(id.generation, &id.key)
    }

    /// Drops expired generations. Starts a new one when the current one has reached
    /// `generation_age`, or when it was closed because the ledger was full and there is room again.
    pub fn rotate(&mut self, now: Moment) {
        self.drop_expired(now);
        let current = self.own.generations.get(&self.own.newest);
        let is_closed = current.is_none_or(|table| table.closed);
        let is_reopened = is_closed && self.own.len() < self.limits.entries;
        let is_old = self.limits.generation_age <= now.saturating_sub(self.generation_started_at);
        if self.sealed || !(is_old || is_reopened) {
            return;
        }
        self.generation_started_at = now;
        self.own.newest += 1;
        let table = GenerationTable::new(now + self.limits.generation_lifetime());
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
        self.budget.release(|id| dropped.contains(&(id.incarnation, id.generation)));
    }

    /// Stops accepting new keys for good; running requests continue.
    pub fn close(&mut self) {
        self.sealed = true;
    }

    /// Closes the ledger and returns all entries for a successor. Requests that are still running
    /// may end here; the successor reports their outcome as unknown.
    pub fn seal(&mut self, now: Moment) -> SealedLedger {
        self.rotate(now);
        self.close();
        let mut histories = vec![self.own.seal(self.incarnation, now)];
        let adopted = self.adopted.iter();
        histories.extend(adopted.map(|(incarnation, history)| history.seal(*incarnation, now)));
        SealedLedger::new(histories)
    }

    /// Adopts the entries of a stopped host, either all or none.
    pub fn adopt(&mut self, sealed: SealedLedger, now: Moment) -> Result<()> {
        sealed.check_version()?;
        if self.sealed {
            return Err(Error::Sealed);
        }
        let own = sealed.histories.iter().find(|history| history.incarnation == self.incarnation);
        if let Some(own) = own {
            return Err(Error::OwnIncarnation(own.incarnation));
        }
        self.rotate(now);
        let adopted_entries: usize = self.adopted.values().map(History::len).sum();
        if self.limits.adopted_entries < adopted_entries + sealed.entry_count() {
            return Err(Error::NoRoom(sealed.entry_count()));
        }
        for history in sealed.histories {
            self.adopt_history(history, now);
        }
        Ok(())
    }

    fn adopt_history(&mut self, sealed: SealedHistory, now: Moment) {
        let SealedHistory { generations, host, incarnation, newest } = sealed;
        let max_retention = self.limits.generation_lifetime();
        let history = self.adopted.entry(incarnation).or_insert_with(|| History::new(host));
        history.newest = history.newest.max(newest);
        for generation in generations {
            history.merge(generation, now, max_retention);
        }
        self.budget.release(|id| id.incarnation == incarnation);
        self.keep_adopted_answers(incarnation);
    }

    /// Adds the answers of an adopted history to the byte budget. Those that do not fit are reduced
    /// to their status.
    fn keep_adopted_answers(&mut self, incarnation: Incarnation) {
        let Some(history) = self.adopted.get_mut(&incarnation) else { return };
        let mut answers = Vec::new();
        for (number, table) in &mut history.generations {
            for (key, entry) in &mut table.entries {
                let EntryState::Answered(answer) = &entry.state else { continue };
                let answer = answer.clone();
                entry.state = EntryState::AnswerNotKept(answer.status);
                answers.push((EntryId { generation: *number, incarnation, key: *key }, answer));
            }
        }
        for (id, answer) in answers {
            self.keep_answer(id, answer);
        }
    }

    fn is_own(&self, binding: &Binding) -> bool {
        binding.incarnation == self.incarnation && binding.host == self.own.host
    }
}
