//! The actor's state and its start.

use rand_chacha::ChaCha8Rng;
use xtra::{Actor, Address, Mailbox, WeakAddress};

use super::{
    manifest::Newcomer,
    messages::{Marked, PlatformHeard, Tick},
};
use crate::{
    daemon::{PeerLink, traffic::Traffic},
    drain::{DrainSet, ProgressTracker},
    ledger::SealedPart,
    manifest::ManifestStore,
    membership::{Baselines, Membership, MembershipEvent},
    prelude::*,
    store::Platform,
    tenure::TenureManager,
    timeline::{EventKind, EventSink, Recorder},
    view::View,
};

/// Messages that may wait for the actor; past it senders wait.
const MAILBOX: usize = 1024;

/// What the control side is built from.
pub struct ControlParts {
    pub clock: Arc<dyn Clock>,
    pub link: Arc<dyn PeerLink>,
    pub member: MemberId,
    pub membership: Membership,
    pub platform: Arc<dyn Platform>,
    pub recorder: Arc<Recorder>,
    pub rng: ChaCha8Rng,
    /// RPC addresses to start from.
    pub seeds: Vec<SocketAddr>,
    pub store: ManifestStore,
    pub traffic: Arc<Traffic>,
}

/// The control state of one host.
pub struct Control {
    pub(super) baselines: Baselines,
    pub(super) drains: DrainSet,
    /// Parts of sealed ledgers that are still incomplete, by the digest of the whole.
    pub(super) handovers: BTreeMap<String, Vec<SealedPart>>,
    pub(super) newcomer: Newcomer,
    pub(super) parts: ControlParts,
    pub(super) platform_at: Option<Moment>,
    /// Whether the last call to the platform failed; further ones are spaced out.
    pub(super) platform_fails: bool,
    pub(super) progress: ProgressTracker,
    /// Highest sequence that a pull is under way for.
    pub(super) pulling: Option<Sequence>,
    /// Whether a write of the drains to the platform is under way.
    pub(super) settling: bool,
    pub(super) shown: Option<Arc<View>>,
    pub(super) tenure: TenureManager,
}

impl Control {
    /// Starts the actor on the current runtime.
    pub fn spawn(mut parts: ControlParts) -> Address<Self> {
        // Also for later: after a long cut these addresses may be all that is left.
        parts.membership.add_seeds(parts.seeds.iter().copied());
        let own = parts.membership.own().clone();
        let control = Self {
            baselines: Baselines::default(),
            drains: DrainSet::new(own.id.clone()),
            handovers: BTreeMap::new(),
            newcomer: Newcomer::default(),
            parts,
            platform_at: None,
            platform_fails: false,
            progress: ProgressTracker::default(),
            pulling: None,
            settling: false,
            shown: None,
            tenure: TenureManager::new(own.id, own.incarnation, own.zone),
        };
        let traffic = control.parts.traffic.clone();
        let address = xtra::spawn_tokio(control, Mailbox::bounded(MAILBOX));
        tokio::spawn(tell_marks(traffic, address.downgrade()));
        address
    }

    pub(super) fn now(&self) -> Moment {
        self.parts.clock.now()
    }

    pub(super) fn note(&self, kind: EventKind) {
        self.parts.recorder.record(None, kind);
    }

    /// Puts what happened among the hosts on the time line.
    pub(super) fn note_members(&mut self, events: Vec<MembershipEvent>) {
        for event in events {
            let kind = match event {
                MembershipEvent::Joined(host) => EventKind::HostJoined { host: host.id },
                MembershipEvent::Left(host) => EventKind::HostLeft { host: host.id },
                MembershipEvent::Returned(host) => EventKind::HostJoined { host },
                MembershipEvent::Superseded => {
                    let host = self.parts.membership.own().id.clone();
                    log::error!("another process runs as host {host}: this one takes no more work");
                    // Peers no longer list this process; what callers still send here would be sent
                    // on without a right to any target.
                    self.parts.membership.leave();
                    self.parts.traffic.feed(crate::routing::Event::Leave);
                    EventKind::HostLeft { host }
                }
                MembershipEvent::Suspected(host) => EventKind::HostSuspected { host },
            };
            self.note(kind);
        }
    }

    /// Runs a call beside the actor and sends it what came of it.
    pub(super) fn beside<M>(
        me: WeakAddress<Self>,
        call: impl Future<Output = Option<M>> + Send + 'static,
    ) where
        Self: xtra::Handler<M>,
        M: Send + 'static,
    {
        tokio::spawn(async move {
            let Some(message) = call.await else { return };
            // A failed send means that the host is stopping.
            let _ = me.send(message).await;
        });
    }
}

/// Passes new suspicions on until the actor is gone.
async fn tell_marks(traffic: Arc<Traffic>, control: WeakAddress<Control>) {
    loop {
        traffic.marked().await;
        if control.send(Marked).await.is_err() {
            return;
        }
    }
}

impl Actor for Control {
    type Stop = ();

    async fn stopped(self) {}
}

impl xtra::Handler<Tick> for Control {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, cx: &mut xtra::Context<Self>) {
        let now = self.now();
        let events = self.parts.membership.tick(now);
        self.note_members(events);
        let me = cx.mailbox().address();
        self.tick_newcomer(&me);
        self.tick_tenure(&me);
        self.tick_drains(&me);
        self.tell_notes();
        self.exchange(me.clone());
        self.take_heard(me);
        self.publish();
    }
}

impl xtra::Handler<PlatformHeard> for Control {
    type Return = ();

    async fn handle(&mut self, heard: PlatformHeard, _cx: &mut xtra::Context<Self>) {
        if heard.answered {
            self.platform_at = Some(self.now());
        }
        let open = !heard.answered;
        if std::mem::replace(&mut self.platform_fails, open) != open {
            self.note(EventKind::BreakerMoved { open });
        }
    }
}
