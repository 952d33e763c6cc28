//! The RPC server of a host.

use jsonrpsee::{
    Extensions,
    core::{RpcResult, async_trait},
    server::{BatchRequestConfig, HttpBody, HttpRequest, Server, ServerConfig, ServerHandle},
};
use serde::de::DeserializeOwned;
use tower_http::{
    compression::{CompressionLayer, predicate::SizeAbove},
    decompression::RequestDecompressionLayer,
};

use super::{
    MAX_MESSAGE_BYTES,
    api::PeerApiServer,
    auth::Principal,
    credentials::PeerCredentials,
    envelope::Envelope,
    error::Result,
    handler::PeerHandler,
    messages::{EmptyRequest, StatusRequest},
};
use crate::{membership::Digest, prelude::*};

/// Connections at a time. Further ones are refused, so that a flood of them cannot exhaust memory.
const MAX_CONNECTIONS: u32 = 512;

/// Smallest message that is compressed. Text and parts of a manifest shrink to a fraction of their
/// size, the response to an exchange by a third or more; for shorter messages the headers that
/// declare the compression outweigh the savings.
pub const MIN_COMPRESSED_BYTES: u16 = 256;

const OPERATOR_ONLY: &[Principal] = &[Principal::Operator];
const PEER_ONLY: &[Principal] = &[Principal::Peer];
const PEER_OR_OPERATOR: &[Principal] = &[Principal::Operator, Principal::Peer];

/// A running RPC server; stops when dropped.
#[derive(Debug)]
pub struct PeerServer {
    handle: ServerHandle,
    local_addr: SocketAddr,
}

impl PeerServer {
    /// Listens on `addr` and passes authenticated calls to `handler`.
    pub async fn bind(
        addr: SocketAddr,
        handler: Arc<dyn PeerHandler>,
        credentials: PeerCredentials,
    ) -> std::io::Result<Self> {
        let cfg = ServerConfig::builder()
            .http_only()
            .max_connections(MAX_CONNECTIONS)
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .set_tcp_no_delay(true)
            .build();
        let member = credentials.member.clone();
        let identify = move |mut req: HttpRequest<HttpBody>| {
            let principal = Principal::identify(req.headers(), &credentials);
            req.extensions_mut().insert(principal);
            req
        };
        let compression =
            CompressionLayer::new().compress_when(SizeAbove::new(MIN_COMPRESSED_BYTES));
        // The size limit on a request applies to its decompressed bytes.
        let middleware = tower::ServiceBuilder::new()
            .layer(compression)
            .map_request(identify)
            .layer(RequestDecompressionLayer::new());
        let server =
            Server::builder().set_config(cfg).set_http_middleware(middleware).build(addr).await?;
        let local_addr = server.local_addr()?;
        let handle = server.start(RpcMethods { handler, member }.into_rpc());
        Ok(Self { handle, local_addr })
    }

    /// Address on which the server listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Accepts no more calls, ends those in progress and waits for them.
    pub async fn stop(self) {
        if self.handle.stop().is_ok() {
            self.handle.clone().stopped().await;
        }
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        let _ = self.handle.stop();
    }
}

/// Authorizes and decodes calls, and passes them to the handler.
struct RpcMethods {
    handler: Arc<dyn PeerHandler>,
    member: MemberId,
}

impl RpcMethods {
    fn decode<T: DeserializeOwned>(
        &self,
        ext: &Extensions,
        allowed: &[Principal],
        message: &Envelope,
    ) -> Result<T> {
        ext.get::<Principal>().copied().unwrap_or(Principal::Unauthenticated).authorize(allowed)?;
        message.decode(&self.member)
    }

    fn encode<T: Serialize>(&self, response: Result<T>) -> RpcResult<Envelope> {
        Ok(Envelope::encode(&self.member, &response?)?)
    }
}

#[async_trait]
impl PeerApiServer for RpcMethods {
    async fn exchange(&self, ext: &Extensions, message: Envelope) -> RpcResult<Envelope> {
        let digest: Digest = self.decode(ext, PEER_ONLY, &message)?;
        self.encode(self.handler.exchange(digest).await)
    }

    async fn manifest(&self, ext: &Extensions, message: Envelope) -> RpcResult<Envelope> {
        let EmptyRequest {} = self.decode(ext, PEER_OR_OPERATOR, &message)?;
        self.encode(self.handler.manifest().await)
    }

    async fn part(&self, ext: &Extensions, message: Envelope) -> RpcResult<Envelope> {
        let request = self.decode(ext, PEER_OR_OPERATOR, &message)?;
        self.encode(self.handler.part(request).await)
    }

    async fn handover(&self, ext: &Extensions, message: Envelope) -> RpcResult<Envelope> {
        let chunk = self.decode(ext, PEER_ONLY, &message)?;
        self.encode(self.handler.handover(chunk).await)
    }

    async fn events(&self, ext: &Extensions, message: Envelope) -> RpcResult<Envelope> {
        let request = self.decode(ext, PEER_OR_OPERATOR, &message)?;
        self.encode(self.handler.events(request).await)
    }

    async fn status(&self, ext: &Extensions, message: Envelope) -> RpcResult<Envelope> {
        let request: StatusRequest = self.decode(ext, OPERATOR_ONLY, &message)?;
        let mut status = self.handler.status().await;
        if let Ok(status) = status.as_mut()
            && request.without_hosts
        {
            status.hosts.clear();
        }
        self.encode(status)
    }

    async fn explain(&self, ext: &Extensions, message: Envelope) -> RpcResult<Envelope> {
        let request = self.decode(ext, OPERATOR_ONLY, &message)?;
        self.encode(self.handler.explain(request).await)
    }

    async fn drain(&self, ext: &Extensions, message: Envelope) -> RpcResult<Envelope> {
        let order = self.decode(ext, OPERATOR_ONLY, &message)?;
        self.encode(self.handler.drain(order).await)
    }

    async fn undrain(&self, ext: &Extensions, message: Envelope) -> RpcResult<Envelope> {
        let order = self.decode(ext, OPERATOR_ONLY, &message)?;
        self.encode(self.handler.undrain(order).await)
    }
}
