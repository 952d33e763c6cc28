//! Calls to other hosts.

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

/// A call that takes longer has failed; the peer may still have taken it over.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A hand-over carries whole answers and may take longer.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Clients kept open, the oldest dropped first: at each tick a host talks to few peers, and a kept
/// connection to each host of a large fleet would cost more than opening one.
const MAX_CACHED_CLIENTS: usize = 64;

/// Hosts remembered to read compressed questions; past it all are found out anew.
const MAX_TRACKED_HOSTS: usize = 4096;

/// Asks for compressed answers, and takes plain ones from older hosts. The limit on an answer counts
/// what comes out of the decompression.
type Client = HttpClient<RpcLogger<RpcService<Decompression<GzipRequestService<HttpBackend>>>>>;

/// Calls other hosts with one key.
#[derive(Debug)]
pub struct PeerClient {
    clients: Mutex<Vec<(SocketAddr, Client)>>,
    /// Most clients kept.
    kept: usize,
    key: Secret,
    member: MemberId,
    /// Which hosts read compressed questions; outlives the kept clients, since a host of a large
    /// fleet meets most others less often than it keeps a connection.
    reads: Mutex<HashMap<SocketAddr, Arc<AtomicBool>>>,
}

impl PeerClient {
    /// A client with the member's peer key, or with the operator token.
    pub fn new(key: Secret, member: MemberId) -> Self {
        let (clients, reads) = (Mutex::default(), Mutex::default());
        Self { clients, kept: MAX_CACHED_CLIENTS, key, member, reads }
    }

    /// Keeps fewer connections, for many hosts in one process with its limit on open files.
    pub fn with_max_clients(self, kept: usize) -> Self {
        Self { kept: kept.max(1), ..self }
    }

    /// Tells a peer what this host knows; the answer is what it lacks.
    pub async fn exchange(&self, to: SocketAddr, digest: &Digest) -> Result<Digest> {
        let message = Envelope::encode(&self.member, digest)?;
        let client = self.client(to)?;
        self.call(to, CALL_TIMEOUT, client.exchange(message)).await
    }

    /// The signed manifest in force at a host.
    pub async fn manifest(&self, to: SocketAddr) -> Result<ManifestReply> {
        let message = Envelope::encode(&self.member, &EmptyRequest {})?;
        let client = self.client(to)?;
        self.call(to, CALL_TIMEOUT, client.manifest(message)).await
    }

    /// Client blocks of a large manifest.
    pub async fn part(&self, to: SocketAddr, request: &PartRequest) -> Result<PartReply> {
        let message = Envelope::encode(&self.member, request)?;
        let client = self.client(to)?;
        self.call(to, HANDOVER_TIMEOUT, client.part(message)).await
    }

    /// Gives a part of this host's ledger to its successor.
    pub async fn handover(&self, to: SocketAddr, chunk: &HandoverChunk) -> Result<HandoverAck> {
        let message = Envelope::encode(&self.member, chunk)?;
        let client = self.client(to)?;
        self.call(to, HANDOVER_TIMEOUT, client.handover(message)).await
    }

    /// Events of a host's time line.
    pub async fn events(&self, to: SocketAddr, filter: &Filter) -> Result<Vec<Event>> {
        let message = Envelope::encode(&self.member, filter)?;
        let client = self.client(to)?;
        self.call(to, CALL_TIMEOUT, client.events(message)).await
    }

    /// What a host knows and does, with the live hosts that it knows.
    pub async fn status(&self, to: SocketAddr) -> Result<HostStatus> {
        self.request_status(to, StatusRequest::default()).await
    }

    /// What a host knows and does, without the other hosts; an older host may still list them.
    pub async fn own_status(&self, to: SocketAddr) -> Result<HostStatus> {
        self.request_status(to, StatusRequest { without_hosts: true }).await
    }

    async fn request_status(&self, to: SocketAddr, request: StatusRequest) -> Result<HostStatus> {
        let message = Envelope::encode(&self.member, &request)?;
        let client = self.client(to)?;
        self.call(to, CALL_TIMEOUT, client.status(message)).await
    }

    /// Where a request would go now, and why.
    pub async fn explain(&self, to: SocketAddr, request: &ExplainRequest) -> Result<Explanation> {
        let message = Envelope::encode(&self.member, request)?;
        let client = self.client(to)?;
        self.call(to, CALL_TIMEOUT, client.explain(message)).await
    }

    /// Orders a drain.
    pub async fn drain(&self, to: SocketAddr, order: &DrainOrder) -> Result<DrainRecord> {
        let message = Envelope::encode(&self.member, order)?;
        let client = self.client(to)?;
        self.call(to, CALL_TIMEOUT, client.drain(message)).await
    }

    /// Takes drains back.
    pub async fn undrain(&self, to: SocketAddr, order: &UndrainOrder) -> Result<Vec<DrainRecord>> {
        let message = Envelope::encode(&self.member, order)?;
        let client = self.client(to)?;
        self.call(to, CALL_TIMEOUT, client.undrain(message)).await
    }

    /// A call that ran into its time limit or lost its connection drops the kept client, so that
    /// the next call does not wait on a connection to a host that is gone.
    async fn call<T: DeserializeOwned>(
        &self,
        to: SocketAddr,
        limit: Duration,
        call: impl Future<Output = Result<Envelope, ClientError>>,
    ) -> Result<T> {
        let answer = match tokio::time::timeout(limit, call).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(PeerError::from_client_error(to, error)),
            Err(_) => Err(PeerError::Unreachable { to, why: format!("took over {limit:?}") }),
        };
        if matches!(answer, Err(PeerError::Unreachable { .. })) {
            self.lock().retain(|(addr, _)| *addr != to);
        }
        answer?.decode(&self.member)
    }

    fn client(&self, to: SocketAddr) -> Result<Client> {
        let mut clients = self.lock();
        if let Some((_, client)) = clients.iter().find(|(addr, _)| *addr == to) {
            return Ok(client.clone());
        }
        let client = self.build(to)?;
        if self.kept <= clients.len() {
            clients.remove(0);
        }
        clients.push((to, client.clone()));
        Ok(client)
    }

    fn build(&self, to: SocketAddr) -> Result<Client> {
        let unreachable = |why: String| PeerError::Unreachable { to, why };
        let value = [b"Bearer ", self.key.expose()].concat();
        let mut value = HeaderValue::from_bytes(&value)
            .map_err(|_| unreachable("the key holds characters that no header may".into()))?;
        value.set_sensitive(true);
        HttpClientBuilder::default()
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .request_timeout(HANDOVER_TIMEOUT)
            .set_http_middleware(
                tower::ServiceBuilder::new()
                    .layer(DecompressionLayer::new())
                    .layer(GzipRequestLayer { reads: self.reads(to) }),
            )
            .set_headers(HeaderMap::from_iter([(AUTHORIZATION, value)]))
            .build(format!("http://{to}"))
            .map_err(|error| unreachable(error.to_string()))
    }

    fn reads(&self, to: SocketAddr) -> Arc<AtomicBool> {
        let mut reads = self.reads.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if MAX_TRACKED_HOSTS <= reads.len() && !reads.contains_key(&to) {
            reads.clear();
        }
        reads.entry(to).or_default().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(SocketAddr, Client)>> {
        self.clients.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
