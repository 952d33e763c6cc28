use super::*;

#[test]
fn same_seed_gives_same_figures() {
    let run = |threads| {
        let choice = Choice {
            contenders: vec![Contender::Chosen],
            members: vec![Member::Agency],
            scenarios: vec![Scenario::Half, Scenario::RegionLost],
            seed: 3,
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
