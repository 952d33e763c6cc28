//! The shortest run that still breaks the same promise.

use super::run::{Failure, failure, run};

/// Leaves out one fault after the other, as long as the same promise still breaks; the run ends
/// with the step that breaks it.
pub(super) fn shrink(found: Failure) -> Failure {
    let mut best = found;
    loop {
        let shorter = (0..best.faults.len()).find_map(|left_out| {
            let mut faults = best.faults.clone();
            faults.remove(left_out);
            let outcome = run(best.seed, best.steps * 2, faults.clone());
            let again = failure(best.seed, faults, outcome)?;
            (again.breach.promise == best.breach.promise).then_some(again)
        });
        match shorter {
            Some(shorter) => best = shorter,
            None => return best,
        }
    }
}
