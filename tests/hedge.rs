//! Reads on running hosts while a target is slow.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up fails the test")]

#[path = "support/hosts.rs"]
mod hosts;

use hosts::{Member, READ, header, served};

/// Reads that teach a host what is usual, and some more: it may own one target only, and answer
/// others' reads.
const WARM: usize = 200;

// One of two targets turns slow: it would answer after the caller's time limit. Reads that are sent
// there get a second attempt at the other one, by the host itself or by the other host, whichever
// owns it, and are answered in time. Each answer is the whole one to its own request.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_target_costs_no_read() {
    let mut member = Member::open().await;
    let first = member.host("a-1", &[]).await;
    let second = member.host("a-2", &[&first]).await;
    for host in [&first, &second] {
        let url = format!("http://{}/v1/services/{READ}/", host.http_addr());
        let read = |id: &str| member.http.get(&url).header("lavender-request-id", id);
        // Several at a time, or the target that answered first would get them all, and the other
        // one stay cold and have nothing to spare.
        for number in 0..WARM / 4 {
            let keys = [0, 1, 2, 3].map(|part| format!("w-{number}-{part}"));
            futures::future::join_all(keys.iter().map(|key| served(key, read))).await;
        }
    }
    // What a former owner may still run counts against its targets for five seconds.
    tokio::time::sleep(std::time::Duration::from_secs(6)).await;
    member.slow_one_down(READ, 1_000);
    for number in 0..20 {
        for host in [&first, &second] {
            let id = format!("r-{number}-{}", host.http_addr().port());
            let url = format!("http://{}/v1/services/{READ}/", host.http_addr());
            let read = member.http.get(&url).header("lavender-request-id", &id);
            let res = read.header("lavender-deadline-ms", "1500").send().await.unwrap();
            let told = (res.status().as_u16(), header(&res, "lavender-error").to_string());
            assert_eq!(told, (200, String::new()), "{id}");
            assert!(res.text().await.unwrap().starts_with(&id));
        }
    }
}
