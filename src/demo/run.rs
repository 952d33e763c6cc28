//! The course of a run.

use std::{sync::atomic::AtomicUsize, time::Instant};

use tokio::task::JoinSet;

use super::{
    cluster::Cluster,
    events::{Drained, Events},
    load::Load,
    members::MemberPlan,
    promise::Tally,
    report::{MemberReport, Report},
    scenario::Scenario,
    watch::Watch,
};
use crate::{
    prelude::*, standin::platform::PlatformStandin, timeline::Filter, trace::SteerRecorder,
};

/// Time for all hosts to have the first manifest and to know each other.
const WARM_UP: Duration = Duration::from_secs(60);

/// What is run.
#[derive(Clone)]
pub struct DemoPlan {
    /// Only this member, if given.
    pub member: Option<MemberId>,
    pub scenario: Scenario,
    pub seconds: u64,
    pub seed: u64,
    /// Takes down the decisions of the hosts of the first member that is run.
    pub record: Option<SteerRecorder>,
}

/// Runs both members side by side and reports what was seen.
pub async fn run(plan: DemoPlan) -> eyre::Result<Report> {
    let members: Vec<MemberPlan> = MemberPlan::all()
        .into_iter()
        .filter(|member| plan.member.as_deref().is_none_or(|name| name == member.name))
        .collect();
    eyre::ensure!(!members.is_empty(), "no such member; use himalaya-tara or gradski-servis");
    let mut runs = JoinSet::new();
    for (number, member) in members.into_iter().enumerate() {
        let record = plan.record.clone().filter(|_| number == 0);
        runs.spawn(run_member(DemoPlan { record, ..plan.clone() }, member));
    }
    let mut report = Report { members: Vec::new(), seconds: plan.seconds, seed: plan.seed };
    while let Some(done) = runs.join_next().await {
        report.members.push(done??);
    }
    report.members.sort_by(|a, b| a.member.cmp(&b.member));
    Ok(report)
}

async fn run_member(plan: DemoPlan, member: MemberPlan) -> eyre::Result<MemberReport> {
    let platform = Arc::new(PlatformStandin::bind(([127, 0, 0, 1], 0).into()).await?);
    let cluster = Cluster::open(member, platform.address(), plan.seed, plan.record.clone()).await?;
    let cluster = Arc::new(cluster);
    let tally = Arc::new(Tally::default());
    let watch = Arc::new(tokio::sync::Mutex::new(Watch::default()));
    let events = Events {
        cluster: cluster.clone(),
        platform,
        stops: AtomicUsize::new(0),
        tally: tally.clone(),
        watch: watch.clone(),
    };
    events.apply().await?;
    cluster.start_hosts().await?;
    wait_until_ready(&cluster).await?;
    tell_address(&cluster).await;

    let watcher = tokio::spawn(Watch::run(watch.clone(), cluster.clone(), tally.clone()));
    let load = Load::new(cluster.clone(), tally.clone());
    let sender = tokio::spawn(load.clone().run(plan.seed));
    let mut drained = Vec::new();
    follow(&plan, &events, &load, &mut drained).await?;
    load.stop();
    sender.await??;
    watcher.abort();
    let drain_time = events.check_drains(&drained);
    let watch = watch.lock().await;
    let records = std::mem::take(&mut *load.records.lock().expect("no holder panics"));
    let invariants = broken_invariants(&cluster).await;
    Ok(MemberReport::new(&cluster, &records, &tally, &watch, drain_time, invariants))
}

/// Carries out the scenario at its times and waits for the end of the run.
async fn follow(
    plan: &DemoPlan,
    events: &Events,
    load: &Load,
    drained: &mut Vec<Drained>,
) -> eyre::Result<()> {
    let length = Duration::from_secs(plan.seconds);
    for event in &plan.scenario.events {
        let at = load.started + length.mul_f64(event.at);
        tokio::time::sleep_until(at.into()).await;
        events.carry_out(event.deed, drained).await?;
    }
    tokio::time::sleep_until((load.started + length).into()).await;
    Ok(())
}

/// Says where operators reach the member while it runs.
async fn tell_address(cluster: &Cluster) {
    let seats = cluster.seats.lock().await;
    let Some(host) = seats.last().and_then(|seat| seat.daemon.as_ref()) else { return };
    let (member, rpc) = (cluster.plan.name, host.rpc_addr());
    eprintln!("{member}: operators reach it at {rpc} with the token 'operator of {member}'");
}

async fn broken_invariants(cluster: &Cluster) -> Vec<String> {
    let filter = Filter { kind: Some("invariant-broken".into()), ..Filter::default() };
    let seats = cluster.seats.lock().await;
    let hosts = seats.iter().filter_map(|seat| seat.daemon.as_ref());
    let events = hosts.flat_map(|host| host.recorder().events(&filter));
    events.map(|event| format!("{}: {:?}", event.host, event.kind)).collect()
}

async fn wait_until_ready(cluster: &Cluster) -> eyre::Result<()> {
    let until = Instant::now() + WARM_UP;
    while Instant::now() < until {
        let seats = cluster.seats.lock().await;
        let all = seats.len();
        let ready = |daemon: &crate::daemon::Daemon| {
            daemon.traffic().view().is_some_and(|view| view.hosts.len() == all)
        };
        if seats.iter().all(|seat| seat.daemon.as_ref().is_some_and(ready)) {
            return Ok(());
        }
        drop(seats);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let seats = cluster.seats.lock().await;
    let known = seats.iter().map(|seat| {
        let view = seat.daemon.as_ref().and_then(|daemon| daemon.traffic().view());
        let hosts = view.iter().flat_map(|view| &view.hosts);
        let names: Vec<&str> = hosts.map(|host| &*host.id).collect();
        format!("{} knows {}", seat.name, names.join(" "))
    });
    let known = known.collect::<Vec<_>>().join("; ");
    eyre::bail!("the hosts did not find each other within {WARM_UP:?}: {known}")
}
