//! The program itself as an entry host, run from the binary.

use std::{
    io::{BufRead, BufReader},
    net::TcpListener,
    process::{Child, Command, Stdio},
};

use assert_matches::assert_matches;
use lavenderplank::event_log::{Event, Line, ReloadEnd};
use rustix::process::{Pid, Signal, kill_process};

/// Ends the process with the test.
struct Host(Child);

impl Drop for Host {
    fn drop(&mut self) {
        // Both fail where the process has ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A host starts, its settings are to be read again, and it is stopped as planned. On-call engineers
/// see each on standard output, the stop too: its line is the last that the process writes.
#[test]
fn the_log_begins_with_the_start_and_ends_with_the_stop() {
    // Nobody listens there: the store is away all the time.
    let away = TcpListener::bind("127.0.0.1:0").and_then(|it| it.local_addr()).expect("a port");
    let free = "127.0.0.1:0";
    let settings = format!(
        "host: a\nzone: z\nregion: r\nzones: {{ z: r }}\nstore: {away}\n\
         listen: {{ callers: {free}, control: {free}, lookup: {free}, ready: {free}, gossip: {free} }}\n\
         bounds: {{ grace: 6s, lookup_ttl: 5s, max_shift: 0.15, retry_ratio: 0.2, retry_slack: 64 }}\n"
    );
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("entry-process.yaml");
    std::fs::write(&path, settings).expect("a temporary file");
    let child = Command::new(env!("CARGO_BIN_EXE_lavenderplank"))
        .args(["entry", "--settings"])
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut host = Host(child);
    let out = host.0.stdout.take().expect("it is piped");
    let mut lines = BufReader::new(out).lines().map(|line| {
        let line = line.expect("it is text");
        serde_json::from_str::<Line>(&line).unwrap_or_else(|error| panic!("{line}: {error}")).event
    });
    assert_matches!(lines.next(), Some(Event::Started { .. }));
    let pid = Pid::from_child(&host.0);
    kill_process(pid, Signal::HUP).expect("it runs");
    let reloaded = lines.find(|event| matches!(event, Event::Reloaded { .. }));
    assert_matches!(reloaded, Some(Event::Reloaded { end: ReloadEnd::Unchanged, .. }));
    kill_process(pid, Signal::TERM).expect("it runs");
    let rest: Vec<Event> = lines.collect();
    assert!(rest.iter().any(|event| matches!(event, Event::Stopping { .. })), "{rest:?}");
    assert_matches!(rest.last(), Some(Event::Stopped { open: 0, .. }));
    assert_eq!(host.0.wait().expect("it has ended").code(), Some(0));
}
