//! Semantic checks of a manifest: ranges, unique names, references to existing names.

use std::collections::BTreeSet;

use super::{ClientBlock, DrainScope, Manifest, Service, Share};
use crate::{
    prelude::*,
    settings::{NAME_FIX, is_valid_name},
    yaml::{Finding, PathSegment},
};

/// Upper bound of a service's time limit for one attempt, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 10 * 60 * 1000;

/// Upper bound of a service's limit on request bodies.
const MAX_REQUEST_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Upper bound of the slots, and of the connections, of one target.
const MAX_SLOTS_OR_CONNECTIONS: u32 = 100_000;

/// Returns every problem of `manifest`, in the order of its fields.
pub(super) fn check(manifest: &Manifest) -> Vec<Finding> {
    check_with(manifest, manifest.client_blocks.listed())
}

/// Like `check`, but checks `blocks` in place of the blocks in the manifest's text.
pub(super) fn check_with(manifest: &Manifest, blocks: &[ClientBlock]) -> Vec<Finding> {
    let mut checker = Checker { blocks, findings: Vec::new(), manifest };
    checker.top_level();
    checker.regions();
    checker.services();
    checker.blocks();
    checker.parts();
    checker.drains();
    checker.findings
}

struct Checker<'a> {
    blocks: &'a [ClientBlock],
    findings: Vec<Finding>,
    manifest: &'a Manifest,
}

impl Checker<'_> {
    fn top_level(&mut self) {
        let manifest = self.manifest;
        self.check_name(&[PathSegment::Key("member")], &manifest.member);
        if manifest.sequence == 0 {
            self.report(
                &[PathSegment::Key("sequence")],
                "is 0",
                "start with 1 and increase it with each manifest",
            );
        }
        if manifest.regions.is_empty() {
            self.report(&[PathSegment::Key("regions")], "lists no region", "add at least one");
        }
        if manifest.services.is_empty() {
            self.report(&[PathSegment::Key("services")], "lists no service", "add at least one");
        }
    }

    fn regions(&mut self) {
        let mut regions = BTreeSet::new();
        let mut zones = BTreeSet::new();
        for (index, region) in self.manifest.regions.iter().enumerate() {
            let path = [PathSegment::Key("regions"), PathSegment::Index(index)];
            let name = join(&path, &[PathSegment::Key("name")]);
            self.check_name(&name, &region.name);
            self.check_unique(&mut regions, &region.name, &name, "region");
            self.check_share(&join(&path, &[PathSegment::Key("reserve")]), region.reserve);
            if region.zones.is_empty() {
                let zones = join(&path, &[PathSegment::Key("zones")]);
                self.report(&zones, "lists no zone", "add at least one");
            }
            for (index, zone) in region.zones.iter().enumerate() {
                let zone_path =
                    join(&path, &[PathSegment::Key("zones"), PathSegment::Index(index)]);
                self.check_name(&zone_path, zone);
                self.check_unique(&mut zones, zone, &zone_path, "zone");
            }
        }
    }

    fn services(&mut self) {
        let mut services = BTreeSet::new();
        let mut targets = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (index, service) in self.manifest.services.iter().enumerate() {
            let path = [PathSegment::Key("services"), PathSegment::Index(index)];
            let name = join(&path, &[PathSegment::Key("name")]);
            self.check_name(&name, &service.name);
            self.check_unique(&mut services, &service.name, &name, "service");
            self.service(&path, service);
            for (index, target) in service.targets.iter().enumerate() {
                let path = join(&path, &[PathSegment::Key("targets"), PathSegment::Index(index)]);
                let name = join(&path, &[PathSegment::Key("name")]);
                self.check_name(&name, &target.name);
                self.check_unique(&mut targets, &target.name, &name, "target");
                // Two targets at one address would count its slots twice and overload it.
                let address = join(&path, &[PathSegment::Key("address")]);
                self.check_unique(&mut addresses, &target.address, &address, "target address");
                if target.address.port() == 0 {
                    self.report(&address, "has port 0", "give a port from 1 to 65535");
                }
                if target.address.ip().is_unspecified() || target.address.ip().is_multicast() {
                    self.report(
                        &address,
                        "is not the address of one machine",
                        "give its IP address",
                    );
                }
                let slots = join(&path, &[PathSegment::Key("slots")]);
                self.check_range(&slots, target.slots.into(), 1, MAX_SLOTS_OR_CONNECTIONS.into());
                if self.manifest.region_of(&target.zone).is_none() {
                    let zone = join(&path, &[PathSegment::Key("zone")]);
                    self.report_unknown(&zone, "zone", &target.zone);
                }
            }
        }
    }

    fn service(&mut self, path: &[PathSegment], service: &Service) {
        let connections = join(path, &[PathSegment::Key("connections")]);
        self.check_range(
            &connections,
            service.connections.into(),
            1,
            MAX_SLOTS_OR_CONNECTIONS.into(),
        );
        let max_body = join(path, &[PathSegment::Key("max_body")]);
        self.check_range(&max_body, service.max_body, 0, MAX_REQUEST_BODY_BYTES);
        self.check_share(&join(path, &[PathSegment::Key("shift_cap")]), service.shift_cap);
        let timeout = join(path, &[PathSegment::Key("timeout_ms")]);
        self.check_range(&timeout, service.timeout_ms, 1, MAX_TIMEOUT_MS);
        if service.targets.is_empty() {
            let targets = join(path, &[PathSegment::Key("targets")]);
            self.report(&targets, "lists no target", "add at least one");
        }
    }

    fn blocks(&mut self) {
        let blocks = self.blocks;
        let regions: BTreeSet<&str> =
            self.manifest.regions.iter().map(|region| &*region.name).collect();
        for (index, block) in blocks.iter().enumerate() {
            let path = [PathSegment::Key("client_blocks"), PathSegment::Index(index)];
            if !regions.contains(&*block.home) {
                self.report_unknown(
                    &join(&path, &[PathSegment::Key("home")]),
                    "region",
                    &block.home,
                );
            }
            if block.block.trunc() != block.block {
                let fix = format!("write {}", block.block.trunc());
                let field = join(&path, &[PathSegment::Key("block")]);
                self.report(&field, "has bits set past its prefix", &fix);
            }
        }
        // Hundreds of thousands of blocks arrive sorted, so sorting them takes one pass; inserting
        // them into a set would take a host a third of a second per manifest.
        let mut order: Vec<usize> = (0..blocks.len()).collect();
        order.sort_by_key(|index| blocks[*index].block.trunc());
        for pair in order.windows(2) {
            if blocks[pair[0]].block.trunc() == blocks[pair[1]].block.trunc() {
                let path = [
                    PathSegment::Key("client_blocks"),
                    PathSegment::Index(pair[1]),
                    PathSegment::Key("block"),
                ];
                let wrong = format!("block {} is listed twice", blocks[pair[1]].block);
                self.report(&path, &wrong, "list it only once");
            }
        }
    }

    /// Checks only the regions: the blocks of a part were checked when it was decoded.
    fn parts(&mut self) {
        let manifest = self.manifest;
        let defined: BTreeSet<&str> = manifest.regions.iter().map(|region| &*region.name).collect();
        let used = manifest.client_blocks.table().all_parts().skip(1);
        let used: BTreeSet<&RegionId> = used.flat_map(|part| part.regions()).collect();
        for region in used.into_iter().filter(|region| !defined.contains(&***region)) {
            self.report_unknown(&[PathSegment::Key("client_blocks")], "region", region);
        }
    }

    fn drains(&mut self) {
        let manifest = self.manifest;
        let mut drains = BTreeSet::new();
        for (index, drain) in manifest.drains.iter().enumerate() {
            let path = [PathSegment::Key("drains"), PathSegment::Index(index)];
            if !drains.insert(drain) {
                self.report(&path, "is listed twice", "list each drain once");
            }
            match drain {
                DrainScope::Host(name) => self.check_name(&path, name),
                DrainScope::Region(name) => {
                    if !manifest.regions.iter().any(|region| region.name == *name) {
                        self.report_unknown(&path, "region", name);
                    }
                }
                DrainScope::Target(name) => {
                    let mut targets = manifest.services.iter().flat_map(|service| &service.targets);
                    if !targets.any(|target| target.name == *name) {
                        self.report_unknown(&path, "target", name);
                    }
                }
                DrainScope::Zone(name) => {
                    if manifest.region_of(name).is_none() {
                        self.report_unknown(&path, "zone", name);
                    }
                }
            }
        }
    }

    fn check_name(&mut self, path: &[PathSegment], name: &str) {
        if !is_valid_name(name) {
            self.report(path, "is not a valid name", NAME_FIX);
        }
    }

    fn check_unique<T: Clone + Ord + std::fmt::Display>(
        &mut self,
        seen: &mut BTreeSet<T>,
        name: &T,
        path: &[PathSegment],
        what: &str,
    ) {
        if !seen.insert(name.clone()) {
            self.report(path, &format!("{what} {name} is listed twice"), "list it only once");
        }
    }

    fn check_range(&mut self, path: &[PathSegment], value: u64, min: u64, max: u64) {
        if !(min..=max).contains(&value) {
            self.report(path, &format!("is {value}"), &format!("give {min} to {max}"));
        }
    }

    fn check_share(&mut self, path: &[PathSegment], share: Share) {
        // Negated so that NaN is reported too.
        if !(0.0..=1.0).contains(&share) {
            let fix = "give a share from 0 to 1, such as 0.2 for 20 %";
            self.report(path, &format!("is {share}"), fix);
        }
    }

    fn report_unknown(&mut self, path: &[PathSegment], what: &str, name: &str) {
        let fix = match what {
            "target" => "name one of `services`",
            _ => "name one of `regions`",
        };
        self.report(path, &format!("there is no {what} {name}"), fix);
    }

    fn report(&mut self, path: &[PathSegment], wrong: &str, fix: &str) {
        self.findings.push(Finding { fix: fix.into(), path: path.to_vec(), wrong: wrong.into() });
    }
}

fn join(path: &[PathSegment], more: &[PathSegment]) -> Vec<PathSegment> {
    [path, more].concat()
}
