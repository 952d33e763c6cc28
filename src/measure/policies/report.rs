//! Every run of a measurement and its tables.

use std::{
    fmt::Write,
    sync::atomic::{AtomicUsize, Ordering},
};

use super::{Contender, Cost, Member, Row, Scenario, experiment};
use crate::prelude::*;

/// What to run.
#[derive(Clone, Debug)]
pub struct Choice {
    pub contenders: Vec<Contender>,
    pub members: Vec<Member>,
    pub scenarios: Vec<Scenario>,
    pub seed: u64,
    /// Threads to run on.
    pub threads: usize,
}

/// The rows of a measurement, in the order of the choice.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// What single decisions cost; empty where it was not asked for.
    pub costs: Vec<Cost>,
    pub rows: Vec<Row>,
    pub seed: u64,
}

impl Choice {
    /// Everything.
    pub fn all(seed: u64, threads: usize) -> Self {
        Self {
            contenders: Contender::ALL.to_vec(),
            members: Member::ALL.to_vec(),
            scenarios: Scenario::ALL.to_vec(),
            seed,
            threads,
        }
    }

    fn jobs(&self) -> Vec<(Member, Scenario, Contender)> {
        let mut jobs = Vec::new();
        for &member in &self.members {
            for &scenario in &self.scenarios {
                jobs.extend(self.contenders.iter().map(|&contender| (member, scenario, contender)));
            }
        }
        jobs
    }
}

/// Runs the choice; `progress` gets the runs done and the runs in all.
pub fn run(choice: &Choice, progress: impl Fn(usize, usize) + Sync) -> Report {
    let jobs = choice.jobs();
    let next = AtomicUsize::new(0);
    let worker = || {
        let mut rows = Vec::new();
        loop {
            let job = next.fetch_add(1, Ordering::Relaxed);
            let Some(&(member, scenario, contender)) = jobs.get(job) else { return rows };
            rows.push((job, experiment::run(contender, member, scenario, choice.seed)));
            progress(job + 1, jobs.len());
        }
    };
    let mut rows: Vec<(usize, Row)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..choice.threads.max(1)).map(|_| scope.spawn(worker)).collect();
        let rows = workers.into_iter().map(|worker| worker.join().expect("runs do not panic"));
        rows.flatten().collect()
    });
    rows.sort_by_key(|(job, _)| *job);
    Report {
        costs: Vec::new(),
        rows: rows.into_iter().map(|(_, row)| row).collect(),
        seed: choice.seed,
    }
}

impl Report {
    /// The tables as Markdown.
    pub fn markdown(&self) -> String {
        let mut out = String::new();
        // Writing to a string never fails.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        for member in Member::ALL {
            let rows: Vec<&Row> = self.rows.iter().filter(|row| row.member == member).collect();
            if rows.is_empty() {
                continue;
            }
            writeln!(out, "### {} (seed {})\n", member.name(), self.seed)?;
            writeln!(
                out,
                "| Scenario | Policy | p50 ms | p99 ms | p99.9 ms | Lowest headroom | Lost | Shed \
                 | Most shifted | Invariants broken |"
            )?;
            writeln!(out, "|---|---|---:|---:|---:|---:|---:|---:|---:|---:|")?;
            for row in rows {
                writeln!(
                    out,
                    "| {} | {} | {:.0} | {:.0} | {:.0} | {:.1} % | {:.2} % | {:.2} % | {:.1} % | {} |",
                    row.scenario.name(),
                    row.contender.name(),
                    row.p50,
                    row.p99,
                    row.p999,
                    row.headroom * 100.0,
                    row.lost * 100.0,
                    row.shed * 100.0,
                    row.shifted * 100.0,
                    row.broken,
                )?;
            }
            writeln!(out)?;
        }
        if !self.costs.is_empty() {
            writeln!(out, "### Cost of one decision\n\n| Decision | Size | Cost |")?;
            writeln!(out, "|---|---|---:|")?;
        }
        for Cost { decision, size, unit, value } in &self.costs {
            writeln!(out, "| {decision} | {size} | {value:.0} {unit} |")?;
        }
        Ok(())
    }
}
