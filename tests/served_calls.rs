//! A running host serves every call that hosts and operators make.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up fails the test")]

use std::time::Duration;

use lavenderplank::{
    ledger::SealedPart,
    manifest::DrainScope,
    membership::{Membership, MembershipLimits},
    peer::{
        DrainOrder, ExplainRequest, HandoverChunk, PartRequest, PeerClient, PeerError, UndrainOrder,
    },
    settings::Secret,
    timeline::Filter,
    view::HostView,
};

#[path = "support/hosts.rs"]
mod hosts;

use hosts::{MEMBER, Member, OPERATOR_TOKEN, PEER_KEY, READ};

// A handler that leaves a call out answers it with `Unavailable`, and the compiler does not say so.
// Hosts would then lose what that call carries (a stopping host's ledger, say) and only note that a
// peer does not answer. So each call is made once at a host of the product.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_call_is_left_out() {
    let mut member = Member::open().await;
    let host = member.host("zagreb-a-1", &[]).await;
    let to = host.rpc_addr();
    let peer = PeerClient::new(Secret::new(PEER_KEY), MEMBER.into());
    let operator = PeerClient::new(Secret::new(OPERATOR_TOKEN), MEMBER.into());
    let scope = DrainScope::Target(format!("{READ}-0").into());
    let part = SealedPart { data: String::new(), digest: String::new(), index: 0, of: 1 };
    let chunk = HandoverChunk { from: "zagreb-a-2".into(), incarnation: 1, part };
    let explain = ExplainRequest { caller: None, service: READ.into() };
    let drain = DrainOrder { by: "ana".into(), id: "d-1".into(), scope: scope.clone() };
    let undrain = UndrainOrder { by: "ana".into(), id: None, scope };
    let asker = HostView {
        address: to,
        adopted: Vec::new(),
        generation: 1,
        id: "zagreb-a-2".into(),
        incarnation: 1,
        leaving: false,
        region: "zagreb".into(),
        rpc: to,
        zone: "zagreb-a".into(),
    };
    let digest = Membership::new(asker, MembershipLimits::default()).digest(Duration::ZERO);

    let answers = [
        ("drain", operator.drain(to, &drain).await.err()),
        ("events", operator.events(to, &Filter::default()).await.err()),
        ("exchange", peer.exchange(to, &digest).await.err()),
        ("explain", operator.explain(to, &explain).await.err()),
        ("handover", peer.handover(to, &chunk).await.err()),
        ("manifest", peer.manifest(to).await.err()),
        ("part", peer.part(to, &PartRequest { id: "none".into() }).await.err()),
        ("status", operator.status(to).await.err()),
        ("undrain", operator.undrain(to, &undrain).await.err()),
    ];
    for (call, error) in answers {
        let left_out =
            matches!(&error, Some(PeerError::Unavailable(why)) if why.contains("does not serve"));
        assert!(!left_out, "{call}: {error:?}");
    }
}
