//! RPC client of other hosts.

use std::{
    collections::HashMap,
    sync::{Mutex, atomic::AtomicBool},
};

use http::{HeaderMap, HeaderValue, header::AUTHORIZATION};
use jsonrpsee::{
    core::{ClientError, middleware::layer::RpcLogger},
    http_client::{HttpClient, HttpClientBuilder, RpcService, transport::HttpBackend},
};
use serde::de::DeserializeOwned;
use tower_http::decompression::{Decompression, DecompressionLayer};

use super::{
    MAX_MESSAGE_BYTES,
    api::PeerApiClient,
    envelope::Envelope,
    error::{PeerError, Result},
    messages::{
        DrainOrder, EmptyRequest, ExplainRequest, HandoverAck, HandoverChunk, ManifestReply,
        PartReply, PartRequest, StatusRequest, UndrainOrder,
    },
    request_compression::{GzipRequestLayer, GzipRequestService},
};
use crate::{
    drain::DrainRecord,
    membership::Digest,
    operator::{Explanation, HostStatus},
    prelude::*,
    settings::Secret,
    timeline::{Event, Filter},
};

/// Time limit of a call. The peer may still have processed a call that timed out.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit of calls that carry stored responses or client blocks, and so larger messages.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Cached clients, the oldest evicted first. At each tick a host talks to few peers, and keeping a
/// connection to every host of a large fleet would cost more than opening one when needed.
const MAX_CACHED_CLIENTS: usize = 64;

/// Hosts whose support for compressed requests is tracked; above it all entries are cleared and
/// detected again.
const MAX_TRACKED_HOSTS: usize = 4096;

/// Requests compressed responses and accepts uncompressed ones from older hosts. The size limit on
/// a response applies to its decompressed bytes.
type Client = HttpClient<RpcLogger<RpcService<Decompression<GzipRequestService<HttpBackend>>>>>;

/// Calls other hosts, authenticated by one key.
#[derive(Debug)]
pub struct PeerClient {
    clients: Mutex<Vec<(SocketAddr, Client)>>,
    /// Upper bound of `clients`.
    max_clients: usize,
    key: Secret,
    member: MemberId,
    /// Which hosts accept gzip-compressed requests. Outlives the cached clients, since a host of a
    /// large fleet calls most others less often than it keeps a connection.
    accepts_gzip: Mutex<HashMap<SocketAddr, Arc<AtomicBool>>>,
}

impl PeerClient {
    /// Creates a client that authenticates with the member's peer key or the operator token.
    pub fn new(key: Secret, member: MemberId) -> Self {
        let (clients, accepts_gzip) = (Mutex::default(), Mutex::default());
        Self { clients, max_clients: MAX_CACHED_CLIENTS, key, member, accepts_gzip }
    }

    /// Sets the number of cached clients, for processes that run many hosts under one limit on open
    /// files.
    pub fn with_max_clients(self, max_clients: usize) -> Self {
        Self { max_clients: max_clients.max(1), ..self }
    }

    /// Sends the digest of this host's membership state and returns what the peer has beyond it.
    pub async fn exchange(&self, to: SocketAddr, digest: &Digest) -> Result<Digest> {
        let message = Envelope::encode(&self.member, digest)?;
        let client = self.client(to)?;
        self.call(to, CALL_TIMEOUT, client.exchange(message)).await
    }

    /// Fetches the signed manifest in force at a host.
    pub async fn manifest(&self, to: SocketAddr) -> Result<ManifestReply> {
        let message = Envelope::encode(&self.member, &EmptyRequest {})?;
        let client = self.client(to)?;
        self.call(to, CALL_TIMEOUT, client.manifest(message)).await
    }

    /// Fetches one part of a manifest's client blocks.
    pub async fn part(&self, to: SocketAddr, request: &PartRequest) -> Result<PartReply> {
        let message = Envelope::encode(&self.member, request)?;
        let client = self.client(to)?;
        self.call(to, HANDOVER_TIMEOUT, client.part(message)).await
    }

    /// Sends a part of this host's ledger to its successor.
    pub async fn handover(&self, to: SocketAddr, chunk: &HandoverChunk) -> Result<HandoverAck> {
        let message = Envelope::encode(&self.member, chunk)?;
        let client = self.client(to)?;
        self.call(to, HANDOVER_TIMEOUT, client.handover(message)).await
    }

    /// Fetches events of a host's timeline.
    pub async fn events(&self, to: SocketAddr, filter: &Filter) -> Result<Vec<Event>> {
        let message = Envelope::encode(&self.member, filter)?;
        let client = self.client(to)?;
        self.call(to, CALL_TIMEOUT, client.events(message)).await
    }

    /// Fetches the status of a host, with the live hosts that it knows.
    pub async fn status(&self, to: SocketAddr) -> Result<HostStatus> {
        self.request_status(to, StatusRequest::default()).await
    }

    /// Fetches the status of a host without the other hosts; an older host may still list them.
    pub async fn own_status(&self, to: SocketAddr) -> Result<HostStatus> {
        self.request_status(to, StatusRequest { without_hosts: true }).await
    }

    async fn request_status(&self, to: SocketAddr, request: StatusRequest) -> Result<HostStatus> {
        let message = Envelope::encode(&self.member, &request)?;
        let client = self.client(to)?;
        self.call(to, CALL_TIMEOUT, client.status(message)).await
    }

    /// Asks a host which target it would choose for a request now, and why.
    pub async fn explain(&self, to: SocketAddr, request: &ExplainRequest) -> Result<Explanation> {
        let message = Envelope::encode(&self.member, request)?;
        let client = self.client(to)?;
        self.call(to, CALL_TIMEOUT, client.explain(message)).await
    }

    /// Starts a drain.
    pub async fn drain(&self, to: SocketAddr, order: &DrainOrder) -> Result<DrainRecord> {
        let message = Envelope::encode(&self.member, order)?;
        let client = self.client(to)?;
        self.call(to, CALL_TIMEOUT, client.drain(message)).await
    }

    /// Undoes drains and returns their records.
    pub async fn undrain(&self, to: SocketAddr, order: &UndrainOrder) -> Result<Vec<DrainRecord>> {
        let message = Envelope::encode(&self.member, order)?;
        let client = self.client(to)?;
        self.call(to, CALL_TIMEOUT, client.undrain(message)).await
    }

    /// Awaits the call and decodes its response. If the call timed out or lost its connection, the
    /// cached client is dropped, so that the next call does not wait on a dead connection.
    async fn call<T: DeserializeOwned>(
        &self,
        to: SocketAddr,
        limit: Duration,
        call: impl Future<Output = Result<Envelope, ClientError>>,
    ) -> Result<T> {
        let response = match tokio::time::timeout(limit, call).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(PeerError::from_client_error(to, error)),
            Err(_) => Err(PeerError::Unreachable { to, why: format!("timed out after {limit:?}") }),
        };
        if matches!(response, Err(PeerError::Unreachable { .. })) {
            self.lock_clients().retain(|(addr, _)| *addr != to);
        }
        response?.decode(&self.member)
    }

    fn client(&self, to: SocketAddr) -> Result<Client> {
        let mut clients = self.lock_clients();
        if let Some((_, client)) = clients.iter().find(|(addr, _)| *addr == to) {
            return Ok(client.clone());
        }
        let client = self.build(to)?;
        if self.max_clients <= clients.len() {
            clients.remove(0);
        }
        clients.push((to, client.clone()));
        Ok(client)
    }

    fn build(&self, to: SocketAddr) -> Result<Client> {
        let unreachable = |why: String| PeerError::Unreachable { to, why };
        let value = [b"Bearer ", self.key.expose()].concat();
        let mut value = HeaderValue::from_bytes(&value).map_err(|_| {
            unreachable("the key has characters not allowed in an HTTP header".into())
        })?;
        value.set_sensitive(true);
        HttpClientBuilder::default()
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .request_timeout(HANDOVER_TIMEOUT)
            .set_http_middleware(
                tower::ServiceBuilder::new()
                    .layer(DecompressionLayer::new())
                    .layer(GzipRequestLayer { accepts_gzip: self.accepts_gzip(to) }),
            )
            .set_headers(HeaderMap::from_iter([(AUTHORIZATION, value)]))
            .build(format!("http://{to}"))
            .map_err(|error| unreachable(error.to_string()))
    }

    fn accepts_gzip(&self, to: SocketAddr) -> Arc<AtomicBool> {
        let mut hosts = self.accepts_gzip.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if MAX_TRACKED_HOSTS <= hosts.len() && !hosts.contains_key(&to) {
            hosts.clear();
        }
        hosts.entry(to).or_default().clone()
    }

    fn lock_clients(&self) -> std::sync::MutexGuard<'_, Vec<(SocketAddr, Client)>> {
        self.clients.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
