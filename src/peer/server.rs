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

/// Most connections at a time; past it new ones are refused, so that a flood cannot use up memory.
const MAX_CONNECTIONS: u32 = 512;

/// Smallest answer in bytes that is compressed, for callers that ask for it: text and parts of a
/// manifest shrink to a fraction, an answer to an exchange by a third or more. The heads that say
/// that an answer is compressed outweigh what a shorter one would save.
pub const MIN_COMPRESSED_BYTES: u16 = 256;

const OPERATOR_ONLY: &[Principal] = &[Principal::Operator];
const PEER_ONLY: &[Principal] = &[Principal::Peer];
const PEER_OR_OPERATOR: &[Principal] = &[Principal::Operator, Principal::Peer];

/// A running RPC server; dropping it stops it.
#[derive(Debug)]
pub struct PeerServer {
    handle: ServerHandle,
    local: SocketAddr,
}

impl PeerServer {
    /// Listens on `addr` and serves calls by `handler`.
    pub async fn bind(
        addr: SocketAddr,
        handler: Arc<dyn PeerHandler>,
        keys: PeerCredentials,
    ) -> std::io::Result<Self> {
        let cfg = ServerConfig::builder()
            .http_only()
            .max_connections(MAX_CONNECTIONS)
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .set_tcp_no_delay(true)
            .build();
        let member = keys.member.clone();
        let identify = move |mut req: HttpRequest<HttpBody>| {
            let caller = Principal::identify(req.headers(), &keys);
            req.extensions_mut().insert(caller);
            req
        };
        let compression =
            CompressionLayer::new().compress_when(SizeAbove::new(MIN_COMPRESSED_BYTES));
        // The limit on a question counts what comes out of the decompression.
        let middleware = tower::ServiceBuilder::new()
            .layer(compression)
            .map_request(identify)
            .layer(RequestDecompressionLayer::new());
        let server =
            Server::builder().set_config(cfg).set_http_middleware(middleware).build(addr).await?;
        let local = server.local_addr()?;
        let handle = server.start(RpcMethods { handler, member }.into_rpc());
        Ok(Self { handle, local })
    }

    /// Where it listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Takes no more calls, ends those that run and waits for them.
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

    fn encode<T: Serialize>(&self, answer: Result<T>) -> RpcResult<Envelope> {
        Ok(Envelope::encode(&self.member, &answer?)?)
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
