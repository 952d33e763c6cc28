use super::*;

#[test]
fn same_seed_gives_same_figures() {
    let run = |threads| {
        let choice = Choice {
            contenders: vec![Contender::Chosen],
            members: vec![Member::Agency],
            scenarios: vec![Scenario::Half, Scenario::RegionLost],
            seed: 3,
            seeds: 1,
            threads,
        };
        run(&choice, |_, _| {})
    };
    assert_eq!(run(1), run(2));
}

#[test]
fn plots_are_drawn_for_what_was_run() {
    let choice = Choice {
        contenders: vec![Contender::Chosen, Contender::Random],
        members: vec![Member::Planetarium],
        scenarios: vec![Scenario::Half],
        seed: 1,
        seeds: 2,
        threads: 2,
    };
    let report = run(&choice, |_, _| {});
    let plots = plots(&report).unwrap();
    assert_eq!(plots.len(), 3);
    assert!(plots.iter().all(|(_, svg)| svg.starts_with("<svg") && svg.contains("chosen")));
    assert!(report.rows.iter().all(|row| row.broken == 0 && 0.0 < row.headroom));
}

#[test]
fn costs_are_measured_for_every_decision() {
    let costs = super::cost::measure(2_000);
    assert_eq!(costs.len(), 10);
    assert!(costs.iter().filter(|cost| &*cost.unit == "ns").all(|cost| 0.0 < cost.value));
}

// A difference counts only where no seed says otherwise; else the table would call luck a win.
#[test]
fn a_difference_within_the_spread_is_none() {
    let choice = Choice {
        contenders: vec![Contender::Chosen],
        members: vec![Member::Agency],
        scenarios: vec![Scenario::Half],
        seed: 1,
        seeds: 3,
        threads: 2,
    };
    let mut report = run(&choice, |_, _| {});
    let seeds: Vec<u64> = report.rows.iter().map(|row| row.seed).collect();
    assert_eq!(seeds, [1, 2, 3]);
    for (row, p99) in report.rows.iter_mut().zip([30.0, 10.0, 20.0]) {
        row.p99 = p99;
    }
    let spread = report.summaries()[0].p99;
    assert_eq!((spread.least, spread.median, spread.most), (10.0, 20.0, 30.0));
    for (p99, verdict) in [(5.0, Verdict::Better), (29.0, Verdict::Within), (31.0, Verdict::Worse)]
    {
        let mut other = report.clone();
        other.rows.iter_mut().for_each(|row| row.p99 = p99);
        let [_, told, ..] = other.summaries()[0].against(&report.summaries()[0]);
        assert_eq!(told, ("p99", verdict));
    }
}
