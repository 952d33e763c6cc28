//! Memory of request bodies.

use crate::entry::body_memory::BodyMemory;

const MIB: usize = 1024 * 1024;

/// Load pattern: every caller sends a body of the largest size at once. Those beyond the bound are
/// refused, and there is room again when one that was held ends.
#[test]
fn bodies_together_are_bounded() {
    let memory = BodyMemory::default();
    let mut bodies: Vec<_> = (0..30).map(|_| memory.start_reservation()).collect();
    let held = bodies.iter_mut().map(|body| body.grow(MIB)).filter(|held| *held).count();
    assert_eq!(held, 20);
    assert!(!bodies[0].grow(1) && !bodies[29].grow(usize::MAX));
    bodies.remove(0);
    assert!(bodies[28].grow(MIB) && !bodies[28].grow(1));
    drop(bodies);
    assert!(memory.start_reservation().grow(20 * MIB));
}
