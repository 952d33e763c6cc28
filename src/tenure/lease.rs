//! Computes the tenure from the state at a given time.

use std::collections::BTreeSet;

use super::{LEASE, machine::TenureManager};
use crate::{base::invariant, prelude::*, view::Tenure};

impl TenureManager {
    /// Returns this host's tenure. It holds until `valid_until` without further confirmation.
    pub fn tenure(&self, now: Moment) -> Tenure {
        let silent = self.silent_hosts(now);
        let listed = self.list.contains(&self.own) && !self.leaving;
        let mut owners = self.live_holders(&silent);
        let mut provisional: BTreeSet<HostId> = silent.clone();
        provisional.extend(
            self.removed_until.iter().filter(|(_, end)| now < **end).map(|(id, _)| id.clone()),
        );
        if !listed {
            owners.retain(|host| *host != self.own.host);
            return self.unlisted_tenure(owners, provisional, now);
        }
        if now < self.joining_until {
            provisional.insert(self.own.host.clone());
        }
        let confirmed_until = self.confirmed_at().map(|at| at + LEASE);
        let valid_until = match confirmed_until.filter(|until| now < *until) {
            Some(until) => until,
            None if self.is_unconfirmed_after_pause(&silent, now) => Moment::ZERO,
            None => {
                if !self.is_isolated(&silent, now) {
                    provisional.insert(self.own.host.clone());
                }
                self.last_tick + LEASE
            }
        };
        invariant::check(valid_until <= now + LEASE, "tenure-within-lease", || {
            format!("{valid_until:?} at {now:?}")
        });
        Tenure { owners, provisional, valid_until }
    }

    /// Whether the lease was never confirmed, or more than three quarters of it have passed since.
    pub(super) fn expires_soon(&self, now: Moment) -> bool {
        self.confirmed_at().is_none_or(|at| at + LEASE * 3 / 4 < now)
    }

    /// Returns when the exchange or read that last confirmed the lease was sent.
    pub(super) fn confirmed_at(&self) -> Option<Moment> {
        if !self.list.contains(&self.own) {
            return None;
        }
        // A host alone in the list has no witnesses, so only a platform read confirms its lease: a
        // host that started while this one was paused may have removed it.
        let witnesses = self.list.witnesses(&self.own.host);
        let by_witnesses = witnesses.iter().map(|host| self.last_acknowledged.get(host).copied());
        by_witnesses.min().flatten().max(self.confirmed_by_read)
    }

    /// Whether this host was paused and its place in the list has not been confirmed since.
    ///
    /// Without this check, a host that resumes would treat its lease as merely unconfirmed for the
    /// moment, and send at reduced concurrency to targets that its successor already uses in full,
    /// which would shed. The host waits for its witnesses or the platform, usually for one
    /// exchange. While the platform is unavailable, no other host can remove it, so a response from
    /// one witness or complete isolation is enough.
    fn is_unconfirmed_after_pause(&self, silent: &BTreeSet<HostId>, now: Moment) -> bool {
        let Some(resumed) = self.resumed_at else { return false };
        let since = |at: &Moment| resumed <= *at;
        let platform_unavailable =
            self.last_read.is_some_and(|read| read.failed && since(&read.sent_at));
        let witnesses = self.list.witnesses(&self.own.host);
        let heard =
            witnesses.iter().any(|host| self.last_acknowledged.get(host).is_some_and(since));
        !platform_unavailable || !(heard || self.is_isolated(silent, now))
    }

    /// Whether this host reaches neither the platform nor any other listed host. It then continues
    /// to use its own targets in full: a platform outage during which a peer fails must not stop
    /// the whole zone. If a peer on the other side of a network partition has taken the targets
    /// over, they may shed requests, but none runs twice.
    fn is_isolated(&self, silent: &BTreeSet<HostId>, now: Moment) -> bool {
        let others = self.list.hosts.iter().filter(|holder| holder.host != self.own.host);
        self.platform_failed(now) && others.into_iter().all(|holder| silent.contains(&holder.host))
    }

    /// Returns the tenure of a host that is not listed. It owns nothing while a listed host is
    /// live. If none is, and the platform is unavailable so that this host cannot join the list, it
    /// shares all targets provisionally with the other live hosts of the zone.
    fn unlisted_tenure(
        &self,
        owners: Vec<HostId>,
        mut provisional: BTreeSet<HostId>,
        now: Moment,
    ) -> Tenure {
        if self.leaving || !owners.is_empty() || !self.platform_failed(now) {
            return Tenure { owners, provisional, valid_until: Moment::ZERO };
        }
        let live = self.hosts.iter().filter(|host| !host.leaving).map(|host| host.host.clone());
        let mut owners: Vec<HostId> = live.collect();
        if !owners.contains(&self.own.host) {
            owners.push(self.own.host.clone());
        }
        owners.sort();
        provisional.extend(owners.iter().cloned());
        Tenure { owners, provisional, valid_until: self.last_tick + LEASE }
    }

    fn live_holders(&self, silent: &BTreeSet<HostId>) -> Vec<HostId> {
        let leaving = |id: &HostId| self.hosts.iter().any(|host| host.host == *id && host.leaving);
        let listed = self.list.hosts.iter().map(|holder| &holder.host);
        listed.filter(|host| !silent.contains(*host) && !leaving(host)).cloned().collect()
    }
}
