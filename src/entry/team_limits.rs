//! Admission of requests within the limits of their teams.

use std::{cell::Cell, rc::Rc};

use super::{Team, TrafficState, View};
use crate::{
    placement::NameTag,
    prelude::*,
    quota::{PeerState, Verdict},
};

impl TrafficState {
    /// Checks a request against the limit of its team. The error is the time to wait before a
    /// retry.
    pub fn admit(self: &Rc<Self>, view: &View, team: &Team) -> Result<Admission, Duration> {
        self.update_quota(view);
        let now = self.clock.now();
        match self.quota.borrow_mut().admit(team.tag(), rand::random(), now) {
            Verdict::Admitted => {
                Ok(Admission { has_run: Cell::new(false), state: self.clone(), team: team.tag() })
            }
            Verdict::Limited { retry_after } => Err(retry_after),
        }
    }

    /// Applies the limits and the state of other hosts from the view.
    pub(super) fn update_quota(&self, view: &View) {
        let now = self.clock.now();
        if let Some(declaration) = &view.declaration
            && self.quota_version.get() < declaration.version
        {
            self.quota_version.set(declaration.version);
            let limit = |team: &Arc<Team>| Some((team.tag(), team.limit?));
            let limits = declaration.teams.iter().filter_map(limit).collect();
            self.quota.borrow_mut().set_limits(&limits, now);
        }
        if self.quota_view_at.get() < view.published_at {
            self.quota_view_at.set(view.published_at);
            let live_hosts = view.hosts.len().max(1);
            let peers = PeerState {
                started_earlier: view.peers_started_earlier,
                live_hosts,
                known_hosts: view.known_hosts,
                counts: view.team_counts.clone(),
            };
            self.quota.borrow_mut().update_peers(&peers, now);
        }
    }
}

/// A request admitted within the limit of its team. Refunded on drop if it did not run.
pub struct Admission {
    has_run: Cell<bool>,
    state: Rc<TrafficState>,
    team: NameTag,
}

impl Admission {
    /// Records an attempt at a target; charges it if an earlier attempt may have run.
    pub fn attempt_started(&self, maybe_ran: bool) {
        self.has_run.set(true);
        if maybe_ran {
            self.state.quota.borrow_mut().charge(self.team, self.state.clock.now());
        }
    }

    /// Records that no target ran the request.
    pub fn mark_not_run(&self) {
        self.has_run.set(false);
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if !self.has_run.get() {
            self.state.quota.borrow_mut().refund(self.team);
        }
    }
}
