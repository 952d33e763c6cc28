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

/// Guards against large bodies that take up all memory together, and against one that leaves no room
/// for others.
#[test]
fn one_large_body_at_a_time_takes_the_reserve() {
    let memory = BodyMemory::default();
    let mut first = memory.start_reservation();
    assert!((0..64).all(|_| first.grow(MIB)) && !first.grow(1));
    assert!(memory.has_room(20 * MIB) && !memory.has_room(20 * MIB + 1));
    let mut second = memory.start_reservation();
    assert!((0..19).all(|_| second.grow(MIB)));
    let mut small = memory.start_reservation();
    assert!(memory.has_room(MIB) && small.grow(MIB) && !memory.has_room(1));
    assert!(!second.grow(1));
    drop(first);
    assert!(!memory.has_room(MIB) && memory.has_room(64 * MIB) && !memory.has_room(64 * MIB + 1));
    assert!(second.grow(MIB) && memory.has_room(19 * MIB) && !memory.has_room(20 * MIB));
    drop((second, small));
    assert!(memory.has_room(64 * MIB));
}
