use super::*;

#[test]
fn binding_text_round_trips() {
    let binding = Binding { generation: 7, host: "kt-1".into(), incarnation: 0xabc };
    assert_eq!(binding.to_string(), "kt-1/0000000000000abc/7");
    assert_eq!(binding.to_string().parse(), Ok(binding));
}

#[test]
fn invalid_bindings_are_rejected() {
    for text in [
        "",
        "a",
        "a/b/c",
        "a/0000000000000abc",
        "/0000000000000abc/1",
        "a/abc/1",
        "a/0000000000000abc/1/2",
        "a/0000000000000abc/+1",
        "a/0000000000000abc/01",
        "a/0000000000000ABC/1",
        "a/+000000000000abc/1",
    ] {
        assert_eq!(text.parse::<Binding>(), Err(BindingError), "{text:?}");
    }
}

#[test]
fn every_kind_has_a_unique_name_and_a_consistent_response() {
    let mut names = ErrorKind::ALL.map(|kind| serde_json::to_string(&kind).unwrap()).to_vec();
    names.dedup();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        let response = kind.response();
        assert!((400..600).contains(&response.status), "{kind:?}");
        let unsafe_fresh = response.ran != Ran::No && response.resend == Resend::Fresh;
        assert!(!unsafe_fresh, "{kind:?}: it may have run, and a new binding could run it twice");
    }
}

/// Guards against a booking that runs twice. A caller times out and sends a booking again while a
/// host still holds the first copy, and the second copy is refused. If the caller then took a new
/// binding, the first copy could still reach the old owner and run as well. So a new binding is
/// offered only where the old one can never run that key.
#[test]
fn fresh_resend_is_offered_only_if_the_old_key_can_never_run() {
    let fresh = ErrorKind::ALL.into_iter().filter(|kind| kind.response().resend == Resend::Fresh);
    let closed = [
        ErrorKind::BindingClosed,
        ErrorKind::BindingMissing,
        ErrorKind::KeyMissing,
        ErrorKind::KeyRefused,
        ErrorKind::LedgerFull,
    ];
    assert_eq!(fresh.collect::<Vec<_>>(), closed);
}

/// Guards against a false `Ran::No`. A caller gets no response to a booking and sends it again; a
/// host refuses the second copy before consulting the ledger, although the first one ran on another
/// host. With `Ran::No` the caller would use a new key, and the booking would run twice.
#[test]
fn before_ledger_never_says_that_a_booking_did_not_run() {
    for kind in ErrorKind::ALL {
        let returned = kind.before_ledger();
        assert_ne!(returned.response().ran, Ran::No, "{kind:?}");
        assert_ne!(returned.response().resend, Resend::Fresh, "{kind:?}");
        assert_eq!(returned.before_ledger(), returned, "{kind:?}");
        if kind.response().ran != Ran::No {
            assert_eq!(returned, kind);
        }
    }
    let refused = [
        (ErrorKind::BadRequest, ErrorKind::BookingMalformed),
        (ErrorKind::BindingMissing, ErrorKind::BookingIncomplete),
        (ErrorKind::BodyTooLarge, ErrorKind::BookingTooLarge),
        (ErrorKind::KeyMissing, ErrorKind::BookingIncomplete),
        (ErrorKind::OtherMember, ErrorKind::BookingMisdirected),
    ];
    for (kind, expected) in refused {
        assert_eq!(kind.before_ledger(), expected);
        assert_eq!(kind.response().status, expected.response().status, "{kind:?}");
    }
}

/// Guards against log lines without the root cause: libraries wrap it in general errors of their
/// own.
#[test]
fn errors_are_formatted_with_their_root_cause() {
    #[derive(Debug, thiserror::Error)]
    #[error("connection error")]
    struct Outer(#[source] std::io::Error);
    let reset = std::io::Error::other("reset by peer");
    assert_eq!(&*with_root_cause(&reset), "reset by peer");
    let outer = Outer(reset);
    assert_eq!(&*root_cause(&outer), "reset by peer");
    assert_eq!(&*with_root_cause(&outer), "connection error: reset by peer");
}
