//! Memory limit of request bodies.

use crate::entry::body_memory::BodyMemory;

const MIB: usize = 1024 * 1024;

/// Load pattern: all callers send a body of the largest size at the same time. Bodies beyond the
/// limit are refused, and there is room again once a body is released.
#[test]
fn memory_of_all_bodies_is_bounded() {
    let memory = BodyMemory::default();
    let mut bodies: Vec<_> = (0..30).map(|_| memory.start_reservation()).collect();
    let accepted =
        bodies.iter_mut().map(|body| body.grow(MIB)).filter(|is_accepted| *is_accepted).count();
    assert_eq!(accepted, 20);
    assert!(!bodies[0].grow(1) && !bodies[29].grow(usize::MAX));
    bodies.remove(0);
    assert!(bodies[28].grow(MIB) && !bodies[28].grow(1));
    drop(bodies);
    assert!(memory.start_reservation().grow(20 * MIB));
}
