//! The running stand-in and its addresses.

use std::{
    io,
    sync::{Mutex, MutexGuard},
};

use async_trait::async_trait;
use bytes::Bytes;
use tokio::{net::TcpListener, sync::Notify, task::JoinHandle, time::Instant};

use super::{Faults, ObjectStore, Outage, http};
use crate::{
    prelude::*,
    store::{
        CallCounts, CallKind, Changes, Expect, Listing, OperationId, Platform, PlatformError,
        Result, Version, VersionedObject,
    },
};

/// Keys whose writes show late.
const HOST_LIST: &str = "hosts/";

/// Longer than any caller waits.
const NEVER: Duration = Duration::from_secs(3600);

/// One address of the stand-in, with faults of its own: give each availability zone a door, and
/// shutting it cuts just that zone off. Also usable without HTTP, as a `Platform`.
pub struct Door {
    address: Option<SocketAddr>,
    core: Arc<DoorCore>,
    server: Option<JoinHandle<()>>,
}

/// A running stand-in: a door and the objects behind all doors.
pub struct PlatformStandin {
    door: Door,
}

pub(super) struct DoorCore {
    faults: Mutex<Faults>,
    meter: Mutex<Meter>,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    changed: Notify,
    store: Mutex<ObjectStore>,
}

/// Calls so far, and those of the current second.
struct Meter {
    counts: CallCounts,
    reads: u32,
    second: Instant,
    writes: u32,
}

impl PlatformStandin {
    /// Serves an empty store; port 0 lets the OS choose.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let core = DoorCore::new(Arc::default());
        Ok(Self { door: Door::serve(core, address).await? })
    }

    /// A store that is reached through its handles only.
    pub fn in_memory() -> Self {
        Self { door: Door { address: None, core: DoorCore::new(Arc::default()), server: None } }
    }

    /// A further address of the same store, with faults of its own.
    pub async fn bind_door(&self, address: SocketAddr) -> io::Result<Door> {
        Door::serve(DoorCore::new(self.door.core.shared.clone()), address).await
    }

    /// A further handle to the same store, with faults of its own.
    pub fn open_door(&self) -> Door {
        let core = DoorCore::new(self.door.core.shared.clone());
        Door { address: None, core, server: None }
    }

    /// Forgets the log of changes.
    pub fn compact(&self) {
        self.door.core.store().compact();
    }

    /// Lets the store's version jump.
    pub fn jump(&self, by: u64) {
        self.door.core.store().jump(by);
    }

    /// The door that this stand-in was opened with.
    pub fn door(&self) -> &Door {
        &self.door
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.door.address()
    }

    /// Replaces the faults of the first door.
    pub fn set_faults(&self, faults: Faults) {
        self.door.set_faults(faults);
    }
}

impl Door {
    async fn serve(core: Arc<DoorCore>, address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = Some(listener.local_addr()?);
        let server = Some(tokio::spawn(http::serve(listener, core.clone())));
        Ok(Self { address, core, server })
    }

    /// Where it listens. Unspecified for a door without a listener.
    pub fn address(&self) -> SocketAddr {
        self.address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Calls that came through this door.
    pub fn counts(&self) -> CallCounts {
        self.core.meter.lock().expect("no holder of this lock panics").counts
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.core.set_faults(faults);
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        if let Some(server) = &self.server {
            server.abort();
        }
    }
}

impl DoorCore {
    fn new(shared: Arc<Shared>) -> Arc<Self> {
        let counts = CallCounts::default();
        let meter = Meter { counts, reads: 0, second: Instant::now(), writes: 0 };
        Arc::new(Self { faults: Mutex::default(), meter: Mutex::new(meter), shared })
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        *self.faults.lock().expect("no holder of this lock panics") = faults;
    }

    fn faults(&self) -> Faults {
        self.faults.lock().expect("no holder of this lock panics").clone()
    }

    fn store(&self) -> MutexGuard<'_, ObjectStore> {
        self.shared.store.lock().expect("no holder of this lock panics")
    }

    /// What every call meets first.
    async fn enter(&self, kind: CallKind) -> Result<Faults> {
        let faults = self.faults();
        self.meter(kind, &faults)?;
        if 0 < faults.delay_ms {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        match faults.outage {
            Outage::Hang => {
                tokio::time::sleep(NEVER).await;
                Err(unavailable(false))
            }
            Outage::None => Ok(faults),
            Outage::Refuse => Err(unavailable(false)),
        }
    }

    fn meter(&self, kind: CallKind, faults: &Faults) -> Result<()> {
        let mut meter = self.meter.lock().expect("no holder of this lock panics");
        if Duration::from_secs(1) <= meter.second.elapsed() {
            (meter.reads, meter.second, meter.writes) = (0, Instant::now(), 0);
        }
        let (count, limit) = match kind {
            CallKind::Read => (&mut meter.reads, faults.reads_per_second),
            CallKind::Watch => (&mut meter.reads, faults.reads_per_second),
            CallKind::Write => (&mut meter.writes, faults.writes_per_second),
        };
        *count += 1;
        let is_over = limit != 0 && limit < *count;
        match kind {
            CallKind::Read => meter.counts.reads += 1,
            CallKind::Watch => meter.counts.watches += 1,
            CallKind::Write => meter.counts.writes += 1,
        }
        if is_over {
            return Err(PlatformError::RateLimited { retry_after: Duration::from_secs(1) });
        }
        Ok(())
    }

    /// After a write took effect: tells watchers, and loses the answer if so wished.
    fn leave(&self, version: Version) -> Result<Version> {
        self.shared.changed.notify_waiters();
        let mut faults = self.faults.lock().expect("no holder of this lock panics");
        if faults.lose_answers == 0 {
            return Ok(version);
        }
        faults.lose_answers -= 1;
        Err(unavailable(true))
    }

    pub(super) async fn delete(&self, key: &str, expect: Expect) -> Result<Version> {
        self.enter(CallKind::Write).await?;
        let version = self.store().delete(key, expect)?;
        self.leave(version)
    }

    pub(super) async fn get(&self, key: &str) -> Result<Option<VersionedObject>> {
        self.enter(CallKind::Read).await?;
        Ok(self.store().get(key))
    }

    pub(super) async fn list(&self, prefix: &str) -> Result<Listing> {
        self.enter(CallKind::Read).await?;
        Ok(self.store().list(prefix))
    }

    pub(super) async fn put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        operation: OperationId,
    ) -> Result<Version> {
        let faults = self.enter(CallKind::Write).await?;
        if key.starts_with(HOST_LIST) && 0 < faults.hosts_lag_ms {
            tokio::time::sleep(Duration::from_millis(faults.hosts_lag_ms)).await;
        }
        let version = self.store().put(key, expect, value, operation)?;
        self.leave(version)
    }

    pub(super) async fn watch(
        &self,
        prefix: &str,
        from: Version,
        wait: Duration,
    ) -> Result<Changes> {
        let faults = self.enter(CallKind::Watch).await?;
        if faults.silent_watch {
            tokio::time::sleep(NEVER).await;
        }
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.shared.changed.notified();
            tokio::pin!(changed);
            // Registered before the log is read: a write between the two is not missed.
            changed.as_mut().enable();
            let changes = self.store().changes(prefix, from)?;
            if !changes.changes.is_empty() || deadline <= Instant::now() {
                return Ok(changes);
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
            // A watch that was open when the outage began is cut off too.
            if self.faults().outage != Outage::None {
                return Err(unavailable(false));
            }
        }
    }
}

#[async_trait]
impl Platform for Door {
    async fn delete(&self, key: &str, expect: Expect, _: OperationId) -> Result<Version> {
        self.core.delete(key, expect).await
    }

    async fn get(&self, key: &str) -> Result<Option<VersionedObject>> {
        self.core.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        self.core.list(prefix).await
    }

    async fn put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        operation: OperationId,
    ) -> Result<Version> {
        self.core.put(key, expect, value, operation).await
    }

    async fn watch(&self, prefix: &str, from: Version, wait: Duration) -> Result<Changes> {
        self.core.watch(prefix, from, wait).await
    }
}

fn unavailable(may_have_applied: bool) -> PlatformError {
    PlatformError::Unavailable { detail: "out of service".into(), may_have_applied }
}
