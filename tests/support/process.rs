//! Hosts in processes of their own, run from the binary.

#![allow(dead_code, reason = "each test uses its part")]

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use lavenderplank::daemon::LookupBody;
use rustix::process::{Pid, Signal, kill_process};

use super::hosts::{BOOKING, Member, OPERATOR_TOKEN, PEER_KEY};

/// One host in a process of its own; ended with the test.
pub struct Process {
    pub http: SocketAddr,
    pub rpc: SocketAddr,
    child: Child,
}

impl Process {
    /// Starts it; it prints its addresses.
    pub fn start(member: &Member, name: &str, peers: &[&Process]) -> Self {
        let peers = peers.iter().map(|peer| peer.rpc).collect();
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let path = dir.join(format!("{name}-{}.yaml", member.platform.address().port()));
        let settings = serde_norway::to_string(&member.settings(name, peers)).unwrap();
        std::fs::write(&path, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_lavenderplank"))
            .args(["run", "--threads", "1", "--settings"])
            .arg(&path)
            .env("LAVENDERPLANK_PEER_KEY", PEER_KEY)
            .env("LAVENDERPLANK_OPERATOR_TOKEN", OPERATOR_TOKEN)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = |name: &str| {
            let word = line.split_whitespace().find_map(|word| word.strip_prefix(name));
            word.unwrap().parse().unwrap()
        };
        Self { http: address("http="), rpc: address("rpc="), child }
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    /// Its exit code, once it has ended.
    pub async fn ended(&mut self) -> Option<i32> {
        let mut code = None;
        for _ in 0..600 {
            if let Some(status) = self.child.try_wait().unwrap() {
                code = status.code();
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        code
    }

    /// A look-up at it.
    pub async fn look_up(&self, member: &Member) -> Option<LookupBody> {
        let url = format!("http://{}/v1/lookup?service={BOOKING}", self.http);
        member.http.get(url).send().await.ok()?.error_for_status().ok()?.json().await.ok()
    }

    /// Whether it takes this many hosts for live.
    pub async fn knows(&self, member: &Member, hosts: usize) -> bool {
        self.look_up(member).await.is_some_and(|lookup| lookup.hosts.len() == hosts)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail where the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
