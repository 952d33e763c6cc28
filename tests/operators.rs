//! `status`, `drain`, `undrain` and `explain` as an operator runs them, against hosts of which not
//! all answer.

use std::{
    net::SocketAddr,
    process::Output,
    sync::{Arc, Mutex},
};

use async_trait::async_trait;
use lavenderplank::{
    drain::{DrainError, DrainRecord, DrainSet},
    manifest::Manifest,
    membership::Digest,
    operator::{DrainStatus, Explanation, HostStatus, gather},
    peer::{
        DrainOrder, EmptyRequest, ExplainRequest, PeerClient, PeerCredentials, PeerError,
        PeerHandler, PeerServer, Result, StatusRequest, UndrainOrder,
    },
    settings::Secret,
    timeline::HybridTime,
    view::HostView,
};

const NOW: HybridTime = HybridTime { millis: 1000, count: 0 };

/// A host that holds drains and knows two others.
struct Host {
    drains: Mutex<DrainSet>,
    hosts: Vec<HostView>,
    manifest: Manifest,
    own: HostView,
}

fn view(id: &str, zone: &str, rpc: SocketAddr) -> HostView {
    HostView {
        address: rpc,
        adopted: Vec::new(),
        generation: 1,
        id: id.into(),
        incarnation: 1,
        leaving: false,
        region: "split".into(),
        rpc,
        zone: zone.into(),
    }
}

fn manifest() -> Manifest {
    let text = "
member: agency
sequence: 7
weighing: latency
regions:
  - {name: split, reserve: 0.2, zones: [split-1, split-2]}
services:
  - name: intake
    kind: booking
    connections: 10
    max_body: 1000
    shift_cap: 0.3
    timeout_ms: 1000
    targets:
      - {name: i1, address: '127.0.0.1:9', slots: 3, zone: split-1}
      - {name: i2, address: '127.0.0.1:9', slots: 3, zone: split-2}
";
    serde_norway::from_str(text).expect("the manifest reads")
}

fn conflict(error: DrainError) -> PeerError {
    PeerError::Conflict(error.to_string())
}

#[async_trait]
impl PeerHandler for Host {
    async fn exchange(&self, digest: Digest) -> Result<Digest> {
        Ok(digest)
    }

    async fn status(&self) -> Result<HostStatus> {
        let mut status = HostStatus::new(self.own.clone());
        status.hosts = self.hosts.clone();
        status.sequence = Some(self.manifest.sequence);
        let drains = self.drains.lock().expect("no holder panics").records();
        let drain = |record| DrainStatus { in_flight: 0, record, took_ms: None, waits: None };
        status.drains = drains.into_iter().map(drain).collect();
        Ok(status)
    }

    async fn explain(&self, request: ExplainRequest) -> Result<Explanation> {
        let mut explanation = Explanation::default();
        explanation.step("service", format!("{} is known", request.service));
        Ok(explanation)
    }

    async fn drain(&self, order: DrainOrder) -> Result<DrainRecord> {
        let mut drains = self.drains.lock().expect("no holder panics");
        drains.apply_order(order, NOW, &self.manifest, &[]).map_err(conflict)
    }

    async fn undrain(&self, order: UndrainOrder) -> Result<Vec<DrainRecord>> {
        let mut drains = self.drains.lock().expect("no holder panics");
        drains.undrain(order, NOW).map_err(conflict)
    }
}

async fn bind(hosts: Vec<HostView>) -> PeerServer {
    let keys = PeerCredentials {
        member: "agency".into(),
        operator: Secret::new("token"),
        peer: Secret::new("peer-key"),
    };
    let host = Host {
        drains: Mutex::new(DrainSet::new("a".into())),
        hosts,
        manifest: manifest(),
        own: view("a", "split-1", ([127, 0, 0, 1], 9).into()),
    };
    PeerServer::bind(([127, 0, 0, 1], 0).into(), Arc::new(host), keys).await.expect("it binds")
}

async fn run(host: SocketAddr, token: &str, args: &[&str]) -> Output {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_lavenderplank"));
    command.args(args).args(["--member", "agency", "--host", &host.to_string()]);
    command.env("LAVENDERPLANK_OPERATOR_TOKEN", token).env("USER", "ana");
    let output = tokio::task::spawn_blocking(move || command.output());
    output.await.expect("it runs").expect("the binary runs")
}

fn text(output: &Output) -> String {
    let text = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&text).into_owned()
}

// One known host answers nothing. The status shows what the others say, names the missing one, and
// the exit code tells scripts that it is not whole.
#[tokio::test(flavor = "multi_thread")]
async fn status_names_hosts_that_do_not_answer() {
    let dead = view("b", "split-2", ([127, 0, 0, 1], 1).into());
    let server = bind(vec![dead]).await;
    let output = run(server.local_addr(), "token", &["status"]).await;
    let shown = text(&output);
    assert_eq!(output.status.code(), Some(1), "{shown}");
    assert!(shown.contains("split-1  1      7         1 of 1"), "{shown}");
    assert!(shown.contains("\nno answer\n"), "{shown}");
    assert!(shown.contains("no response from 127.0.0.1:1: "), "{shown}");
    let output = run(server.local_addr(), "token", &["status", "--json"]).await;
    let shown: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(shown["hosts"][0]["status"]["sequence"], 7);
    let output = run(server.local_addr(), "rivals-token", &["status"]).await;
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output).contains("the key or token is not the one"), "{}", text(&output));
}

// An operator asks a fleet of hosts that all know each other. The list of hosts comes from the one
// that is asked first, with the one that is missing; from each of the others it would be the fleet
// over and over again.
#[tokio::test]
async fn only_the_first_host_lists_the_others() {
    let dead = view("b", "split-2", ([127, 0, 0, 1], 1).into());
    let other = bind(vec![dead.clone()]).await;
    let hosts = vec![dead, view("c", "split-2", other.local_addr())];
    let server = bind(hosts.clone()).await;
    let client = PeerClient::new(Secret::new("token"), "agency".into());
    let fleet = gather(&client, server.local_addr()).await.expect("it answers");
    assert!(!fleet.is_whole());
    let listed: Vec<(&str, Option<Vec<HostView>>)> = fleet
        .hosts
        .iter()
        .map(|answer| (&*answer.host.id, answer.status.as_ref().map(|status| status.hosts.clone())))
        .collect();
    assert_eq!(listed, [("a", Some(hosts)), ("b", None), ("c", Some(Vec::new()))]);
}

// During a rolling upgrade old and new hosts and clients meet. An old client's empty question gets
// the list as before; an old host skips the new field and sends its list.
#[tokio::test]
async fn hosts_and_clients_of_the_release_before_are_understood() {
    let server = bind(vec![view("b", "split-2", ([127, 0, 0, 1], 1).into())]).await;
    let client = PeerClient::new(Secret::new("token"), "agency".into());
    assert_eq!(serde_json::to_string(&StatusRequest::default()).expect("it encodes"), "{}");
    assert_eq!(client.status(server.local_addr()).await.expect("it answers").hosts.len(), 1);
    assert_eq!(client.own_status(server.local_addr()).await.expect("it answers").hosts.len(), 0);
    let request = serde_json::to_string(&StatusRequest { without_hosts: true });
    let read_by_old: EmptyRequest =
        serde_json::from_str(&request.expect("it encodes")).expect("read");
    assert_eq!(read_by_old, EmptyRequest {});
}

// Two operators drain one zone. The second is told who was first. The drain is waited for, and a
// second undrain finds nothing.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_are_told_who_was_first() {
    let server = bind(Vec::new()).await;
    let to = server.local_addr();
    let drain = ["drain", "--zone", "split-1", "--wait", "20"];
    let undrain = ["undrain", "--zone", "split-1"];
    for (args, code, part) in [
        (&drain[..], 0, "in force at 1 of 1 hosts, 0 requests in flight"),
        (&drain[..], 1, "conflict: already drained by ana"),
        (&["drain", "--zone", "split-9"], 1, "no such zone"),
        (&["drain"], 2, "required"),
        (&undrain[..], 0, "is taken back"),
        (&undrain[..], 1, "nothing drains this"),
        (&["explain", "intake"], 1, "intake is known"),
    ] {
        let output = run(to, "token", args).await;
        assert_eq!(output.status.code(), Some(code), "{args:?}: {}", text(&output));
        assert!(text(&output).contains(part), "{args:?}: {}", text(&output));
    }
}
