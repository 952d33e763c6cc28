use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, UdpSocket},
};

use super::*;
use crate::{
    prelude::*,
    timeline::{EventKind, EventSink, NullSink},
};

fn tags() -> Tags {
    Tags { host: "zg-1".into(), member: "agency".into(), zone: "zagreb-a".into() }
}

#[test]
fn names_are_unique_and_documented() {
    let names: BTreeSet<_> = Metric::ALL.iter().map(|metric| metric.name()).collect();
    assert_eq!(names.len(), Metric::ALL.len());
    assert!(Metric::ALL.iter().all(|metric| !metric.doc().is_empty()));
}

#[test]
fn events_are_sent_as_datagrams() {
    let server = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    server.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    let metrics = open(Some(server.local_addr().unwrap()), &tags()).unwrap();
    let sink = MeteredTimelineSink::new(Arc::new(NullSink), metrics.clone());
    sink.record(None, EventKind::Refused { error: ErrorKind::CapReached });
    let (mut text, mut buf) = (String::new(), [0; 2_000]);
    // A flush can run before the sender thread has handled the queued metric; hosts flush every
    // second.
    for _ in 0..100 {
        metrics.flush();
        let len = server.recv(&mut buf).unwrap_or_default();
        text.push_str(std::str::from_utf8(&buf[..len]).unwrap());
        if text.contains("refused:") {
            break;
        }
    }
    assert!(text.contains("lavenderplank.refused:1|c|#"), "{text}");
    assert!(text.contains("label:cap-reached"), "{text}");
    assert!(text.contains("host:zg-1"), "{text}");
}

// If the metrics server is down or its address is wrong, the host must still serve requests:
// recording and flushing metrics must neither fail nor block.
#[test]
fn unreachable_server_is_tolerated() {
    let closed_port = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap();
    let metrics = open(Some(closed_port), &tags()).unwrap();
    for _ in 0..1_000 {
        metrics.count(Metric::Refused, 1, None);
    }
    metrics.flush();
}
