//! Control: the platform, exchanges between hosts, the right to targets, manifests.

use rand::Rng;

use super::{
    FaultKind,
    checker::Promise,
    fixture::{HOSTS, ZONES, signed, zone_of_host},
    message::{Item, Place, Process},
    world::World,
};
use crate::{
    manifest::{OfferOutcome, SignedManifest},
    membership::Digest,
    prelude::*,
    routing::Event,
    store::{Expect, Version},
    tenure::{self, Action, ReadResult, WriteResult, ZoneTenure},
};

/// Until an accepted manifest must be in force at every host that can be reached.
const IN_FORCE_AFTER: Duration = Duration::from_secs(19);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_secs(1);

/// The platform's store.
pub(super) struct FakePlatform {
    pub(super) accepted_at: Moment,
    drained: Option<usize>,
    pub(super) manifest: SignedManifest,
    pub(super) sequence: Sequence,
    tenures: BTreeMap<usize, (ZoneTenure, Version)>,
    version: Version,
}

impl FakePlatform {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            accepted_at: now,
            drained: None,
            manifest: signed(1, None),
            sequence: 1,
            tenures: BTreeMap::new(),
            version: 1,
        }
    }

    /// The target that the accepted manifest retires.
    pub(super) fn drained(&self) -> Option<usize> {
        self.drained
    }
}

impl World {
    pub(super) fn tick(&mut self, process: Process) {
        let now = self.now;
        let Some(running) = self.running(process) else { return };
        let local = running.local(now);
        let generation = running.steer.binding().generation;
        if running.membership.own().generation != generation {
            running.membership.set_generation(generation);
        }
        let notes = running.notes(now);
        running.membership.set_payload(notes);
        running.membership.tick(local);
        let partners = running.membership.choose_partners(local, &mut running.rng);
        let mut digests = Vec::new();
        for partner in partners {
            digests.push((partner.rpc, running.membership.digest_for(&partner, local)));
        }
        let hosts = running.zone_hosts(local);
        let mut actions = running.keeper.handle(tenure::Event::LiveHosts(hosts), local);
        actions.extend(running.keeper.handle(tenure::Event::Tick, local));
        for (rpc, digest) in digests {
            let to = host_of_rpc(rpc);
            let item = Item::Exchange { digest: Box::new(digest), from: process, sent: local, to };
            self.send_to(Place::Host(process.host), Place::Host(to), item);
        }
        self.keep(process, actions);
        self.show(process.host);
        self.steer(process.host, Event::Tick);
        self.check_manifest(process.host);
        self.push(TICK, Item::Tick { process });
    }

    /// Shows the decisions what the host now knows.
    pub(super) fn show(&mut self, host: usize) {
        let now = self.now;
        let Some(running) = self.hosts[host].running.as_ref() else { return };
        if let Some(view) = running.view(running.local(now)) {
            self.steer(host, Event::Viewed { view: Arc::new(view) });
        }
    }

    pub(super) fn keep(&mut self, by: Process, actions: Vec<Action>) {
        for action in actions {
            let Some(running) = self.hosts[by.host].running.as_ref() else { return };
            let sent = running.local(self.now);
            let item = match action {
                Action::Note(kind) => {
                    self.note(by.host, &kind, None);
                    continue;
                }
                Action::Read => Item::PlatformRead { by, sent },
                Action::Write { expect, object } => {
                    let expect = match expect {
                        Expect::Absent => 0,
                        Expect::Version(version) => version,
                    };
                    Item::PlatformWrite { by, expect, object, sent }
                }
            };
            self.call_platform(by, sent, item);
        }
    }

    fn call_platform(&mut self, by: Process, sent: Moment, item: Item) {
        let is_read = matches!(item, Item::PlatformRead { .. });
        let away = self.is_active(FaultKind::PlatformDown)
            || self.is_cut(Place::Host(by.host), Place::Platform);
        if away {
            let event = failed(is_read, sent);
            return self.push(CALL_TIMEOUT, Item::Tenure { event, to: by });
        }
        if self.is_active(FaultKind::PlatformSlow) {
            let slow = Duration::from_millis(self.rng.random_range(200..9_000));
            return self.push(slow, item);
        }
        self.send_to(Place::Host(by.host), Place::Platform, item);
    }

    fn platform_tells(&mut self, to: Process, event: tenure::Event) {
        let (is_read, sent) = match &event {
            tenure::Event::ReadDone { sent, .. } => (true, *sent),
            tenure::Event::WriteDone { sent, .. } => (false, *sent),
            _ => return,
        };
        let lost = self.is_active(FaultKind::PlatformLosesAnswers) && self.rng.random_bool(0.5);
        if lost || self.is_cut(Place::Platform, Place::Host(to.host)) {
            let event = failed(is_read, sent);
            return self.push(CALL_TIMEOUT, Item::Tenure { event, to });
        }
        self.send_to(Place::Platform, Place::Host(to.host), Item::Tenure { event, to });
    }

    /// A read of the zone's list; the watch of the manifest rides along.
    pub(super) fn platform_read(&mut self, by: Process, sent: Moment) {
        let found = self.platform.tenures.get(&zone_of_host(by.host)).cloned();
        let result =
            found.map_or(ReadResult::Absent, |(list, version)| ReadResult::Found(list, version));
        self.platform_tells(by, tenure::Event::ReadDone { result, sent });
        let signed = self.platform.manifest.clone();
        let item = Item::Manifest { signed, to: by };
        self.send_to(Place::Platform, Place::Host(by.host), item);
    }

    pub(super) fn platform_write(
        &mut self,
        by: Process,
        expect: Version,
        object: ZoneTenure,
        sent: Moment,
    ) {
        let zone = zone_of_host(by.host);
        let held = self.platform.tenures.get(&zone).map_or(0, |(_, version)| *version);
        let result = if held == expect {
            self.platform.version += 1;
            let version = self.platform.version;
            self.digest(&format!("{}: {object:?}", ZONES[zone].1));
            self.platform.tenures.insert(zone, (object, version));
            WriteResult::Written(version)
        } else {
            WriteResult::Conflict
        };
        self.platform_tells(by, tenure::Event::WriteDone { result, sent });
    }

    pub(super) fn tenure(&mut self, event: tenure::Event, to: Process) {
        let now = self.now;
        let Some(running) = self.running(to) else { return };
        let actions = running.keeper.handle(event, running.local(now));
        self.keep(to, actions);
        self.show(to.host);
    }

    pub(super) fn exchange(&mut self, digest: &Digest, from: Process, sent: Moment, to: usize) {
        let now = self.now;
        let Some(running) = self.hosts[to].running.as_mut() else { return };
        let answer = running.membership.receive(digest, running.local(now));
        let item = Item::Exchanged { digest: Box::new(answer), from: to, sent, to: from };
        self.send_to(Place::Host(to), Place::Host(from.host), item);
        self.take_heard(to);
    }

    pub(super) fn exchanged(&mut self, digest: Digest, from: usize, sent: Moment, to: Process) {
        let now = self.now;
        let Some(running) = self.running(to) else { return };
        let local = running.local(now);
        let (fence, host) = (digest.tenure_fence, digest.from.view.id.clone());
        running.membership.apply_response(digest, local);
        self.take_heard(to.host);
        if zone_of_host(from) != zone_of_host(to.host) {
            return;
        }
        let Some(running) = self.running(to) else { return };
        let actions =
            running.keeper.handle(tenure::Event::Acknowledged { fence, host, sent }, local);
        self.keep(to, actions);
        self.show(to.host);
    }

    /// Passes on what came along in an exchange.
    fn take_heard(&mut self, host: usize) {
        let now = self.now;
        let Some(running) = self.hosts[host].running.as_mut() else { return };
        let (id, local) = (running.id, running.local(now));
        let heard = running.membership.take_received();
        for note in heard.baselines {
            let key = (note.baseline.home.clone(), note.baseline.service.clone());
            let known = running.baselines.get(&key).map_or(0, |known| known.at);
            if known < note.at {
                running.baselines.insert(key, note);
            }
        }
        let actions = heard
            .tenure
            .map(|list| running.keeper.handle(tenure::Event::ListReceived(list), local));
        if let Some(actions) = actions {
            self.keep(id, actions);
            self.show(host);
        }
        if !heard.marks.is_empty() {
            self.steer(host, Event::Marked { marks: heard.marks });
        }
        let Some((_, rpc)) = heard.manifest else { return };
        let holder = host_of_rpc(rpc);
        let held = self.hosts[holder].running.as_ref();
        let held = held.and_then(|holder| holder.store.current());
        if let Some((_, signed)) = held {
            let item = Item::Manifest { signed: (*signed).clone(), to: id };
            self.send_to(Place::Host(holder), Place::Host(host), item);
        }
    }

    /// A manifest reaches a host, from the platform, a peer or a rival.
    pub(super) fn manifest(&mut self, signed: SignedManifest, to: Process) {
        let Some(running) = self.running(to) else { return };
        let before = running.store.sequence().unwrap_or_default();
        let offer = running.store.offer(signed);
        let after = running.store.sequence().unwrap_or_default();
        let accepted = self.platform.sequence;
        self.checker.check(Promise::ManifestNeverReverts, before <= after, || {
            format!("host {} went from manifest {before} to {after}", to.host)
        });
        // A rival's have sequences that the member's pipeline never gives.
        self.checker.check(Promise::MemberKept, after <= accepted, || {
            format!("host {} took manifest {after}, which the member never accepted", to.host)
        });
        if let OfferOutcome::Newer(_) = offer {
            self.line(to.host, &format!("manifest {after}"));
            self.show(to.host);
        }
    }

    fn check_manifest(&mut self, host: usize) {
        let due = self.platform.accepted_at + IN_FORCE_AFTER < self.now;
        if !due || !self.is_quiet(host, IN_FORCE_AFTER) {
            return;
        }
        let accepted = self.platform.sequence;
        let Some(running) = self.hosts[host].running.as_ref() else { return };
        let held = running.store.sequence().unwrap_or_default();
        self.checker.check(Promise::ManifestInForce, held == accepted, || {
            format!("host {host} still has manifest {held}, {accepted} was accepted long ago")
        });
    }

    /// A pipeline writes the manifest that it made from version `expect`: one of two racing ones
    /// is refused.
    pub(super) fn manifest_write(&mut self, expect: Sequence, signed: SignedManifest) {
        if self.is_active(FaultKind::PlatformDown) || expect != self.platform.sequence {
            return;
        }
        let drained = super::fixture::drained(&signed);
        self.platform.sequence += 1;
        self.platform.accepted_at = self.now;
        self.platform.drained = drained;
        self.platform.manifest = signed;
        let sequence = self.platform.sequence;
        self.digest(&format!("accepted {sequence}, {drained:?} retired"));
    }
}

/// Number of the host that answers RPC there.
fn host_of_rpc(rpc: SocketAddr) -> usize {
    (0..HOSTS).find(|host| super::fixture::host_view(*host, 0).rpc == rpc).unwrap_or_default()
}

fn failed(is_read: bool, sent: Moment) -> tenure::Event {
    if is_read {
        return tenure::Event::ReadDone { result: ReadResult::Failed, sent };
    }
    tenure::Event::WriteDone { result: WriteResult::Failed, sent }
}
