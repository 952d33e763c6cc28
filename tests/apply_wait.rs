//! `apply --wait` against hosts that have, or have not, the manifest in force.

use std::{
    net::{Ipv4Addr, SocketAddr},
    process::{Command, Output},
    sync::{Arc, OnceLock},
};

use async_trait::async_trait;
use ed25519_dalek::SigningKey;
use lavenderplank::{
    base::Sequence,
    manifest::{Manifest, Proposal, sign},
    operator::HostStatus,
    peer::{PeerCredentials, PeerHandler, PeerServer, Result},
    settings::Secret,
    standin::platform::PlatformStandin,
    view::HostView,
};

const MANIFEST: &str = include_str!("../examples/himalaya-tara/manifest.yaml");
const MEMBER: &str = "himalaya-tara";
const LOOPBACK: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// A host of which only the status matters.
struct Host {
    fleet: Arc<OnceLock<Vec<HostView>>>,
    index: usize,
    sequence: Sequence,
}

#[async_trait]
impl PeerHandler for Host {
    async fn status(&self) -> Result<HostStatus> {
        let hosts = self.fleet.get().expect("the fleet is known").clone();
        let own = hosts[self.index].clone();
        let status = serde_json::json!({ "own": own, "hosts": hosts, "sequence": self.sequence });
        Ok(serde_json::from_value(status).expect("a status"))
    }
}

/// One host in each zone but the last `cut`; `behind` is the index of one with an older manifest.
async fn fleet(cut: usize, behind: Option<usize>) -> Vec<PeerServer> {
    let manifest = Manifest::parse(MANIFEST, "m").expect("the example is valid");
    let zones: Vec<_> = manifest
        .regions
        .iter()
        .flat_map(|region| region.zones.iter().map(|zone| (region.name.clone(), zone.clone())))
        .collect();
    let fleet = Arc::new(OnceLock::new());
    let (mut servers, mut views) = (Vec::new(), Vec::new());
    for (index, (region, zone)) in zones[..zones.len() - cut].iter().enumerate() {
        let sequence = if behind == Some(index) { 0 } else { 1 };
        let host = Host { fleet: fleet.clone(), index, sequence };
        let keys = PeerCredentials {
            member: MEMBER.into(),
            operator: Secret::new("operators"),
            peer: Secret::new("peers"),
        };
        let server = PeerServer::bind(SocketAddr::from(LOOPBACK), Arc::new(host), keys).await;
        let server = server.expect("a loopback port is free");
        let view = serde_json::json!({
            "address": server.local_addr(), "generation": 0, "id": format!("h{index}"),
            "incarnation": 1, "leaving": false, "region": region, "rpc": server.local_addr(),
            "zone": zone,
        });
        views.push(serde_json::from_value(view).expect("a view"));
        servers.push(server);
    }
    fleet.set(views).expect("set once");
    servers
}

async fn apply(standin: &PlatformStandin, host: SocketAddr) -> Output {
    let key = SigningKey::from_bytes(&[1; 32]);
    let signed = sign(MANIFEST, &key).expect("the example is valid");
    let proposal = Proposal { member: MEMBER.into(), parts: Vec::new(), signed };
    let name = format!("lavenderplank-wait-{}.signed", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, serde_json::to_vec(&proposal).expect("JSON")).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_lavenderplank"));
    command
        .args(["apply", "--wait", "--timeout", "1", "--platform"])
        .arg(standin.address().to_string())
        .args(["--manifest-key", &hex::encode(key.verifying_key().to_bytes()), "--host"])
        .arg(host.to_string())
        .arg(&file)
        .env("LAVENDERPLANK_OPERATOR_TOKEN", "operators");
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.expect("no panic").expect("the binary runs");
    std::fs::remove_file(&file).expect("the file is there");
    output
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zones_that_are_cut_off_or_behind_are_named() {
    // The manifest is accepted in every case. One host in each zone answers; or one still has the
    // older manifest; or nobody knows a live host of the last zone. The pipeline must not be told
    // "in force" before it is so in every zone, and must learn which zone keeps it waiting.
    let standin = PlatformStandin::bind(SocketAddr::from(LOOPBACK)).await.unwrap();
    let table = [
        (0, None, 0, "zone lumbini-b: in force (1 of 1 hosts)"),
        (0, Some(2), 1, "zone gandaki-a: behind (0 of 1 hosts)"),
        (1, None, 1, "zone lumbini-b: cut off (0 of 0 hosts)"),
    ];
    for (cut, behind, code, expected) in table {
        let servers = fleet(cut, behind).await;
        let output = apply(&standin, servers[0].local_addr()).await;
        let text = String::from_utf8_lossy(&output.stdout);
        assert_eq!(output.status.code(), Some(code), "{text}");
        assert!(text.contains(expected), "{text}");
    }
}
