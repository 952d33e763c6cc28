//! Responses of the platform's store that never end, over loopback.

use std::{fs, time::Duration};

use assert_matches::assert_matches;
use bytes::Bytes;
use lavenderplank::{
    platform::{
        ObjectStore,
        standin::{TargetIdentity, TargetStandin, Unending, UnendingPart},
    },
    store::{Expect, Platform, PlatformError, Result},
};

const PARTS: [UnendingPart; 5] = [
    UnendingPart::Body,
    UnendingPart::ChunkExtension,
    UnendingPart::Head,
    UnendingPart::Informational,
    UnendingPart::Trailers,
];

/// Memory that the calls of a host may take up for responses that never end.
const MAX_GROWTH_KB: usize = 128 * 1024;

const WATCH_WAIT: Duration = Duration::from_millis(500);

/// Guards against a host whose memory grows with what the store sends, until the time of a call is
/// over. The call fails as one without an answer does, so that it is repeated.
#[tokio::test]
async fn a_store_whose_responses_never_end_takes_no_memory() {
    let identity = TargetIdentity { id: "store", service: "store", zone: "north-a" };
    let standin = TargetStandin::spawn(identity).await.expect("a free port");
    let before = peak_memory_kb();
    for part in PARTS {
        standin.set_unending(Some(Unending { part, pause: Duration::ZERO }));
        let store = ObjectStore::new(standin.addr());
        is_unanswered(part, store.list("servers").await);
        is_unanswered(part, store.get("servers/a").await);
        is_unanswered(part, store.watch("servers", 1, WATCH_WAIT).await);
        let value = Bytes::from_static(b"{}");
        is_unanswered(part, store.put("servers/a", Expect::Absent, value, "w-1".into()).await);
    }
    let growth = peak_memory_kb() - before;
    assert!(growth < MAX_GROWTH_KB, "grew by {growth} KB");
}

fn is_unanswered<T: std::fmt::Debug>(part: UnendingPart, result: Result<T>) {
    assert_matches!(
        result,
        Err(PlatformError::Unavailable { may_have_applied: true, .. }),
        "{part:?}"
    );
}

/// Peak of this process's resident memory.
fn peak_memory_kb() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}
