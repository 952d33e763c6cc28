use super::*;

fn options(seed: u64, seeds: u64) -> SoakOptions {
    SoakOptions { seed, seeds, steps: 10_000, threads: 2 }
}

#[test]
fn no_promise_breaks_and_each_is_checked() {
    let report = soak(&options(1, 24), |_| {});
    assert!(report.breach.is_none(), "{:#?}", report.breach);
    assert_eq!(report.missing(), Vec::<String>::new());
    assert!(0 < report.overlaps && 0 < report.twice);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let [first, second] = [2, 2].map(|seed| soak(&options(seed, 1), |_| {}).digest);
    assert_eq!(first, second);
    assert_ne!(first, soak(&options(3, 1), |_| {}).digest);
}
