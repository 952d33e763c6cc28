//! Why a request would go where it goes, as far as the view tells.

use std::net::IpAddr;

use super::explanation::Explanation;
use crate::{
    lookup::{BlockTable, HostIndex, LookupRequest, owner_of},
    manifest::{DrainScope, Service, Target},
    peer::ExplainRequest,
    prelude::*,
    view::{HostView, View},
};

/// Follows one request through the view: home region, hosts, targets with their owners, and what
/// keeps each of them out. What only a target's owner knows (slots in use, failures) is added by
/// the caller of this function.
pub fn explain(view: &View, blocks: &BlockTable, ask: &ExplainRequest, now: Moment) -> Explanation {
    let mut explanation = Explanation::default();
    explanation.step("manifest", format!("sequence {} is in force", view.manifest.sequence));
    let Some(service) = view.manifest.service(&ask.service) else {
        explanation.step("service", format!("{} is not in the manifest", ask.service));
        return explanation;
    };
    explanation.step("service", format!("{} is a {:?} service", service.name, service.kind));
    let home = home(&mut explanation, view, blocks, ask.caller);
    hosts(&mut explanation, view, blocks, ask);
    targets(&mut explanation, view, service, &home);
    right(&mut explanation, view, now);
    if !view.silent_regions.is_empty() {
        let regions: Vec<&str> = view.silent_regions.iter().map(|region| &**region).collect();
        explanation.step("silent", format!("not heard: {}", regions.join(" ")));
    }
    explanation
}

fn home(
    explanation: &mut Explanation,
    view: &View,
    blocks: &BlockTable,
    caller: Option<IpAddr>,
) -> RegionId {
    let own = view.own.region.clone();
    let Some(caller) = caller else {
        explanation.step("home", format!("no caller given; taken as at home in {own}"));
        return own;
    };
    match blocks.home_region(caller) {
        Some(home) => {
            explanation.step("home", format!("{caller} is in a client block of region {home}"));
            home.clone()
        }
        None => {
            let text = format!("{caller} is in no client block; taken as at home in {own}");
            explanation.step("home", text);
            own
        }
    }
}

fn hosts(explanation: &mut Explanation, view: &View, blocks: &BlockTable, ask: &ExplainRequest) {
    if let Some(client) = ask.caller {
        let lookup = HostIndex::build(view)
            .rank(blocks, &LookupRequest { client, service: ask.service.clone() });
        let ranked: Vec<String> = lookup.hosts.iter().map(|host| host.host.to_string()).collect();
        explanation.step("hosts", format!("a look-up gives {}", ranked.join(", then ")));
    }
    for host in view.hosts.iter().filter(|host| !takes_work(view, host)) {
        let why = if host.leaving { "is stopping" } else { "is drained" };
        explanation.step("host out", format!("{} {why}", host.id));
    }
}

fn targets(explanation: &mut Explanation, view: &View, service: &Service, home: &RegionId) {
    let mut nearest: Option<(u8, TargetId)> = None;
    for target in &service.targets {
        let (finding, tier) = finding(view, target, home);
        explanation.step("target", format!("{}: {finding}", target.name));
        let Some(tier) = tier else { continue };
        if nearest.as_ref().is_none_or(|(best, _)| tier < *best) {
            nearest = Some((tier, target.name.clone()));
        }
    }
    explanation.target = nearest.map(|(_, target)| target);
}

/// What is said of a target, and how far it is from home: 0 this zone, 1 home region, 2 beyond;
/// `None` if it is out.
fn finding(view: &View, target: &Target, home: &RegionId) -> (String, Option<u8>) {
    let Some(region) = view.manifest.region_of(&target.zone) else {
        return ("its zone is not in the manifest".into(), None);
    };
    let drains = view.drains.iter().chain(&view.manifest.drains);
    for scope in drains {
        let covers = match scope {
            DrainScope::Host(_) => false,
            DrainScope::Region(name) => *name == region.name,
            DrainScope::Target(name) => *name == target.name,
            DrainScope::Zone(name) => *name == target.zone,
        };
        if covers {
            return (format!("drained by {scope:?}"), None);
        }
    }
    let Some(owner) = owner(view, target) else {
        return (format!("no live host in zone {} owns it", target.zone), None);
    };
    let (place, tier) = if target.zone == view.own.zone && region.name == *home {
        ("in this zone", 0)
    } else if region.name == *home {
        ("in the home region", 1)
    } else {
        ("outside the home region: only under the shift cap and the region's reserve", 2)
    };
    let near = target.zone == view.own.zone;
    let reduced = near && view.tenure.is_provisional(&target.name);
    let reduced = if reduced { ", at reduced concurrency" } else { "" };
    (format!("{place}, sent to by {owner}{reduced}, {} slots", target.slots), Some(tier))
}

fn owner(view: &View, target: &Target) -> Option<HostId> {
    if target.zone == view.own.zone {
        return owner_of(&target.name, &view.tenure.owners).cloned();
    }
    let live = view.hosts.iter().filter(|host| host.zone == target.zone && !host.leaving);
    let live: Vec<HostId> = live.map(|host| host.id.clone()).collect();
    owner_of(&target.name, &live).cloned()
}

fn right(explanation: &mut Explanation, view: &View, now: Moment) {
    let left = view.tenure.valid_until.saturating_sub(now);
    let finding = if left.is_zero() {
        "this host's right to its targets has lapsed: it sends nothing itself".into()
    } else {
        format!("this host's right to its targets holds for {:.1} s", left.as_secs_f64())
    };
    explanation.step("right", finding);
}

fn takes_work(view: &View, host: &HostView) -> bool {
    let drains = || view.drains.iter().chain(&view.manifest.drains);
    let drained = drains().any(|scope| match scope {
        DrainScope::Host(name) => *name == host.id,
        DrainScope::Region(name) => *name == host.region,
        DrainScope::Target(_) => false,
        DrainScope::Zone(name) => *name == host.zone,
    });
    !host.leaving && !drained
}
