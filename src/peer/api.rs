//! JSON-RPC interface between hosts, as `jsonrpsee` generates client and server from it.

use jsonrpsee::{core::RpcResult, proc_macros::rpc};

use super::envelope::Envelope;

/// RPC methods that a host serves.
#[rpc(client, server)]
pub(super) trait PeerApi {
    #[method(name = "exchange", with_extensions)]
    async fn exchange(&self, message: Envelope) -> RpcResult<Envelope>;

    #[method(name = "manifest", with_extensions)]
    async fn manifest(&self, message: Envelope) -> RpcResult<Envelope>;

    #[method(name = "part", with_extensions)]
    async fn part(&self, message: Envelope) -> RpcResult<Envelope>;

    #[method(name = "handover", with_extensions)]
    async fn handover(&self, message: Envelope) -> RpcResult<Envelope>;

    #[method(name = "events", with_extensions)]
    async fn events(&self, message: Envelope) -> RpcResult<Envelope>;

    #[method(name = "status", with_extensions)]
    async fn status(&self, message: Envelope) -> RpcResult<Envelope>;

    #[method(name = "explain", with_extensions)]
    async fn explain(&self, message: Envelope) -> RpcResult<Envelope>;

    #[method(name = "drain", with_extensions)]
    async fn drain(&self, message: Envelope) -> RpcResult<Envelope>;

    #[method(name = "undrain", with_extensions)]
    async fn undrain(&self, message: Envelope) -> RpcResult<Envelope>;
}
