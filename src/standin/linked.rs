//! Ways to targets, hosts and the platform that run over the demo's links.

use async_trait::async_trait;
use bytes::Bytes;

use super::links::{Links, Place};
use crate::{
    daemon::PeerLink,
    forward::{Attempt, ForwardError, TargetResponse, Upstream},
    membership::Digest,
    peer::{
        HandoverAck, HandoverChunk, ManifestReply, PartReply, PartRequest, PeerClient, PeerError,
    },
    prelude::*,
    store::{
        Changes, Expect, Listing, OperationId, Platform, PlatformError, Version, VersionedObject,
    },
};

/// How long a cut link seems to be only slow.
const CUT_PATIENCE: Duration = Duration::from_millis(500);

/// Something reached over links from one place.
pub struct Linked<T> {
    inner: T,
    links: Arc<Links>,
    place: Place,
}

impl<T> Linked<T> {
    /// `inner`, as it is reached from `place`.
    pub fn new(inner: T, links: Arc<Links>, place: Place) -> Self {
        Self { inner, links, place }
    }

    /// The way to an address, one way; `None` if it is cut.
    async fn travel(&self, to: SocketAddr) -> Option<()> {
        match self.links.delay(&self.place, to) {
            Some(delay) if delay.is_zero() => Some(()),
            Some(delay) => {
                tokio::time::sleep(delay).await;
                Some(())
            }
            None => {
                tokio::time::sleep(CUT_PATIENCE).await;
                None
            }
        }
    }
}

#[async_trait]
impl<T: Upstream> Upstream for Linked<T> {
    async fn send(&self, attempt: Attempt) -> crate::forward::Result<TargetResponse> {
        let to = attempt.address;
        self.travel(to).await.ok_or(ForwardError::ConnectFailed)?;
        let reply = self.inner.send(attempt).await?;
        self.travel(to).await.ok_or(ForwardError::ConnectionLost)?;
        Ok(reply)
    }
}

impl Linked<PeerClient> {
    async fn over<T>(
        &self,
        to: SocketAddr,
        call: impl Future<Output = crate::peer::Result<T>> + Send,
    ) -> crate::peer::Result<T> {
        let cut = || PeerError::Unreachable { to, why: "the link is cut".into() };
        self.travel(to).await.ok_or_else(cut)?;
        let answer = call.await?;
        self.travel(to).await.ok_or_else(cut)?;
        Ok(answer)
    }
}

#[async_trait]
impl PeerLink for Linked<PeerClient> {
    async fn exchange(&self, to: SocketAddr, digest: &Digest) -> crate::peer::Result<Digest> {
        self.over(to, self.inner.exchange(to, digest)).await
    }

    async fn handover(
        &self,
        to: SocketAddr,
        chunk: &HandoverChunk,
    ) -> crate::peer::Result<HandoverAck> {
        self.over(to, self.inner.handover(to, chunk)).await
    }

    async fn manifest(&self, to: SocketAddr) -> crate::peer::Result<ManifestReply> {
        self.over(to, self.inner.manifest(to)).await
    }

    async fn part(&self, to: SocketAddr, request: &PartRequest) -> crate::peer::Result<PartReply> {
        self.over(to, self.inner.part(to, request)).await
    }
}

impl<T: Platform> Linked<T> {
    async fn reach(&self) -> crate::store::Result<()> {
        if self.links.reaches_platform(&self.place.zone) {
            return Ok(());
        }
        tokio::time::sleep(CUT_PATIENCE).await;
        Err(PlatformError::Unavailable {
            detail: "the link is cut".into(),
            may_have_applied: false,
        })
    }
}

#[async_trait]
impl<T: Platform> Platform for Linked<T> {
    async fn delete(
        &self,
        key: &str,
        expect: Expect,
        operation: OperationId,
    ) -> crate::store::Result<Version> {
        self.reach().await?;
        self.inner.delete(key, expect, operation).await
    }

    async fn get(&self, key: &str) -> crate::store::Result<Option<VersionedObject>> {
        self.reach().await?;
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str) -> crate::store::Result<Listing> {
        self.reach().await?;
        self.inner.list(prefix).await
    }

    async fn put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        operation: OperationId,
    ) -> crate::store::Result<Version> {
        self.reach().await?;
        self.inner.put(key, expect, value, operation).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Version,
        wait: Duration,
    ) -> crate::store::Result<Changes> {
        self.reach().await?;
        let changes = self.inner.watch(prefix, from, wait).await?;
        self.reach().await?;
        Ok(changes)
    }
}
