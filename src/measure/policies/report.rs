//! Every run of a measurement and its tables.

use std::{
    fmt::Write,
    sync::atomic::{AtomicUsize, Ordering},
};

use super::{
    Contender, Cost, Member, Row, Scenario, experiment,
    summary::{Spread, Summary, Verdict},
};
use crate::prelude::*;

/// What to run.
#[derive(Clone, Debug)]
pub struct Choice {
    pub contenders: Vec<Contender>,
    pub members: Vec<Member>,
    pub scenarios: Vec<Scenario>,
    pub seed: u64,
    /// Seeds in a row, from `seed` on.
    pub seeds: u64,
    /// Threads to run on.
    pub threads: usize,
}

/// The runs of a measurement, in the order of the choice.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// What single decisions cost; empty where it was not asked for.
    pub costs: Vec<Cost>,
    pub rows: Vec<Row>,
    pub seed: u64,
    pub seeds: u64,
}

impl Choice {
    /// Everything.
    pub fn all(seed: u64, threads: usize) -> Self {
        Self {
            contenders: Contender::ALL.to_vec(),
            members: Member::ALL.to_vec(),
            scenarios: Scenario::ALL.to_vec(),
            seed,
            seeds: 1,
            threads,
        }
    }

    fn jobs(&self) -> Vec<Job> {
        let mut jobs = Vec::new();
        for &member in &self.members {
            for &scenario in &self.scenarios {
                for &contender in &self.contenders {
                    let seeds = self.seed..self.seed + self.seeds;
                    jobs.extend(seeds.map(|seed| Job { contender, member, scenario, seed }));
                }
            }
        }
        jobs
    }
}

/// One run to be made.
#[derive(Clone, Copy, Debug)]
struct Job {
    contender: Contender,
    member: Member,
    scenario: Scenario,
    seed: u64,
}

/// Runs the choice; `progress` gets the runs done and the runs in all.
pub fn run(choice: &Choice, progress: impl Fn(usize, usize) + Sync) -> Report {
    let jobs = choice.jobs();
    let next = AtomicUsize::new(0);
    let worker = || {
        let mut rows = Vec::new();
        loop {
            let job = next.fetch_add(1, Ordering::Relaxed);
            let Some(&Job { contender, member, scenario, seed }) = jobs.get(job) else {
                return rows;
            };
            rows.push((job, experiment::run(contender, member, scenario, seed)));
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
        seeds: choice.seeds,
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

    /// The runs of each policy under each load, summed up over the seeds.
    pub fn summaries(&self) -> Vec<Summary> {
        Summary::of(&self.rows)
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        let summaries = self.summaries();
        for member in Member::ALL {
            let rows: Vec<&Summary> = summaries.iter().filter(|row| row.member == member).collect();
            if rows.is_empty() {
                continue;
            }
            writeln!(out, "### {} ({})\n", member.name(), self.seeds_text())?;
            writeln!(
                out,
                "| Scenario | Policy | p50 ms | p99 ms | p99.9 ms | Lowest headroom % | Lost % \
                 | Hedged % | Shed % | Most shifted % | Invariants broken | Against chosen |"
            )?;
            writeln!(out, "|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---|")?;
            for row in &rows {
                let chosen = rows.iter().find(|other| {
                    other.contender == Contender::Chosen && other.scenario == row.scenario
                });
                self.write_row(out, row, chosen.copied())?;
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

    fn write_row(
        &self,
        out: &mut String,
        row: &Summary,
        chosen: Option<&Summary>,
    ) -> std::fmt::Result {
        let cell = |spread: Spread, factor: f64, digits: usize| {
            let [least, median, most] =
                [spread.least, spread.median, spread.most].map(|value| value * factor);
            if self.seeds == 1 {
                return format!("{median:.digits$}");
            }
            format!("{median:.digits$} ({least:.digits$}-{most:.digits$})")
        };
        let cells = [
            row.scenario.name().to_string(),
            row.contender.name().to_string(),
            cell(row.p50, 1.0, 0),
            cell(row.p99, 1.0, 0),
            cell(row.p999, 1.0, 0),
            cell(row.headroom, 100.0, 1),
            cell(row.lost, 100.0, 2),
            cell(row.hedged, 100.0, 1),
            cell(row.shed, 100.0, 2),
            cell(row.shifted, 100.0, 1),
            row.broken.to_string(),
            self.against_text(row, chosen),
        ];
        writeln!(out, "| {} |", cells.join(" | "))
    }

    /// Which figures of a policy differ from the chosen one's by more than the seeds do.
    fn against_text(&self, row: &Summary, chosen: Option<&Summary>) -> String {
        let Some(chosen) = chosen.filter(|_| 1 < self.seeds) else { return "-".to_string() };
        if row.contender == Contender::Chosen {
            return "-".to_string();
        }
        let word = |(name, verdict): (&str, Verdict)| match verdict {
            Verdict::Better => Some(format!("{name} better")),
            Verdict::Within => None,
            Verdict::Worse => Some(format!("{name} worse")),
        };
        let words: Vec<String> = row.against(chosen).into_iter().filter_map(word).collect();
        if words.is_empty() { "within the spread".to_string() } else { words.join(", ") }
    }

    fn seeds_text(&self) -> String {
        if self.seeds == 1 {
            return format!("seed {}", self.seed);
        }
        let last = self.seed + self.seeds - 1;
        format!("seeds {} to {last}: median, least and most", self.seed)
    }
}
