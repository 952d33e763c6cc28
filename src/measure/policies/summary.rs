//! The runs of one policy under one load with several seeds.

use super::{Contender, Member, Row, Scenario};
use crate::prelude::*;

/// One figure over all seeds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Spread {
    pub least: f64,
    pub median: f64,
    pub most: f64,
}

/// The figures of one policy under one load.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    /// Invariants that did not hold, in all runs.
    pub broken: u64,
    pub contender: Contender,
    pub headroom: Spread,
    pub hedged: Spread,
    pub lost: Spread,
    pub member: Member,
    pub p50: Spread,
    pub p99: Spread,
    pub p999: Spread,
    pub scenario: Scenario,
    pub shed: Spread,
    pub shifted: Spread,
}

/// How one policy's figure stands to another's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Better,
    /// Some seeds say so, others not.
    Within,
    Worse,
}

impl Spread {
    /// The spread of at least one value.
    pub(super) fn of(values: impl Iterator<Item = f64>) -> Self {
        let mut values: Vec<f64> = values.collect();
        values.sort_by(f64::total_cmp);
        let (first, last) = (values[0], values[values.len() - 1]);
        let middle = values.len() / 2;
        let lower = values[(values.len() - 1) / 2];
        Self { least: first, median: (lower + values[middle]) / 2.0, most: last }
    }

    /// Whether this figure is lower than another by more than both spread.
    fn is_below(&self, other: &Self) -> bool {
        self.most < other.least
    }
}

impl Summary {
    /// Sums the runs up, in the order in which their first runs stand.
    pub(super) fn of(rows: &[Row]) -> Vec<Self> {
        let key = |row: &Row| (row.member, row.scenario, row.contender);
        let mut keys: Vec<_> = Vec::new();
        for row in rows {
            if !keys.contains(&key(row)) {
                keys.push(key(row));
            }
        }
        let runs_of = |wanted| rows.iter().filter(move |row| key(row) == wanted);
        keys.into_iter().map(|key| Self::of_runs(&runs_of(key).collect::<Vec<_>>())).collect()
    }

    fn of_runs(runs: &[&Row]) -> Self {
        let spread = |figure: fn(&Row) -> f64| Spread::of(runs.iter().map(|run| figure(run)));
        Self {
            broken: runs.iter().map(|run| run.broken).sum(),
            contender: runs[0].contender,
            headroom: spread(|run| run.headroom),
            hedged: spread(|run| run.hedged),
            lost: spread(|run| run.lost),
            member: runs[0].member,
            p50: spread(|run| run.p50),
            p99: spread(|run| run.p99),
            p999: spread(|run| run.p999),
            scenario: runs[0].scenario,
            shed: spread(|run| run.shed),
            shifted: spread(|run| run.shifted),
        }
    }

    /// How this policy stands to another under the same load, by figure.
    pub fn against(&self, other: &Self) -> [(&'static str, Verdict); 5] {
        [
            ("p50", lower_is_better(&self.p50, &other.p50)),
            ("p99", lower_is_better(&self.p99, &other.p99)),
            ("p99.9", lower_is_better(&self.p999, &other.p999)),
            ("headroom", lower_is_better(&other.headroom, &self.headroom)),
            ("lost", lower_is_better(&self.lost, &other.lost)),
        ]
    }
}

fn lower_is_better(this: &Spread, other: &Spread) -> Verdict {
    if this.is_below(other) {
        return Verdict::Better;
    }
    if other.is_below(this) { Verdict::Worse } else { Verdict::Within }
}
