use super::*;

#[test]
fn binding_text_round_trips() {
    let binding = Binding { generation: 7, host: "kt-1".into(), incarnation: 0xabc };
    assert_eq!(binding.to_string(), "kt-1/0000000000000abc/7");
    assert_eq!(binding.to_string().parse(), Ok(binding));
}

#[test]
fn broken_bindings_are_refused() {
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
fn every_kind_has_one_name_and_a_consistent_row() {
    let mut names = ErrorKind::ALL.map(|kind| serde_json::to_string(&kind).unwrap()).to_vec();
    names.dedup();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        let row = kind.response();
        assert!((400..600).contains(&row.status), "{kind:?}");
        let fresh_after_doubt = row.ran != Ran::No && row.resend == Resend::Fresh;
        assert!(!fresh_after_doubt, "{kind:?}: a new binding after doubt could run it twice");
    }
}

/// A clerk's terminal gives up on a booking while a host holds it, and sends it again. The second
/// copy is refused. If the terminal then took a new binding, the first copy could still come to
/// the old owner and run beside the new one: two seats sold. So a new binding is offered only
/// where the old one can never run that key.
#[test]
fn a_new_binding_is_offered_only_where_the_old_one_is_closed_for_good() {
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

/// A terminal books, hears nothing and sends the booking again; a host refuses the second copy
/// before it has asked the ledger, while the first one ran elsewhere. `no` would be untrue, and a
/// new key would sell the seat twice: whatever the reason, only the ledger says `no`.
#[test]
fn nothing_is_known_of_a_booking_before_its_ledger_is_asked() {
    for kind in ErrorKind::ALL {
        let told = kind.before_ledger();
        assert_ne!(told.response().ran, Ran::No, "{kind:?}");
        assert_ne!(told.response().resend, Resend::Fresh, "{kind:?}");
        assert_eq!(told.before_ledger(), told, "{kind:?}");
        if kind.response().ran != Ran::No {
            assert_eq!(told, kind);
        }
    }
    let refused = [
        (ErrorKind::BadRequest, ErrorKind::BookingMalformed),
        (ErrorKind::BindingMissing, ErrorKind::BookingIncomplete),
        (ErrorKind::BodyTooLarge, ErrorKind::BookingTooLarge),
        (ErrorKind::KeyMissing, ErrorKind::BookingIncomplete),
        (ErrorKind::OtherMember, ErrorKind::BookingMisdirected),
    ];
    for (cause, told) in refused {
        assert_eq!(cause.before_ledger(), told);
        assert_eq!(cause.response().status, told.response().status, "{cause:?}");
    }
}

/// A library hides what went wrong below its own words; a log line needs both.
#[test]
fn an_error_is_told_with_its_cause() {
    #[derive(Debug, thiserror::Error)]
    #[error("connection error")]
    struct Outer(#[source] std::io::Error);
    let reset = std::io::Error::other("reset by peer");
    assert_eq!(&*with_root_cause(&reset), "reset by peer");
    let outer = Outer(reset);
    assert_eq!(&*root_cause(&outer), "reset by peer");
    assert_eq!(&*with_root_cause(&outer), "connection error: reset by peer");
}
