//! Hosts whose links to all targets are cut, while callers, the store and other hosts reach them.

#[path = "support/entry.rs"]
mod support;

use std::time::Duration;

use lavenderplank::{
    entry::EntryHost,
    event_log::Event,
    platform::standin::{LinkMode, ResponseMode, Unending, UnendingPart},
};
use support::{Ask, World, booking, read, run, until};

/// Time after a cut from which on first tries have to be served.
const STABILITY_WINDOW: Duration = Duration::from_secs(4);

/// Time after which all hosts know what one of them reports.
const NOTICE_PERIOD: Duration = Duration::from_millis(500);

/// Number of first tries that are compared.
const TRIES: usize = 60;

/// A host that reaches no target refuses nearly all first tries, while another host of its zone
/// serves its own.
#[test]
fn first_tries_at_a_host_that_reaches_no_target_are_served() {
    for mode in [LinkMode::Reset, LinkMode::Silent, LinkMode::RefuseNew] {
        run(async {
            let world = World::spawn(&["north-a", "north-a", "north-b"]).await;
            let (cut, links) = world.host_with_links("a", "north-a").await;
            let other = world.host("b").await;
            until_hosts_know_each_other(&world, &cut, 2).await;
            assert_eq!(served(&world, &cut, 6).await, 6, "before the cut");
            links.set(mode);
            let window = tokio::time::sleep(STABILITY_WINDOW);
            tokio::pin!(window);
            loop {
                tokio::select! {
                    () = &mut window => break,
                    _ = served(&world, &cut, 1) => tokio::time::sleep(Duration::from_millis(50)).await,
                }
            }
            let at_others = served(&world, &other, TRIES).await;
            let at_cut = served(&world, &cut, TRIES).await;
            assert!(
                at_others * 2 <= at_cut * 3,
                "{mode:?}: {at_cut} of {TRIES} served, {at_others} at the other host"
            );
        });
    }
}

/// Guards against a storm between hosts that all reach no target: each request is refused at once, as
/// not run, and none goes round.
#[test]
fn requests_are_refused_at_once_if_all_hosts_are_cut_off() {
    run(async {
        let world = World::spawn(&["north-a", "north-a", "north-b"]).await;
        let (first, first_links) = world.host_with_links("a", "north-a").await;
        let (second, second_links) = world.host_with_links("b", "north-a").await;
        until_hosts_know_each_other(&world, &first, 2).await;
        first_links.set(LinkMode::Reset);
        second_links.set(LinkMode::Reset);
        for host in [&first, &second] {
            until_cut_off(&world, host).await;
        }
        tokio::time::sleep(NOTICE_PERIOD).await;
        let before = world.arrivals();
        for ask in [read("r-9"), booking("b-9")] {
            let attempt = ask.attempt.to_owned();
            let answer = world.ask(&first, ask).await.expect("an answer");
            assert_eq!(answer.status(), 503);
            assert!(answer.headers().contains_key("retry-after"));
            assert!(!is_relayed(&world, &attempt));
        }
        assert_eq!(world.arrivals(), before);
    });
}

/// Guards against a target whose responses never end and that holds up, through the host that serves
/// for it, also the one that reaches no target.
#[test]
fn a_relayed_response_that_never_ends_is_bounded() {
    run(async {
        for (mode, status) in
            [(ResponseMode::Serve, 200), (ResponseMode::Fail, 500), (ResponseMode::Shed, 503)]
        {
            let world = World::spawn(&["north-a", "north-a"]).await;
            let (cut, _other, _third) = cut_off_host(&world).await;
            let before = world.arrivals();
            for target in &world.targets {
                target.queue_responses(&[mode; 4]);
                let pause = Duration::ZERO;
                target.set_unending(Some(Unending { part: UnendingPart::Body, pause }));
            }
            let ask = Ask { time_left: 1_000, ..booking("b-1") };
            let mut answer = world.ask(&cut, ask).await.expect("a head");
            assert_eq!(answer.status(), status, "{mode:?}");
            while let Ok(Some(_)) = answer.chunk().await {}
            until("the targets are left alone", async || {
                let closed = world.targets.iter().map(|target| target.unending_closed());
                before + closed.sum::<usize>() == world.arrivals()
            })
            .await;
            assert!(before < world.arrivals(), "{mode:?}");
        }
    });
}

/// Guards against a booking that runs twice because the host that serves it for another loses the
/// response.
#[test]
fn a_relayed_booking_that_may_have_run_is_not_sent_again() {
    run(async {
        let world = World::spawn(&["north-a", "north-a"]).await;
        let (cut, _other, _third) = cut_off_host(&world).await;
        let before = world.arrivals();
        world.targets.iter().for_each(|target| target.queue_responses(&[ResponseMode::Reset]));
        let answer = world.ask(&cut, booking("b-1")).await.expect("an answer");
        assert_eq!(answer.status(), 502);
        assert!(!answer.headers().contains_key("retry-after"));
        assert_eq!(world.arrivals() - before, 1);
    });
}

/// Guards against a relayed request that gets more attempts than its route allows, or that asks a
/// target again that has just failed it.
#[test]
fn a_relayed_read_keeps_the_attempts_of_its_route() {
    run(async {
        let world = World::spawn(&["north-a", "north-a"]).await;
        let (cut, _other, _third) = cut_off_host(&world).await;
        let before: Vec<usize> = world.targets.iter().map(|it| it.received().len()).collect();
        for target in &world.targets {
            target.queue_responses(&[ResponseMode::Fail, ResponseMode::Fail, ResponseMode::Fail]);
        }
        let answer = world.ask(&cut, read("r-1")).await.expect("an answer");
        assert_eq!(answer.status(), 500, "the target's own response");
        let after = world.targets.iter().map(|it| it.received().len());
        let arrived: Vec<usize> = after.zip(before).map(|(after, before)| after - before).collect();
        assert_eq!(arrived, [1, 1]);
    });
}

/// Guards against relayed requests that are sent a second time with each round of probes.
#[test]
fn a_relayed_read_is_not_repeated_while_the_host_stays_cut_off() {
    run(async {
        let world = World::spawn(&["north-a", "north-a"]).await;
        let (cut, _other, _third) = cut_off_host(&world).await;
        world.targets.iter().for_each(|it| it.set_processing_time(Duration::from_millis(900)));
        let before = world.arrivals();
        let answer = world.ask(&cut, read("r-1")).await.expect("an answer");
        assert_eq!((answer.status().as_u16(), world.arrivals() - before), (200, 1));
    });
}

/// Guards against targets that go on working for a caller that has left, and against a response that
/// looks complete though it was cut off.
#[test]
fn a_relayed_request_ends_with_its_caller_and_its_response_with_its_target() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let (cut, _other, _third) = cut_off_host(&world).await;
        let target = &world.targets[0];
        target.set_response_body(vec![7; 300_000]);
        let whole = world.ask(&cut, read("r-1")).await.expect("an answer").bytes().await;
        assert_eq!(whole.expect("a whole body").len(), 300_000);
        target.queue_responses(&[ResponseMode::Truncate]);
        let broken = world.ask(&cut, read("r-2")).await.expect("an answer").bytes().await;
        assert!(broken.is_err());
        let disconnects = target.disconnects();
        target.set_processing_time(Duration::from_secs(20));
        let left = tokio::time::timeout(Duration::from_millis(300), world.ask(&cut, read("r-3")));
        assert!(left.await.is_err(), "the caller leaves");
        until("the target is told", async || disconnects < target.disconnects()).await;
    });
}

/// Guards against a host that goes on asking others after its links are back.
#[test]
fn a_host_serves_its_callers_itself_once_its_links_are_back() {
    run(async {
        let world = World::spawn(&["north-a", "north-a", "north-b"]).await;
        let (cut, links) = world.host_with_links("a", "north-a").await;
        let _other = world.host("b").await;
        until_hosts_know_each_other(&world, &cut, 2).await;
        links.set(LinkMode::Silent);
        until_cut_off(&world, &cut).await;
        until("it is out of look-ups", async || hosts_in_look_ups(&world, &cut).await == 1).await;
        links.set(LinkMode::Open);
        until("it is back", async || {
            world.events.has(|event| matches!(event, Event::TargetsReachable { .. }))
        })
        .await;
        let answer = world.ask(&cut, read("r-own")).await.expect("an answer");
        assert_eq!(answer.status(), 200);
        assert!(!is_relayed(&world, "r-own"));
        until("it is in look-ups", async || hosts_in_look_ups(&world, &cut).await == 2).await;
    });
}

fn is_relayed(world: &World, attempt: &str) -> bool {
    world.events.of(attempt).iter().any(|event| matches!(event, Event::Relayed { .. }))
}

/// A host that reaches no target, and two others that do.
async fn cut_off_host(world: &World) -> (EntryHost, EntryHost, EntryHost) {
    let (cut, links) = world.host_with_links("a", "north-a").await;
    let others = (world.host("b").await, world.host("c").await);
    until_hosts_know_each_other(world, &cut, 3).await;
    links.set(LinkMode::Reset);
    until_cut_off(world, &cut).await;
    tokio::time::sleep(NOTICE_PERIOD).await;
    (cut, others.0, others.1)
}

/// Sends requests until the host has found out that it reaches no target.
async fn until_cut_off(world: &World, host: &EntryHost) {
    until("the host knows that it is cut off", async || {
        let _ = served(world, host, 2).await;
        let url = format!("http://{}/metrics", host.listen().metrics.expect("it is served"));
        let metrics = world.http.get(url).send().await.expect("metrics").text().await;
        metrics.expect("a text").contains("lavenderplank_reaches_targets 0")
    })
    .await;
}

/// Number of first tries that a host serves, half of them bookings.
async fn served(world: &World, host: &EntryHost, tries: usize) -> usize {
    let mut served = 0;
    for at in 0..tries {
        let ask = if at % 2 == 0 { read("r-1") } else { booking("b-1") };
        let answer = world.ask(host, ask).await;
        served += usize::from(answer.is_ok_and(|answer| answer.status() == 200));
    }
    served
}

/// Waits until the look-ups of a host name `count` hosts.
async fn until_hosts_know_each_other(world: &World, host: &EntryHost, count: usize) {
    until("the hosts know each other", async || hosts_in_look_ups(world, host).await == count)
        .await;
}

async fn hosts_in_look_ups(world: &World, host: &EntryHost) -> usize {
    let url = format!("http://{}/api/resolve?region=north&zone=north-a", host.listen().lookup);
    let answer = world.http.get(&url).send().await.expect("an answer");
    answer.text().await.expect("a text").matches("127.0.0.1").count()
}
