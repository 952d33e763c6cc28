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
