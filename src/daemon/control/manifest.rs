//! Manifests arrive from the platform or from peers, and only ever move up.

use std::{
    collections::BTreeSet,
    sync::atomic::{AtomicBool, Ordering},
};

use xtra::{Address, WeakAddress};

use super::{
    actor::Control,
    messages::{AskManifest, AskPart, IsRelay, Offered, PlatformHeard, Source},
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
const RELAYS: usize = 2;

/// How long one watch waits for a change.
const WATCH: Duration = Duration::from_secs(20);

/// Pause of a host that is no relay, and after a failed call.
const PAUSE: Duration = Duration::from_millis(500);

/// How often a host that watches nothing reads the platform for itself, in pauses: peers may know
/// of nothing newer because they are cut off together with it.
const READ_EVERY: u32 = 20;

/// Ticks for which a host with nothing in force waits for the word of a peer before it takes what
/// the platform holds.
const PEER_PATIENCE: u32 = 5;

/// What a host that has just started does with the platform's manifest before a peer has spoken.
#[derive(Debug, Default)]
pub(super) struct Newcomer {
    /// Peers that answered that they have no manifest either.
    empty: BTreeSet<HostId>,
    held_back: Option<Offered>,
    ticks: u32,
}

impl Control {
    /// Whether the platform's manifest has to wait for the word of a peer.
    ///
    /// A rival who can write to the platform may have put an older manifest of the member's own back,
    /// signature and all. Without the wait a new host would serve by it until its first exchange.
    /// The peers of its settings know what was in force, so their answer is enough; where none
    /// answers, only the platform is left.
    fn waits_for_peers(&self) -> bool {
        let is_new = self.parts.store.sequence().is_none();
        is_new && !self.parts.seeds.is_empty() && self.newcomer.ticks < PEER_PATIENCE
    }

    /// Counts the ticks of the wait.
    pub(super) fn tick_newcomer(&mut self, me: &WeakAddress<Self>) {
        self.newcomer.ticks = self.newcomer.ticks.saturating_add(1);
        if !self.waits_for_peers() {
            self.take_held_back(me);
        }
    }

    /// As many peers without a manifest as the settings name end the wait: one alone may have just
    /// started as well, next to others that know what was in force.
    pub(super) fn hear_peer(&mut self, peer: &Digest, me: &WeakAddress<Self>) {
        if peer.sequence != 0 || !self.waits_for_peers() {
            return;
        }
        self.newcomer.empty.insert(peer.from.view.id.clone());
        if self.parts.seeds.len() <= self.newcomer.empty.len() {
            self.newcomer.ticks = PEER_PATIENCE;
            self.take_held_back(me);
        }
    }

    fn take_held_back(&mut self, me: &WeakAddress<Self>) {
        if let Some(offered) = self.newcomer.held_back.take() {
            Self::beside(me.clone(), async move { Some(offered) });
        }
    }

    /// Fetches the manifest that a peer holds.
    pub(super) fn pull_manifest(
        &mut self,
        me: WeakAddress<Self>,
        sequence: Sequence,
        holder: SocketAddr,
    ) {
        if self.parts.store.sequence() >= Some(sequence) || self.pulling >= Some(sequence) {
            return;
        }
        self.pulling = Some(sequence);
        let link = self.parts.link.clone();
        Self::beside(me.clone(), async move {
            let reply = link.manifest(holder).await.unwrap_or_default();
            if reply.signed.is_none() {
                let _ = me.send(PullEnded).await;
            }
            let signed = reply.signed?;
            Some(Offered { from: Source::Peer(holder), parts: Vec::new(), signed })
        });
    }

    fn fetch_parts_for(
        &self,
        me: WeakAddress<Self>,
        ids: Vec<crate::manifest::PartId>,
        from: Source,
        signed: SignedManifest,
    ) {
        let (link, platform) = (self.parts.link.clone(), self.parts.platform.clone());
        let member = self.parts.member.clone();
        Self::beside(me, async move {
            let mut parts: Vec<Part> = Vec::new();
            match from {
                Source::Peer(holder) => {
                    for id in ids {
                        let reply = link.part(holder, &PartRequest { id }).await.ok()?;
                        parts.extend(reply.part);
                    }
                }
                Source::Platform => {
                    parts = fetch_parts(&*platform, &member, &ids).await.ok()?;
                }
            }
            (!parts.is_empty()).then_some(Offered { from, parts, signed })
        });
    }

    /// Whether this host is one of those that watch the platform for its zone.
    pub(super) fn is_relay(&self) -> bool {
        let own = self.parts.membership.own();
        let hosts = self.parts.membership.hosts(self.now());
        let near = hosts.iter().filter(|host| host.zone == own.zone && !host.leaving);
        let mut left: BTreeSet<HostId> = near.map(|host| host.id.clone()).collect();
        for _ in 0..RELAYS {
            let ids: Vec<HostId> = left.iter().cloned().collect();
            let Some(relay) = owner_of(&own.zone, &ids) else { return true };
            if *relay == own.id {
                return true;
            }
            left.remove(relay);
        }
        false
    }
}

/// A pull brought nothing; the next exchange may start another.
#[derive(Clone, Copy, Debug)]
pub struct PullEnded;

impl xtra::Handler<PullEnded> for Control {
    type Return = ();

    async fn handle(&mut self, _ended: PullEnded, _cx: &mut xtra::Context<Self>) {
        self.pulling = None;
    }
}

impl xtra::Handler<Offered> for Control {
    type Return = ();

    async fn handle(&mut self, offered: Offered, cx: &mut xtra::Context<Self>) {
        if matches!(offered.from, Source::Platform) && self.waits_for_peers() {
            self.newcomer.held_back = Some(offered);
            return;
        }
        self.pulling = None;
        for part in offered.parts {
            self.parts.store.add_part(part);
        }
        match self.parts.store.offer(offered.signed.clone()) {
            OfferOutcome::Missing(ids) => {
                self.fetch_parts_for(cx.mailbox().address(), ids, offered.from, offered.signed);
            }
            OfferOutcome::Newer(manifest) => {
                log::info!("manifest {} is in force", manifest.sequence);
                self.tell_notes();
                self.publish();
                // Told on at once: with the next heartbeats alone, each hop would add up to a second.
                self.exchange(cx.mailbox().address());
            }
            OfferOutcome::Older | OfferOutcome::Same => {}
            OfferOutcome::Refused(reason) => {
                log::warn!("manifest refused: {reason}");
                let sequence = self.parts.store.sequence().unwrap_or_default();
                let reason = reason.to_string().into();
                self.note(EventKind::ManifestRefused { reason, sequence });
            }
        }
    }
}

impl xtra::Handler<AskManifest> for Control {
    type Return = ManifestReply;

    async fn handle(&mut self, _ask: AskManifest, _cx: &mut xtra::Context<Self>) -> ManifestReply {
        let current = self.parts.store.current();
        ManifestReply { signed: current.map(|(_, signed)| (*signed).clone()) }
    }
}

impl xtra::Handler<AskPart> for Control {
    type Return = PartReply;

    async fn handle(&mut self, ask: AskPart, _cx: &mut xtra::Context<Self>) -> PartReply {
        PartReply { part: self.parts.store.part(&ask.0).cloned() }
    }
}

impl xtra::Handler<IsRelay> for Control {
    type Return = bool;

    async fn handle(&mut self, _ask: IsRelay, _cx: &mut xtra::Context<Self>) -> bool {
        self.is_relay()
    }
}

/// Reads the platform once, then watches it while this host is a relay, until `stop` is set.
pub async fn follow_platform(
    control: Address<Control>,
    platform: Arc<dyn Platform>,
    member: MemberId,
    stop: Arc<AtomicBool>,
) {
    let key = Head::key(&member);
    let mut version: Option<Version> = None;
    let mut head: Option<CachedHead> = None;
    let mut idle = 0;
    while !stop.load(Ordering::Relaxed) {
        let relay = control.send(IsRelay).await.unwrap_or_default();
        if version.is_some() && !relay && idle < READ_EVERY {
            idle += 1;
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        idle = 0;
        let heard = match version {
            None => read(&control, &*platform, &key, &mut head).await,
            Some(from) if relay => watch(&control, &*platform, &key, from, &mut head).await,
            Some(from) => look(&control, &*platform, &key, from, &mut head).await,
        };
        let answered = heard.is_ok();
        if control.send(PlatformHeard { answered }).await.is_err() {
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
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn read(
    control: &Address<Control>,
    platform: &dyn Platform,
    key: &str,
    head: &mut Option<CachedHead>,
) -> crate::store::Result<Version> {
    let listing = platform.list(key).await?;
    for entry in listing.entries.iter().filter(|entry| &*entry.key == key) {
        *head = offer(control, &entry.object).await;
    }
    Ok(listing.version)
}

/// Reads the head if it is not the one that is in force here.
async fn look(
    control: &Address<Control>,
    platform: &dyn Platform,
    key: &str,
    from: Version,
    head: &mut Option<CachedHead>,
) -> crate::store::Result<Version> {
    let Some(heard) = head.as_ref() else { return read(control, platform, key, head).await };
    let keys = platform.keys(key).await?;
    let object = keys.iter().find(|found| &*found.key == key).map(|found| found.version);
    let in_force = control.send(AskManifest).await.ok().and_then(|reply| reply.signed);
    if heard.is_current(object, in_force.as_ref()) {
        return Ok(from);
    }
    read(control, platform, key, head).await
}

async fn watch(
    control: &Address<Control>,
    platform: &dyn Platform,
    key: &str,
    from: Version,
    head: &mut Option<CachedHead>,
) -> crate::store::Result<Version> {
    let changes = platform.watch(key, from, WATCH).await?;
    for change in changes.changes.iter().filter(|change| &*change.key == key) {
        if let Some(object) = &change.object {
            *head = offer(control, object).await;
        }
    }
    Ok(changes.version)
}

async fn offer(control: &Address<Control>, object: &VersionedObject) -> Option<CachedHead> {
    let Some(head) = Head::decode(&object.value) else {
        log::warn!("the member's object on the platform is no manifest");
        return None;
    };
    let signed = head.signed.clone();
    let offered = Offered { from: Source::Platform, parts: Vec::new(), signed: head.signed };
    // A failed send means that the host is stopping.
    let _ = control.send(offered).await;
    Some(CachedHead { signed, version: object.version })
}
