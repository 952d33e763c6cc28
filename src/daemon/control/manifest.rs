//! Receives manifests from the platform or from peers; the sequence in force never decreases.

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

/// Hosts of a zone that watch the platform; the others receive changes from them.
const WATCHERS_PER_ZONE: usize = 2;

/// Longest time that one watch call waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause of a host that does not watch the platform, and of any host after a failed call.
const POLL_PAUSE: Duration = Duration::from_millis(500);

/// Number of pauses after which a host that does not watch the platform checks it by itself: its
/// peers may know of no newer manifest because they are in the same network partition.
const MAX_IDLE_PAUSES: u32 = 20;

/// Ticks for which a host without a manifest waits for a peer's response before it accepts the
/// platform's manifest.
const PEER_WAIT_TICKS: u32 = 5;

/// State of a host that has just started and defers the platform's manifest until peers respond.
#[derive(Debug, Default)]
pub(super) struct Bootstrap {
    /// Peers that responded that they have no manifest either.
    peers_without_manifest: BTreeSet<HostId>,
    deferred: Option<ManifestOffer>,
    ticks: u32,
}

impl ControlActor {
    /// Whether the platform's manifest has to wait for the response of a peer.
    ///
    /// Anyone who can write to the platform may have restored an older manifest of this member,
    /// whose signature is valid. Without the wait a new host would use it until its first exchange.
    /// The peers in its settings know what was in force, so their response is sufficient; if none
    /// responds, the platform is the only source.
    fn waits_for_peers(&self) -> bool {
        let is_new = self.deps.store.sequence().is_none();
        is_new && !self.deps.seeds.is_empty() && self.bootstrap.ticks < PEER_WAIT_TICKS
    }

    /// Counts the ticks of the wait and ends it after `PEER_WAIT_TICKS`.
    pub(super) fn tick_bootstrap(&mut self, address: &WeakAddress<Self>) {
        self.bootstrap.ticks = self.bootstrap.ticks.saturating_add(1);
        if !self.waits_for_peers() {
            self.release_deferred(address);
        }
    }

    /// Ends the wait once as many peers as the settings list have responded without a manifest. A
    /// single one may have just started as well, while others know what was in force.
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
        if let Some(offer) = self.bootstrap.deferred.take() {
            Self::spawn_call(address.clone(), async move { Some(offer) });
        }
    }

    /// Fetches the manifest from a peer that has a newer one.
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
                let _ = address.send(FetchFailed).await;
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

    /// Whether this host is one of the `WATCHERS_PER_ZONE` that watch the platform for its zone.
    pub(super) fn is_platform_watcher(&self) -> bool {
        let own = self.deps.membership.own();
        let hosts = self.deps.membership.hosts(self.now());
        let in_zone = hosts.iter().filter(|host| host.zone == own.zone && !host.leaving);
        let mut remaining: BTreeSet<HostId> = in_zone.map(|host| host.id.clone()).collect();
        for _ in 0..WATCHERS_PER_ZONE {
            let ids: Vec<HostId> = remaining.iter().cloned().collect();
            let Some(watcher) = owner_of(&own.zone, &ids) else { return true };
            if *watcher == own.id {
                return true;
            }
            remaining.remove(watcher);
        }
        false
    }
}

/// A fetch from a peer returned no manifest; the next exchange may start another.
#[derive(Clone, Copy, Debug)]
pub struct FetchFailed;

impl xtra::Handler<FetchFailed> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _failed: FetchFailed, _cx: &mut xtra::Context<Self>) {
        self.fetching = None;
    }
}

impl xtra::Handler<ManifestOffer> for ControlActor {
    type Return = ();

    async fn handle(&mut self, offer: ManifestOffer, cx: &mut xtra::Context<Self>) {
        if matches!(offer.from, ManifestSource::Platform) && self.waits_for_peers() {
            self.bootstrap.deferred = Some(offer);
            return;
        }
        self.fetching = None;
        for part in offer.parts {
            self.deps.store.add_part(part);
        }
        match self.deps.store.offer(offer.signed.clone()) {
            OfferOutcome::Missing(ids) => {
                self.fetch_parts_for(cx.mailbox().address(), ids, offer.from, offer.signed);
            }
            OfferOutcome::Newer(manifest) => {
                log::info!("manifest {} is in force", manifest.sequence);
                self.update_payload();
                self.publish();
                // Exchange at once: with the next heartbeats alone, each hop would add up to a
                // second.
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

    async fn handle(
        &mut self,
        _request: GetManifest,
        _cx: &mut xtra::Context<Self>,
    ) -> ManifestReply {
        let current = self.deps.store.current();
        ManifestReply { signed: current.map(|(_, signed)| (*signed).clone()) }
    }
}

impl xtra::Handler<GetPart> for ControlActor {
    type Return = PartReply;

    async fn handle(&mut self, request: GetPart, _cx: &mut xtra::Context<Self>) -> PartReply {
        PartReply { part: self.deps.store.part(&request.0).cloned() }
    }
}

impl xtra::Handler<IsPlatformWatcher> for ControlActor {
    type Return = bool;

    async fn handle(&mut self, _request: IsPlatformWatcher, _cx: &mut xtra::Context<Self>) -> bool {
        self.is_platform_watcher()
    }
}

/// Reads the platform once, then watches it while this host is a platform watcher, until `stop` is
/// set.
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
        let result = match version {
            None => read_head(&control, &*platform, &key, &mut head).await,
            Some(from) if watcher => watch_head(&control, &*platform, &key, from, &mut head).await,
            Some(from) => read_if_changed(&control, &*platform, &key, from, &mut head).await,
        };
        let answered = result.is_ok();
        if control.send(PlatformCallResult { answered }).await.is_err() {
            return;
        }
        match result {
            Ok(read) => version = Some(read),
            Err(PlatformError::TooOld { .. }) => version = None,
            Err(error) => {
                // A failed watch may have missed a change, or may never report one. Only a full
                // read shows the manifest that the platform has accepted.
                version = None;
                log::warn!("platform call failed: {error}");
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

/// Reads the head if it may differ from the one in force here.
async fn read_if_changed(
    control: &Address<ControlActor>,
    platform: &dyn Platform,
    key: &str,
    from: Version,
    head: &mut Option<CachedHead>,
) -> crate::store::Result<Version> {
    let Some(cached) = head.as_ref() else { return read_head(control, platform, key, head).await };
    let keys = platform.keys(key).await?;
    let object = keys.iter().find(|found| &*found.key == key).map(|found| found.version);
    let in_force = control.send(GetManifest).await.ok().and_then(|reply| reply.signed);
    if cached.is_current(object, in_force.as_ref()) {
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
        log::warn!("cannot decode the member's manifest object on the platform");
        return None;
    };
    let signed = head.signed.clone();
    let offer =
        ManifestOffer { from: ManifestSource::Platform, parts: Vec::new(), signed: head.signed };
    // A failed send means that the host is stopping.
    let _ = control.send(offer).await;
    Some(CachedHead { signed, version: object.version })
}
