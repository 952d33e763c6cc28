//! What the types of a manifest can't express: ranges, names that are used once, names that exist.

use std::collections::BTreeSet;

use super::{ClientBlock, DrainScope, Manifest, Service, Share};
use crate::{
    prelude::*,
    settings::{NAME_FIX, is_name},
    yaml::{Finding, Step},
};

/// Longest attempt at a target, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 10 * 60 * 1000;

/// Largest request body that a service may allow, in bytes.
const MAX_REQUEST_BODY: u64 = 64 * 1024 * 1024;

/// Most slots or connections of one target.
const MAX_PER_TARGET: u32 = 100_000;

/// Every problem of `manifest`, in its order.
pub(super) fn check(manifest: &Manifest) -> Vec<Finding> {
    check_with(manifest, manifest.client_blocks.listed())
}

/// As `check`, with `blocks` in place of the listed ones.
pub(super) fn check_with(manifest: &Manifest, blocks: &[ClientBlock]) -> Vec<Finding> {
    let mut check = Check { blocks, findings: Vec::new(), manifest };
    check.head();
    check.regions();
    check.services();
    check.blocks();
    check.parts();
    check.drains();
    check.findings
}

struct Check<'a> {
    blocks: &'a [ClientBlock],
    findings: Vec<Finding>,
    manifest: &'a Manifest,
}

impl Check<'_> {
    fn head(&mut self) {
        let manifest = self.manifest;
        self.name(&[Step::Key("member")], &manifest.member);
        if manifest.sequence == 0 {
            self.wrong(&[Step::Key("sequence")], "is 0", "begin with 1 and let it rise");
        }
        if manifest.regions.is_empty() {
            self.wrong(&[Step::Key("regions")], "names no region", "add at least one");
        }
        if manifest.services.is_empty() {
            self.wrong(&[Step::Key("services")], "names no service", "add at least one");
        }
    }

    fn regions(&mut self) {
        let mut regions = BTreeSet::new();
        let mut zones = BTreeSet::new();
        for (index, region) in self.manifest.regions.iter().enumerate() {
            let path = [Step::Key("regions"), Step::Index(index)];
            let name = join(&path, &[Step::Key("name")]);
            self.name(&name, &region.name);
            self.once(&mut regions, &region.name, &name, "region");
            self.share(&join(&path, &[Step::Key("reserve")]), region.reserve);
            if region.zones.is_empty() {
                let zones = join(&path, &[Step::Key("zones")]);
                self.wrong(&zones, "names no zone", "add at least one");
            }
            for (index, zone) in region.zones.iter().enumerate() {
                let zone_path = join(&path, &[Step::Key("zones"), Step::Index(index)]);
                self.name(&zone_path, zone);
                self.once(&mut zones, zone, &zone_path, "zone");
            }
        }
    }

    fn services(&mut self) {
        let mut services = BTreeSet::new();
        let mut targets = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (index, service) in self.manifest.services.iter().enumerate() {
            let path = [Step::Key("services"), Step::Index(index)];
            let name = join(&path, &[Step::Key("name")]);
            self.name(&name, &service.name);
            self.once(&mut services, &service.name, &name, "service");
            self.service(&path, service);
            for (index, target) in service.targets.iter().enumerate() {
                let path = join(&path, &[Step::Key("targets"), Step::Index(index)]);
                let name = join(&path, &[Step::Key("name")]);
                self.name(&name, &target.name);
                self.once(&mut targets, &target.name, &name, "target");
                // Two targets at one address would have their slots counted twice: an overload.
                let address = join(&path, &[Step::Key("address")]);
                self.once(&mut addresses, &target.address, &address, "target address");
                if target.address.port() == 0 {
                    self.wrong(&address, "has port 0", "give a port from 1 to 65535");
                }
                if target.address.ip().is_unspecified() || target.address.ip().is_multicast() {
                    self.wrong(&address, "is not the address of one machine", "give its IP");
                }
                let slots = join(&path, &[Step::Key("slots")]);
                self.range(&slots, target.slots.into(), 1, MAX_PER_TARGET.into());
                if self.manifest.region_of(&target.zone).is_none() {
                    let zone = join(&path, &[Step::Key("zone")]);
                    self.unknown(&zone, "zone", &target.zone);
                }
            }
        }
    }

    fn service(&mut self, path: &[Step], service: &Service) {
        let connections = join(path, &[Step::Key("connections")]);
        self.range(&connections, service.connections.into(), 1, MAX_PER_TARGET.into());
        let max_body = join(path, &[Step::Key("max_body")]);
        self.range(&max_body, service.max_body, 0, MAX_REQUEST_BODY);
        self.share(&join(path, &[Step::Key("shift_cap")]), service.shift_cap);
        let timeout = join(path, &[Step::Key("timeout_ms")]);
        self.range(&timeout, service.timeout_ms, 1, MAX_TIMEOUT_MS);
        if service.targets.is_empty() {
            let targets = join(path, &[Step::Key("targets")]);
            self.wrong(&targets, "names no target", "add at least one");
        }
    }

    fn blocks(&mut self) {
        let blocks = self.blocks;
        let regions: BTreeSet<&str> =
            self.manifest.regions.iter().map(|region| &*region.name).collect();
        for (index, block) in blocks.iter().enumerate() {
            let path = [Step::Key("client_blocks"), Step::Index(index)];
            if !regions.contains(&*block.home) {
                self.unknown(&join(&path, &[Step::Key("home")]), "region", &block.home);
            }
            if block.block.trunc() != block.block {
                let fix = format!("write {}", block.block.trunc());
                let field = join(&path, &[Step::Key("block")]);
                self.wrong(&field, "has bits set past its prefix", &fix);
            }
        }
        // Hundreds of thousands of blocks come sorted: sorting them again costs one pass, where a
        // set would cost a host a third of a second with every manifest.
        let mut order: Vec<usize> = (0..blocks.len()).collect();
        order.sort_by_key(|index| blocks[*index].block.trunc());
        for pair in order.windows(2) {
            if blocks[pair[0]].block.trunc() == blocks[pair[1]].block.trunc() {
                let path = [Step::Key("client_blocks"), Step::Index(pair[1]), Step::Key("block")];
                let wrong = format!("block {} is there twice", blocks[pair[1]].block);
                self.wrong(&path, &wrong, "give it once");
            }
        }
    }

    /// What a part holds was checked when it was read; which regions there are, the manifest says.
    fn parts(&mut self) {
        let manifest = self.manifest;
        let known: BTreeSet<&str> = manifest.regions.iter().map(|region| &*region.name).collect();
        let named = manifest.client_blocks.table().parts().skip(1);
        let named: BTreeSet<&RegionId> = named.flat_map(|part| part.regions()).collect();
        for region in named.into_iter().filter(|region| !known.contains(&***region)) {
            self.unknown(&[Step::Key("client_blocks")], "region", region);
        }
    }

    fn drains(&mut self) {
        let manifest = self.manifest;
        let mut drains = BTreeSet::new();
        for (index, drain) in manifest.drains.iter().enumerate() {
            let path = [Step::Key("drains"), Step::Index(index)];
            if !drains.insert(drain) {
                self.wrong(&path, "is listed twice", "list each drain once");
            }
            match drain {
                DrainScope::Host(name) => self.name(&path, name),
                DrainScope::Region(name) => {
                    if !manifest.regions.iter().any(|region| region.name == *name) {
                        self.unknown(&path, "region", name);
                    }
                }
                DrainScope::Target(name) => {
                    let mut targets = manifest.services.iter().flat_map(|service| &service.targets);
                    if !targets.any(|target| target.name == *name) {
                        self.unknown(&path, "target", name);
                    }
                }
                DrainScope::Zone(name) => {
                    if manifest.region_of(name).is_none() {
                        self.unknown(&path, "zone", name);
                    }
                }
            }
        }
    }

    fn name(&mut self, path: &[Step], name: &str) {
        if !is_name(name) {
            self.wrong(path, "is no name", NAME_FIX);
        }
    }

    fn once<T: Clone + Ord + std::fmt::Display>(
        &mut self,
        seen: &mut BTreeSet<T>,
        name: &T,
        path: &[Step],
        what: &str,
    ) {
        if !seen.insert(name.clone()) {
            self.wrong(path, &format!("{what} {name} is there twice"), "give it once");
        }
    }

    fn range(&mut self, path: &[Step], value: u64, least: u64, most: u64) {
        if !(least..=most).contains(&value) {
            self.wrong(path, &format!("is {value}"), &format!("give {least} to {most}"));
        }
    }

    fn share(&mut self, path: &[Step], share: Share) {
        // Written so that NaN is refused too.
        if !(0.0..=1.0).contains(&share) {
            let fix = "give a share from 0 to 1, such as 0.2 for 20 %";
            self.wrong(path, &format!("is {share}"), fix);
        }
    }

    fn unknown(&mut self, path: &[Step], what: &str, name: &str) {
        let fix = match what {
            "target" => "name one of `services`",
            _ => "name one of `regions`",
        };
        self.wrong(path, &format!("there is no {what} {name}"), fix);
    }

    fn wrong(&mut self, path: &[Step], wrong: &str, fix: &str) {
        self.findings.push(Finding { fix: fix.into(), path: path.to_vec(), wrong: wrong.into() });
    }
}

fn join(path: &[Step], more: &[Step]) -> Vec<Step> {
    [path, more].concat()
}
