use super::*;

// A host that watches nothing looks at the version of the head only. It must read the whole head
// when that is another one, written back to an older one, or gone, and also when the one that it
// read never got in force, since its parts did not come: nobody else may offer it again.
#[test]
fn a_head_is_read_again_unless_it_is_in_force() {
    let signed = sign(&numbered(8), &key(1)).unwrap();
    let other = sign(&numbered(7), &key(1)).unwrap();
    let heard = CachedHead { signed: signed.clone(), version: 40 };
    assert!(heard.is_current(Some(40), Some(&signed)));
    for (object, in_force) in [
        (Some(41), Some(&signed)),
        (Some(39), Some(&signed)),
        (None, Some(&signed)),
        (Some(40), Some(&other)),
        (Some(40), None),
    ] {
        assert!(!heard.is_current(object, in_force), "{object:?}");
    }
}
