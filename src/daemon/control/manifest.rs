//! Manifests arrive from the platform or from peers, and only ever move up.

use std::{
    collections::BTreeSet,
    sync::atomic::{AtomicBool, Ordering},
};

use xtra::{Address, WeakAddress};

use super::{
    actor::ControlActor,
    messages::{
        GetManifest, GetPart, IsPlatformWatcher, ManifestOffer, ManifestSource, PlatformCallResult,
    },
};
use crate::{
    lookup::owner_of,
    manifest::{CachedHead, Head, OfferOutcome, Part, SignedManifest, fetch_parts},
    membership::Digest,
    peer::{ManifestReply, PartReply, PartRequest},
    prelude::*,
    store::{Platform, PlatformError, Version, VersionedObject},
    timeline::EventKind,
};

/// Hosts of a zone that watch the platform; the others learn from them.
const WATCHERS_PER_ZONE: usize = 2;

/// How long one watch waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause of a host that is no relay, and after a failed call.
const POLL_PAUSE: Duration = Duration::from_millis(500);

/// How often a host that watches nothing reads the platform for itself, in pauses: peers may know
/// of nothing newer because they are cut off together with it.
const MAX_IDLE_PAUSES: u32 = 20;

/// Ticks for which a host with nothing in force waits for the word of a peer before it takes what
/// the platform holds.
const PEER_WAIT_TICKS: u32 = 5;

/// What a host that has just started does with the platform's manifest before a peer has spoken.
#[derive(Debug, Default)]
pub(super) struct Bootstrap {
    /// Peers that answered that they have no manifest either.
    peers_without_manifest: BTreeSet<HostId>,
    deferred: Option<ManifestOffer>,
    ticks: u32,
}

impl ControlActor {
    /// Whether the platform's manifest has to wait for the word of a peer.
    ///
    /// A rival who can write to the platform may have put an older manifest of the member's own back,
    /// signature and all. Without the wait a new host would serve by it until its first exchange.
    /// The peers of its settings know what was in force, so their answer is enough; where none
    /// answers, only the platform is left.
    fn waits_for_peers(&self) -> bool {
        let is_new = self.deps.store.sequence().is_none();
        is_new && !self.deps.seeds.is_empty() && self.bootstrap.ticks < PEER_WAIT_TICKS
    }

    /// Counts the ticks of the wait.
    pub(super) fn tick_bootstrap(&mut self, address: &WeakAddress<Self>) {
        self.bootstrap.ticks = self.bootstrap.ticks.saturating_add(1);
        if !self.waits_for_peers() {
            self.release_deferred(address);
        }
    }

    /// As many peers without a manifest as the settings name end the wait: one alone may have just
    /// started as well, next to others that know what was in force.
    pub(super) fn record_peer_without_manifest(
        &mut self,
        peer: &Digest,
        address: &WeakAddress<Self>,
    ) {
        if peer.sequence != 0 || !self.waits_for_peers() {
            return;
        }
        self.bootstrap.peers_without_manifest.insert(peer.from.view.id.clone());
        if self.deps.seeds.len() <= self.bootstrap.peers_without_manifest.len() {
            self.bootstrap.ticks = PEER_WAIT_TICKS;
            self.release_deferred(address);
        }
    }

    fn release_deferred(&mut self, address: &WeakAddress<Self>) {
        if let Some(offered) = self.bootstrap.deferred.take() {
            Self::spawn_call(address.clone(), async move { Some(offered) });
        }
    }

    /// Fetches the manifest that a peer holds.
    pub(super) fn fetch_manifest(
        &mut self,
        address: WeakAddress<Self>,
        sequence: Sequence,
        holder: SocketAddr,
    ) {
        if self.deps.store.sequence() >= Some(sequence) || self.fetching >= Some(sequence) {
            return;
        }
        self.fetching = Some(sequence);
        let link = self.deps.link.clone();
        Self::spawn_call(address.clone(), async move {
            let reply = link.manifest(holder).await.unwrap_or_default();
            if reply.signed.is_none() {
                let _ = address.send(FetchEnded).await;
            }
            let signed = reply.signed?;
            Some(ManifestOffer { from: ManifestSource::Peer(holder), parts: Vec::new(), signed })
        });
    }

    fn fetch_parts_for(
        &self,
        address: WeakAddress<Self>,
        ids: Vec<crate::manifest::PartId>,
        from: ManifestSource,
        signed: SignedManifest,
    ) {
        let (link, platform) = (self.deps.link.clone(), self.deps.platform.clone());
        let member = self.deps.member.clone();
        Self::spawn_call(address, async move {
            let mut parts: Vec<Part> = Vec::new();
            match from {
                ManifestSource::Peer(holder) => {
                    for id in ids {
                        let reply = link.part(holder, &PartRequest { id }).await.ok()?;
                        parts.extend(reply.part);
                    }
                }
                ManifestSource::Platform => {
                    parts = fetch_parts(&*platform, &member, &ids).await.ok()?;
                }
            }
            (!parts.is_empty()).then_some(ManifestOffer { from, parts, signed })
        });
    }

    /// Whether this host is one of those that watch the platform for its zone.
    pub(super) fn is_platform_watcher(&self) -> bool {
        let own = self.deps.membership.own();
        let hosts = self.deps.membership.hosts(self.now());
        let near = hosts.iter().filter(|host| host.zone == own.zone && !host.leaving);
        let mut left: BTreeSet<HostId> = near.map(|host| host.id.clone()).collect();
        for _ in 0..WATCHERS_PER_ZONE {
            let ids: Vec<HostId> = left.iter().cloned().collect();
            let Some(watcher) = owner_of(&own.zone, &ids) else { return true };
            if *watcher == own.id {
                return true;
            }
            left.remove(watcher);
        }
        false
    }
}

/// A pull brought nothing; the next exchange may start another.
#[derive(Clone, Copy, Debug)]
pub struct FetchEnded;

impl xtra::Handler<FetchEnded> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _ended: FetchEnded, _cx: &mut xtra::Context<Self>) {
        self.fetching = None;
    }
}

impl xtra::Handler<ManifestOffer> for ControlActor {
    type Return = ();

    async fn handle(&mut self, offered: ManifestOffer, cx: &mut xtra::Context<Self>) {
        if matches!(offered.from, ManifestSource::Platform) && self.waits_for_peers() {
            self.bootstrap.deferred = Some(offered);
            return;
        }
        self.fetching = None;
        for part in offered.parts {
            self.deps.store.add_part(part);
        }
        match self.deps.store.offer(offered.signed.clone()) {
            OfferOutcome::Missing(ids) => {
                self.fetch_parts_for(cx.mailbox().address(), ids, offered.from, offered.signed);
            }
            OfferOutcome::Newer(manifest) => {
                log::info!("manifest {} is in force", manifest.sequence);
                self.update_payload();
                self.publish();
                // Told on at once: with the next heartbeats alone, each hop would add up to a second.
                self.start_exchanges(cx.mailbox().address());
            }
            OfferOutcome::Older | OfferOutcome::Same => {}
            OfferOutcome::Refused(reason) => {
                log::warn!("manifest refused: {reason}");
                let sequence = self.deps.store.sequence().unwrap_or_default();
                let reason = reason.to_string().into();
                self.record(EventKind::ManifestRefused { reason, sequence });
            }
        }
    }
}

impl xtra::Handler<GetManifest> for ControlActor {
    type Return = ManifestReply;

    async fn handle(&mut self, _ask: GetManifest, _cx: &mut xtra::Context<Self>) -> ManifestReply {
        let current = self.deps.store.current();
        ManifestReply { signed: current.map(|(_, signed)| (*signed).clone()) }
    }
}

impl xtra::Handler<GetPart> for ControlActor {
    type Return = PartReply;

    async fn handle(&mut self, ask: GetPart, _cx: &mut xtra::Context<Self>) -> PartReply {
        PartReply { part: self.deps.store.part(&ask.0).cloned() }
    }
}

impl xtra::Handler<IsPlatformWatcher> for ControlActor {
    type Return = bool;

    async fn handle(&mut self, _ask: IsPlatformWatcher, _cx: &mut xtra::Context<Self>) -> bool {
        self.is_platform_watcher()
    }
}

/// Reads the platform once, then watches it while this host is a relay, until `stop` is set.
pub async fn follow_platform(
    control: Address<ControlActor>,
    platform: Arc<dyn Platform>,
    member: MemberId,
    stop: Arc<AtomicBool>,
) {
    let key = Head::key(&member);
    let mut version: Option<Version> = None;
    let mut head: Option<CachedHead> = None;
    let mut idle = 0;
    while !stop.load(Ordering::Relaxed) {
        let watcher = control.send(IsPlatformWatcher).await.unwrap_or_default();
        if version.is_some() && !watcher && idle < MAX_IDLE_PAUSES {
            idle += 1;
            tokio::time::sleep(POLL_PAUSE).await;
            continue;
        }
        idle = 0;
        let heard = match version {
            None => read_head(&control, &*platform, &key, &mut head).await,
            Some(from) if watcher => watch_head(&control, &*platform, &key, from, &mut head).await,
            Some(from) => read_if_changed(&control, &*platform, &key, from, &mut head).await,
        };
        let answered = heard.is_ok();
        if control.send(PlatformCallResult { answered }).await.is_err() {
            return;
        }
        match heard {
            Ok(seen) => version = Some(seen),
            Err(PlatformError::TooOld { .. }) => version = None,
            Err(error) => {
                // A watch that failed may have missed a change, or may stay silent each time: only
                // a full read finds out what is accepted now.
                version = None;
                log::warn!("platform: {error}");
                tokio::time::sleep(POLL_PAUSE).await;
            }
        }
    }
}

async fn read_head(
    control: &Address<ControlActor>,
    platform: &dyn Platform,
    key: &str,
    head: &mut Option<CachedHead>,
) -> crate::store::Result<Version> {
    let listing = platform.list(key).await?;
    for entry in listing.entries.iter().filter(|entry| &*entry.key == key) {
        *head = offer_head(control, &entry.object).await;
    }
    Ok(listing.version)
}

/// Reads the head if it is not the one that is in force here.
async fn read_if_changed(
    control: &Address<ControlActor>,
    platform: &dyn Platform,
    key: &str,
    from: Version,
    head: &mut Option<CachedHead>,
) -> crate::store::Result<Version> {
    let Some(heard) = head.as_ref() else { return read_head(control, platform, key, head).await };
    let keys = platform.keys(key).await?;
    let object = keys.iter().find(|found| &*found.key == key).map(|found| found.version);
    let in_force = control.send(GetManifest).await.ok().and_then(|reply| reply.signed);
    if heard.is_current(object, in_force.as_ref()) {
        return Ok(from);
    }
    read_head(control, platform, key, head).await
}

async fn watch_head(
    control: &Address<ControlActor>,
    platform: &dyn Platform,
    key: &str,
    from: Version,
    head: &mut Option<CachedHead>,
) -> crate::store::Result<Version> {
    let changes = platform.watch(key, from, WATCH_TIMEOUT).await?;
    for change in changes.changes.iter().filter(|change| &*change.key == key) {
        if let Some(object) = &change.object {
            *head = offer_head(control, object).await;
        }
    }
    Ok(changes.version)
}

async fn offer_head(
    control: &Address<ControlActor>,
    object: &VersionedObject,
) -> Option<CachedHead> {
    let Some(head) = Head::decode(&object.value) else {
        log::warn!("the member's object on the platform is no manifest");
        return None;
    };
    let signed = head.signed.clone();
    let offered =
        ManifestOffer { from: ManifestSource::Platform, parts: Vec::new(), signed: head.signed };
    // A failed send means that the host is stopping.
    let _ = control.send(offered).await;
    Some(CachedHead { signed, version: object.version })
}
