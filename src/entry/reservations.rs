//! Asks the owners of target groups for slots, and tells them what runs.
//!
//! Load pattern: see `crate::reservation`. A request waits for an owner's answer for `ANSWER_TIMEOUT`
//! at most; it is then placed by what this host knows itself.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use tokio::{net::UdpSocket, sync::oneshot};

use super::{KnownTarget, LiveHost, TrafficState, View};
use crate::{
    event_log::Event,
    placement::{HealthSignal, ObjectTag, TargetTag, name_tag},
    prelude::*,
    reservation::{
        Answer, Ask, Grant, GroupKey, HeldSlots, MAX_REFRESHED, Message, OwnerCache, Refusal,
        Released, ReleasedEnd, ReservationId, SenderTag, Taken, group_of,
    },
};

/// Time after which an owner counts as silent. A round trip within a region takes a few
/// milliseconds; a caller's objective leaves room for this wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);

/// Time for which a silent owner is not asked.
const SILENCE_PAUSE: Duration = Duration::from_secs(1);

/// Time after which a reservation is refreshed. Leaves two ticks before it expires.
const REFRESH_AFTER: Duration = Duration::from_millis(600);

/// Pause after a failure to receive, so that one that lasts takes no processor time.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// What an owner answered.
pub(super) enum Reserved {
    Granted(Grant, Reservation),
    Refused(Refusal),
    /// The owner is silent or knows nothing of the service.
    Unanswered,
}

/// A group's owner.
#[derive(Clone, Debug)]
pub(super) struct Owner {
    addr: SocketAddr,
    host: HostId,
}

/// A request of this host that an owner counts.
#[derive(Debug)]
struct OwnRequest {
    end: ReleasedEnd,
    owner: Owner,
    refreshed_at: Moment,
    target: TargetTag,
}

/// Numbers of asks by how they ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AskCounts {
    pub granted: u64,
    pub refused: u64,
    pub unanswered: u64,
}

/// Reservations that this host made, and those that it counts as an owner.
#[derive(Default)]
pub(super) struct Reservations {
    pub counts: Cell<AskCounts>,
    /// Requests at the targets of the groups that this host owns.
    pub held: RefCell<HeldSlots>,
    next_id: Cell<ReservationId>,
    own: RefCell<HashMap<ReservationId, OwnRequest>>,
    owners: RefCell<OwnerCache>,
    pending: RefCell<HashMap<ReservationId, oneshot::Sender<Answer>>>,
    sender: Cell<SenderTag>,
    silent_since: RefCell<HashMap<HostId, Moment>>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
}

impl Reservations {
    fn send(&self, message: &Message, to: SocketAddr) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        match message.encode() {
            Ok(bytes) => {
                if let Err(error) = socket.try_send_to(&bytes, to) {
                    log::debug!("cannot send a datagram to {to}: {error}");
                }
            }
            Err(error) => log::error!("cannot encode a datagram: {error}"),
        }
    }

    fn new_id(&self) -> ReservationId {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        id
    }

    fn count(&self, add: impl FnOnce(&mut AskCounts)) {
        let mut counts = self.counts.get();
        add(&mut counts);
        self.counts.set(counts);
    }
}

impl TrafficState {
    /// Serves the datagrams of other hosts until the host ends.
    pub(super) async fn serve_reservations(self: Rc<Self>, socket: UdpSocket) {
        let socket = Rc::new(socket);
        let start = (&self.settings.host, self.clock.now());
        let tag = xxhash_rust::xxh3::xxh3_64(format!("{start:?}").as_bytes()) as SenderTag;
        self.reservations.sender.set(tag ^ rand::random::<SenderTag>());
        *self.reservations.socket.borrow_mut() = Some(socket.clone());
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (len, from) = match socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("receiving a datagram failed: {error}");
                    tokio::time::sleep(RECEIVE_RETRY_PAUSE).await;
                    continue;
                }
            };
            match Message::decode(&buf[..len]) {
                Ok(message) => self.handle_reservation(message, from),
                Err(error) => log::debug!("ignored a datagram of {from}: {error}"),
            }
        }
    }

    fn handle_reservation(self: &Rc<Self>, message: Message, from: SocketAddr) {
        let now = self.clock.now();
        match message {
            Message::Ask(ask) => {
                let answer = self.view().map_or(Answer::Unknown, |view| self.grant(&view, &ask));
                self.reservations.send(&Message::Reply { id: ask.id, answer }, from);
            }
            Message::Reply { id, answer } => {
                let pending = self.reservations.pending.borrow_mut().remove(&id);
                if let Some(pending) = pending {
                    let _ = pending.send(answer);
                }
            }
            Message::Taken(taken) => self.record_taken(&taken),
            Message::Released(released) => self.release_held(&released),
            Message::Refresh { sender, held } => {
                let mut slots = self.reservations.held.borrow_mut();
                held.iter().for_each(|(id, target)| slots.hold(sender, *id, *target, None, now));
            }
        }
    }

    /// Counts a request whose target its sender selected.
    fn record_taken(&self, taken: &Taken) {
        let now = self.clock.now();
        self.reservations.held.borrow_mut().hold(taken.sender, taken.id, taken.target, None, now);
        if let Some(object) = taken.object {
            self.cached_objects.borrow_mut().record_use(taken.target, object);
        }
    }

    /// Removes a request that has ended, and learns from its end.
    fn release_held(&self, released: &Released) {
        let held = self.reservations.held.borrow_mut().release(released.sender, released.id);
        let Some(held) = held else { return };
        let (Some(forecast), Some(view)) = (held.forecast, self.view()) else { return };
        let found = view.targets.iter().find_map(|(service, targets)| {
            let target = targets.iter().find(|target| target.tag == held.target)?;
            Some((service.clone(), target.clone()))
        });
        let Some((service, target)) = found else { return };
        let signal = match released.end {
            ReleasedEnd::Answered(ms) => HealthSignal::Answered(Duration::from_millis(ms.into())),
            ReleasedEnd::Failed => HealthSignal::Failed,
            ReleasedEnd::Full => HealthSignal::Full,
            ReleasedEnd::Other => return,
        };
        if released.sender != self.reservations.sender.get() {
            self.record_attempt_end(&target, &service, &forecast, signal);
        }
    }

    /// The owner of a group, unless it was silent a moment ago.
    pub(super) fn group_owner(&self, view: &View, group: GroupKey) -> Option<Owner> {
        self.reservations.socket.borrow().as_ref()?;
        let mut owners = self.reservations.owners.borrow_mut();
        let LiveHost { host, relay, .. } = owners.owner(group, &view.hosts)?;
        let silent_since = self.reservations.silent_since.borrow().get(host).copied();
        let now = self.clock.now();
        if silent_since.is_some_and(|at| now.saturating_sub(at) < SILENCE_PAUSE) {
            return None;
        }
        Some(Owner { addr: (*relay)?, host: host.clone() })
    }

    /// Asks an owner for a slot.
    pub(super) async fn ask_for_slot(self: Rc<Self>, owner: Owner, mut ask: Ask) -> Reserved {
        let reservations = &self.reservations;
        ask.sender = reservations.sender.get();
        ask.id = reservations.new_id();
        let id = ask.id;
        let answer = if owner.host == self.settings.host {
            self.view().map(|view| self.grant(&view, &ask))
        } else {
            let (tx, rx) = oneshot::channel();
            reservations.pending.borrow_mut().insert(id, tx);
            // A grant that arrives after the caller has left, or too late, is given back.
            let mut pending =
                PendingAsk { id, owner: owner.clone(), state: self.clone(), answered: false };
            reservations.send(&Message::Ask(ask), owner.addr);
            let answer = tokio::time::timeout(ANSWER_TIMEOUT, rx).await;
            let answer = answer.ok().and_then(std::result::Result::ok);
            pending.answered = answer.is_some();
            answer
        };
        match answer {
            Some(Answer::Granted(grant)) => {
                reservations.count(|counts| counts.granted += 1);
                let reservation = self.start_reservation(id, owner, grant.target);
                Reserved::Granted(grant, reservation)
            }
            Some(Answer::Refused(refusal)) => {
                reservations.count(|counts| counts.refused += 1);
                Reserved::Refused(refusal)
            }
            Some(Answer::Unknown) => Reserved::Unanswered,
            None => {
                reservations.count(|counts| counts.unanswered += 1);
                self.record_silent(&owner);
                Reserved::Unanswered
            }
        }
    }

    fn record_silent(&self, owner: &Owner) {
        let now = self.clock.now();
        let before = self.reservations.silent_since.borrow_mut().insert(owner.host.clone(), now);
        if before.is_none_or(|before| SILENCE_PAUSE <= now.saturating_sub(before)) {
            let waited_ms = ANSWER_TIMEOUT.as_millis() as u64;
            let event = Event::OwnerSilent { owner: owner.host.clone(), waited_ms };
            self.events.record(None, event);
        }
    }

    fn start_reservation(
        self: &Rc<Self>,
        id: ReservationId,
        owner: Owner,
        target: TargetTag,
    ) -> Reservation {
        let refreshed_at = self.clock.now();
        let request = OwnRequest { end: ReleasedEnd::Other, owner, refreshed_at, target };
        self.reservations.own.borrow_mut().insert(id, request);
        Reservation { id, state: self.clone() }
    }

    /// Tells the owner of a target that this host has selected it for a request.
    pub(super) fn announce_taken(
        self: &Rc<Self>,
        view: &View,
        target: &KnownTarget,
        object: Option<ObjectTag>,
    ) -> Option<Reservation> {
        if !self.parts.get().reservations.is_on {
            return None;
        }
        let owner = self.target_owner(view, target)?;
        let (sender, id) = (self.reservations.sender.get(), self.reservations.new_id());
        let taken = Taken { sender, id, target: target.tag, object };
        match owner.host == self.settings.host {
            true => self.record_taken(&taken),
            false => self.reservations.send(&Message::Taken(taken), owner.addr),
        }
        Some(self.start_reservation(id, owner, target.tag))
    }

    /// The owner of a target's group.
    fn target_owner(&self, view: &View, target: &KnownTarget) -> Option<Owner> {
        let service = name_tag(&target.entry.service);
        let count = self.group_count(view, &target.entry.service, &target.region);
        let group = group_of(target.tag, count);
        self.group_owner(view, (service, name_tag(&target.region), group))
    }

    /// Refreshes the reservations of requests that run for long, tells new owners what runs, and
    /// forgets what others have not refreshed.
    pub(super) fn update_reservations(&self, view: &View) {
        let now = self.clock.now();
        self.reservations.held.borrow_mut().remove_expired(now);
        let silent = |at: &Moment| now.saturating_sub(*at) < SILENCE_PAUSE;
        self.reservations.silent_since.borrow_mut().retain(|_, at| silent(at));
        if self.reservations.own.borrow().is_empty() {
            return;
        }
        let mut due: BTreeMap<SocketAddr, Vec<(ReservationId, TargetTag)>> = BTreeMap::new();
        let mut own = self.reservations.own.borrow_mut();
        for (id, request) in own.iter_mut() {
            let found = self.known_target(request.target);
            let owner = found.and_then(|target| self.target_owner(view, &target));
            let has_moved = owner.as_ref().is_some_and(|it| it.host != request.owner.host);
            if has_moved && let Some(owner) = owner {
                request.owner = owner;
            } else if now.saturating_sub(request.refreshed_at) < REFRESH_AFTER {
                continue;
            }
            request.refreshed_at = now;
            due.entry(request.owner.addr).or_default().push((*id, request.target));
        }
        drop(own);
        let sender = self.reservations.sender.get();
        for (addr, mut all) in due {
            all.sort_unstable();
            for held in all.chunks(MAX_REFRESHED) {
                let message = Message::Refresh { sender, held: held.to_vec() };
                self.reservations.send(&message, addr);
            }
        }
    }

    fn known_target(&self, tag: TargetTag) -> Option<Arc<KnownTarget>> {
        let services = self.services.borrow();
        let mut indexes = services.values().map(|state| &state.target_index);
        indexes.find_map(|index| index.get(tag).cloned())
    }
}

/// An ask that waits for its answer. Without one, the slot is given back in case it was granted.
struct PendingAsk {
    answered: bool,
    id: ReservationId,
    owner: Owner,
    state: Rc<TrafficState>,
}

impl Drop for PendingAsk {
    fn drop(&mut self) {
        let reservations = &self.state.reservations;
        reservations.pending.borrow_mut().remove(&self.id);
        if !self.answered {
            let (sender, id) = (reservations.sender.get(), self.id);
            let released = Released { sender, id, end: ReleasedEnd::Other };
            reservations.send(&Message::Released(released), self.owner.addr);
        }
    }
}

/// A request that an owner counts until the reservation is dropped.
pub struct Reservation {
    id: ReservationId,
    state: Rc<TrafficState>,
}

impl Reservation {
    pub(super) fn id(&self) -> ReservationId {
        self.id
    }
}

impl TrafficState {
    /// Records what the end of a request says of its target.
    pub(super) fn set_reservation_end(&self, id: Option<ReservationId>, signal: HealthSignal) {
        let end = match signal {
            HealthSignal::Answered(took) | HealthSignal::Began(took) => {
                ReleasedEnd::Answered(took.as_millis().min(u128::from(u16::MAX)) as u16)
            }
            HealthSignal::Failed => ReleasedEnd::Failed,
            HealthSignal::Full => ReleasedEnd::Full,
            // This host may be the one that is cut off.
            HealthSignal::Unreachable | HealthSignal::Cancelled(_) => ReleasedEnd::Other,
        };
        let mut own = self.reservations.own.borrow_mut();
        if let Some(request) = id.and_then(|id| own.get_mut(&id)) {
            request.end = end;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let reservations = &self.state.reservations;
        let Some(request) = reservations.own.borrow_mut().remove(&self.id) else { return };
        let sender = reservations.sender.get();
        let released = Released { sender, id: self.id, end: request.end };
        match request.owner.host == self.state.settings.host {
            true => self.state.release_held(&released),
            false => reservations.send(&Message::Released(released), request.owner.addr),
        }
    }
}
