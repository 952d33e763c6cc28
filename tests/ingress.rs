//! Callers that take up more of a host than they may, over real sockets.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up fails the test")]

use lavenderplank::{daemon::Daemon, ingress::IngressLimits};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

#[path = "support/hosts.rs"]
mod hosts;
#[path = "support/raw_target.rs"]
mod raw_target;

use raw_target::{RawTarget, Step};

use hosts::{BOOKING, Member, READ, header, served, until};

async fn small_host(ingress: IngressLimits) -> (Member, Daemon) {
    let mut member = Member::open().await;
    member.ingress = ingress;
    let host = member.host("zagreb-a-1", &[]).await;
    (member, host)
}

async fn connect(host: &Daemon) -> TcpStream {
    TcpStream::connect(host.http_addr()).await.unwrap()
}

/// What the host says until it closes the connection.
async fn said(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    // A connection that is reset has said what it had to say.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

async fn is_read_served(member: &Member, host: &Daemon) -> bool {
    let url = format!("http://{}/v1/services/{READ}/", host.http_addr());
    let sent = member.http.get(url).header("connection", "close").send().await;
    sent.is_ok_and(|res| header(&res, "lavender-ran") == "yes")
}

// Somebody opens all the connections that a host takes and says nothing, or half a head. The next
// caller is closed at once and can go on to another host. The silent ones are closed after their
// time, and callers are served again, without an operator.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_closed_and_make_room() {
    let limits = IngressLimits { connections: 3, silence_ms: 4000, ..IngressLimits::default() };
    let (member, host) = small_host(limits).await;
    until(|| is_read_served(&member, &host)).await;
    let heads = ["", "GET / HTTP/1.1\r\nhos", "POST /v1/services/status/ HTTP/1.1\r\n"];
    let mut silent = Vec::new();
    for head in heads.iter().cycle().take(9) {
        let mut stream = connect(&host).await;
        // One beyond the limit may be closed already.
        let _ = stream.write_all(head.as_bytes()).await;
        silent.push(stream);
    }
    let mut next = connect(&host).await;
    let look_up = format!("GET /v1/lookup?service={READ} HTTP/1.1\r\nhost: a\r\n\r\n");
    let _ = next.write_all(look_up.as_bytes()).await;
    assert_eq!(said(next).await, "");
    for stream in silent {
        let answer = said(stream).await;
        assert!(!answer.contains("200 OK"), "{answer}");
    }
    until(|| is_read_served(&member, &host)).await;
}

// A terminal loses its link in the middle of a booking's body. The host gives the body up and
// says so; it says `unknown`, since an earlier copy may have run, and the target never sees this
// one. The whole copy that follows is served.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_stops_is_given_up_and_does_not_run() {
    let limits = IngressLimits { silence_ms: 200, ..IngressLimits::default() };
    let (member, host) = small_host(limits).await;
    let binding = member.look_up(&host, BOOKING).await.unwrap().binding.to_string();
    let mut stream = connect(&host).await;
    let head = format!(
        "POST /v1/services/{BOOKING}/ HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         idempotency-key: k-1\r\nlavender-binding: {binding}\r\ncontent-length: 17\r\n\r\none pair"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let answer = said(stream).await;
    assert!(answer.contains("lavender-ran: unknown\r\n"), "{answer}");
    assert!(answer.contains("lavender-resend: same\r\n"), "{answer}");
    assert_eq!(member.log.runs("k-1"), 0);
    let book = |key: &str| member.book(&host, key).header("lavender-binding", &binding);
    let whole = served("k-2", book).await;
    assert_eq!((whole.res.status().as_u16(), member.log.runs(&whole.key)), (200, 1));
}

// Three domes begin to pull a file from a target of three slots, and stop reading without closing
// their connections. They must not keep the target's slots for ever: after their time the slots are
// free, and the next dome gets its file.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_stop_reading_give_up_their_slots() {
    const SERVICE: &str = "catalog";
    // More than the buffers of the sockets between target and caller hold.
    const LENGTH: usize = 32 << 20;
    let answer =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {LENGTH}\r\n\r\n{}", "x".repeat(LENGTH));
    let target = RawTarget::bind(&[&[Step::ReadAll, Step::Write(answer.leak())]]).await;
    let mut member = Member::open().await;
    member.ingress = IngressLimits { silence_ms: 1000, ..IngressLimits::default() };
    member.files.push((SERVICE.into(), vec![target.address]));
    member.apply(2).await;
    let host = member.host("zagreb-a-1", &[]).await;
    until(|| is_read_served(&member, &host)).await;
    let mut stalled = Vec::new();
    for _ in 0..3 {
        let mut stream = connect(&host).await;
        let head = format!("GET /v1/services/{SERVICE}/ HTTP/1.1\r\nhost: a\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        stalled.push(stream);
    }
    let url = format!("http://{}/v1/services/{SERVICE}/", host.http_addr());
    let file = |_: &str| member.http.get(&url).header("lavender-deadline-ms", "20000");
    let whole = served("file", file).await;
    assert_eq!(whole.res.bytes().await.unwrap().len(), LENGTH);
    drop(stalled);
}
