//! The control actor's state and start.

use rand_chacha::ChaCha8Rng;
use xtra::{Actor, Address, Mailbox, WeakAddress};

use super::{
    manifest::Bootstrap,
    messages::{MarkAdded, PlatformCallResult, Tick},
};
use crate::{
    daemon::{PeerLink, traffic::TrafficHandler},
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

/// Messages that may be queued for the actor; when it is full, senders wait.
const MAILBOX_CAPACITY: usize = 1024;

/// What the control actor is built from.
pub struct ControlDependencies {
    pub clock: Arc<dyn Clock>,
    pub link: Arc<dyn PeerLink>,
    pub member: MemberId,
    pub membership: Membership,
    pub platform: Arc<dyn Platform>,
    pub recorder: Arc<Recorder>,
    pub rng: ChaCha8Rng,
    /// RPC addresses of the hosts to contact first.
    pub seeds: Vec<SocketAddr>,
    pub store: ManifestStore,
    pub traffic: Arc<TrafficHandler>,
}

/// The control actor of one host, with its state.
pub struct ControlActor {
    pub(super) baselines: Baselines,
    pub(super) drains: DrainSet,
    /// Parts of sealed ledgers that are still incomplete, by the digest of the whole.
    pub(super) handovers: BTreeMap<String, Vec<SealedPart>>,
    pub(super) bootstrap: Bootstrap,
    pub(super) deps: ControlDependencies,
    pub(super) platform_answered_at: Option<Moment>,
    /// Whether the last call to the platform failed; this is shown as an open breaker.
    pub(super) platform_fails: bool,
    pub(super) progress: ProgressTracker,
    /// Sequence of the manifest that is being fetched from a peer.
    pub(super) fetching: Option<Sequence>,
    /// Whether a sync of the drains with the platform is in progress.
    pub(super) syncing_drains: bool,
    pub(super) published: Option<Arc<View>>,
    pub(super) tenure: TenureManager,
}

impl ControlActor {
    /// Starts the actor on the current runtime.
    pub fn spawn(mut deps: ControlDependencies) -> Address<Self> {
        // The seeds are also kept for later: after a long network partition they may be the only
        // addresses left.
        deps.membership.add_seeds(deps.seeds.iter().copied());
        let own = deps.membership.own().clone();
        let control = Self {
            baselines: Baselines::default(),
            drains: DrainSet::new(own.id.clone()),
            handovers: BTreeMap::new(),
            bootstrap: Bootstrap::default(),
            deps,
            platform_answered_at: None,
            platform_fails: false,
            progress: ProgressTracker::default(),
            fetching: None,
            syncing_drains: false,
            published: None,
            tenure: TenureManager::new(own.id, own.incarnation, own.zone),
        };
        let traffic = control.deps.traffic.clone();
        let address = xtra::spawn_tokio(control, Mailbox::bounded(MAILBOX_CAPACITY));
        tokio::spawn(forward_marks(traffic, address.downgrade()));
        address
    }

    pub(super) fn now(&self) -> Moment {
        self.deps.clock.now()
    }

    pub(super) fn record(&self, kind: EventKind) {
        self.deps.recorder.record(None, kind);
    }

    /// Records membership events on the time line.
    pub(super) fn record_membership_events(&mut self, events: Vec<MembershipEvent>) {
        for event in events {
            let kind = match event {
                MembershipEvent::Joined(host) => EventKind::HostJoined { host: host.id },
                MembershipEvent::Left(host) => EventKind::HostLeft { host: host.id },
                MembershipEvent::Returned(host) => EventKind::HostJoined { host },
                MembershipEvent::Superseded => {
                    let host = self.deps.membership.own().id.clone();
                    log::error!(
                        "another process runs as host {host}: this one accepts no more requests"
                    );
                    // Peers no longer list this process. Without leaving, it would still forward
                    // callers' requests although it holds no lease on any target.
                    self.deps.membership.leave();
                    self.deps.traffic.handle_event(crate::routing::Event::Leave);
                    EventKind::HostLeft { host }
                }
                MembershipEvent::Suspected(host) => EventKind::HostSuspected { host },
            };
            self.record(kind);
        }
    }

    /// Runs a call in a separate task and sends its result, if any, to the actor.
    pub(super) fn spawn_call<M>(
        address: WeakAddress<Self>,
        call: impl Future<Output = Option<M>> + Send + 'static,
    ) where
        Self: xtra::Handler<M>,
        M: Send + 'static,
    {
        tokio::spawn(async move {
            let Some(message) = call.await else { return };
            // A failed send means that the host is stopping.
            let _ = address.send(message).await;
        });
    }
}

/// Notifies the actor of each new quarantine mark until the actor is gone.
async fn forward_marks(traffic: Arc<TrafficHandler>, control: WeakAddress<ControlActor>) {
    loop {
        traffic.wait_for_mark().await;
        if control.send(MarkAdded).await.is_err() {
            return;
        }
    }
}

impl Actor for ControlActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl xtra::Handler<Tick> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, cx: &mut xtra::Context<Self>) {
        let now = self.now();
        let events = self.deps.membership.tick(now);
        self.record_membership_events(events);
        let address = cx.mailbox().address();
        self.tick_bootstrap(&address);
        self.tick_tenure(&address);
        self.tick_drains(&address);
        self.update_payload();
        self.start_exchanges(address.clone());
        self.apply_received(address);
        self.publish();
    }
}

impl xtra::Handler<PlatformCallResult> for ControlActor {
    type Return = ();

    async fn handle(&mut self, result: PlatformCallResult, _cx: &mut xtra::Context<Self>) {
        if result.answered {
            self.platform_answered_at = Some(self.now());
        }
        let open = !result.answered;
        if std::mem::replace(&mut self.platform_fails, open) != open {
            self.record(EventKind::BreakerMoved { open });
        }
    }
}
