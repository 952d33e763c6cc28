//! What the right is at a moment.

use std::collections::BTreeSet;

use super::{LEASE, machine::TenureManager};
use crate::{base::invariant, prelude::*, view::Tenure};

impl TenureManager {
    /// This host's right now. It stays true without further word until `valid_until`.
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
        invariant::hold(valid_until <= now + LEASE, "tenure-within-lease", || {
            format!("{valid_until:?} at {now:?}")
        });
        Tenure { owners, provisional, valid_until }
    }

    /// Whether nobody confirms the right for much longer.
    pub(super) fn expires_soon(&self, now: Moment) -> bool {
        self.confirmed_at().is_none_or(|at| at + LEASE * 3 / 4 < now)
    }

    /// When what last confirmed the right was sent.
    pub(super) fn confirmed_at(&self) -> Option<Moment> {
        if !self.list.contains(&self.own) {
            return None;
        }
        // A host alone in the list has nobody to ask but the platform: while it was paused, one
        // that started meanwhile may have removed it.
        let witnesses = self.list.witnesses(&self.own.host);
        let by_witness = witnesses.iter().map(|host| self.last_acknowledged.get(host).copied());
        by_witness.min().flatten().max(self.confirmed_by_read)
    }

    /// Whether this host was paused and nobody has said since that it is still listed.
    ///
    /// Without this a host that wakes takes itself for one that nobody confirms at the moment, and
    /// sends at reduced concurrency to targets that its successor has long filled: they shed. It
    /// waits for its witnesses or the platform, a matter of one exchange. Only with the platform
    /// away, which also keeps others from removing it, is one witness or complete silence enough.
    fn is_unconfirmed_after_pause(&self, silent: &BTreeSet<HostId>, now: Moment) -> bool {
        let Some(resumed) = self.resumed_at else { return false };
        let since = |at: &Moment| resumed <= *at;
        let platform_away = self.last_read.is_some_and(|read| read.failed && since(&read.sent_at));
        let witnesses = self.list.witnesses(&self.own.host);
        let heard =
            witnesses.iter().any(|host| self.last_acknowledged.get(host).is_some_and(since));
        !platform_away || !(heard || self.is_isolated(silent, now))
    }

    /// A host that hears neither the platform nor any listed peer goes on with its own targets: a
    /// platform outage in which a peer dies must not take the whole zone down. If a peer on the
    /// other side of a cut took them over meanwhile, targets may shed requests, and none runs twice.
    fn is_isolated(&self, silent: &BTreeSet<HostId>, now: Moment) -> bool {
        let others = self.list.hosts.iter().filter(|holder| holder.host != self.own.host);
        self.platform_failed(now) && others.into_iter().all(|holder| silent.contains(&holder.host))
    }

    /// A host that is not listed owns nothing while a listed one lives. If none does and the
    /// platform is away, so that it cannot get listed, it stands in for all, as its neighbours do.
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
