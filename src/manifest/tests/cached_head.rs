use super::*;

// A host without a watch polls only the version of the head. It must read the whole head when the
// version differs, also if it is lower, or the object is gone. It must also read it again when the
// cached manifest never got in force because its parts were missing: nobody else may offer it
// again.
#[test]
fn head_is_read_again_unless_in_force() {
    let signed = sign(&numbered(8), &key(1)).unwrap();
    let other = sign(&numbered(7), &key(1)).unwrap();
    let cached = CachedHead { signed: signed.clone(), version: 40 };
    assert!(cached.is_current(Some(40), Some(&signed)));
    for (object, in_force) in [
        (Some(41), Some(&signed)),
        (Some(39), Some(&signed)),
        (None, Some(&signed)),
        (Some(40), Some(&other)),
        (Some(40), None),
    ] {
        assert!(!cached.is_current(object, in_force), "{object:?}");
    }
}
