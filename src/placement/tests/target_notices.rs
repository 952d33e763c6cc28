//! What a host knows of the limits and rests of targets, from responses and from reports.

use std::collections::HashMap;

use super::secs;
use crate::{
    placement::{LimitChange, LimitReport, NamedLimit, Rest, TargetNotices, TargetTag},
    prelude::*,
};

const TAG: TargetTag = 7;

fn limited(limit: f64) -> Option<NamedLimit> {
    Some(NamedLimit::PerSecond(limit))
}

/// Records the target's complete answer to a request that was sent a moment ago.
fn answer(notices: &mut TargetNotices, named: Option<NamedLimit>, at: f64) -> Option<LimitChange> {
    notices.record_limit(TAG, named, Some(secs(at - 0.1)), secs(at))
}

fn reports(number: u32, limit: Option<f32>) -> HashMap<TargetTag, LimitReport> {
    [(TAG, LimitReport { age_ms: 0, limit, number })].into_iter().collect()
}

/// A limit holds until a response without one; each change is told once.
#[test]
fn a_limit_lasts_until_a_response_names_none() {
    let mut notices = TargetNotices::default();
    assert_eq!(answer(&mut notices, None, 1.0), None);
    assert!(notices.is_empty(), "targets without a limit take no memory");
    assert_eq!(answer(&mut notices, limited(2.5), 1.0), Some(LimitChange::Limited(2.5)));
    assert_eq!(answer(&mut notices, limited(2.5), 1.5), None);
    assert_eq!(notices.limit(TAG), Some(2.5));
    assert_eq!(notices.limit(TAG + 1), None, "a target that started again has said nothing");
    assert_eq!(answer(&mut notices, limited(1.0), 2.0), Some(LimitChange::Limited(1.0)));
    assert_eq!(answer(&mut notices, None, 3.0), Some(LimitChange::Ended));
    assert_eq!((notices.limit(TAG), answer(&mut notices, None, 4.0)), (None, None));
}

/// Guards against a limit that ends, or rises, by a response that is not the target's complete answer,
/// or that was overtaken.
#[test]
fn only_an_answer_to_a_later_request_loosens_a_limit() {
    let mut notices = TargetNotices::default();
    notices.record_limit(TAG, limited(2.0), None, secs(1.0));
    for named in [None, limited(9.0)] {
        assert_eq!(notices.record_limit(TAG, named, None, secs(3.0)), None, "no answer");
        assert_eq!(
            notices.record_limit(TAG, named, Some(secs(0.9)), secs(3.0)),
            None,
            "sent before"
        );
    }
    assert_eq!(notices.limit(TAG), Some(2.0));
    let change = notices.record_limit(TAG, limited(1.5), None, secs(3.0));
    assert_eq!(change, Some(LimitChange::Limited(1.5)), "a lower limit counts at once");
    assert_eq!(answer(&mut notices, limited(9.0), 4.0), Some(LimitChange::Limited(9.0)));
    assert_eq!(answer(&mut notices, None, 5.0), Some(LimitChange::Ended));
}

/// Guards against a limit that cannot be read and so counts as none.
#[test]
fn an_unreadable_limit_is_no_free_pass() {
    let mut notices = TargetNotices::default();
    answer(&mut notices, Some(NamedLimit::Unreadable), 1.0);
    assert_eq!(notices.limit(TAG), Some(1.0));
    answer(&mut notices, limited(0.3), 2.0);
    answer(&mut notices, Some(NamedLimit::Unreadable), 3.0);
    assert_eq!(notices.limit(TAG), Some(f64::from(0.3_f32)), "the readable limit before stays");
    answer(&mut notices, limited(1e300), 4.0);
    assert_eq!(notices.limit(TAG), Some(1e6));
}

/// Guards against a limit that ends because nobody reports it any more.
#[test]
fn a_reported_limit_binds_until_a_later_statement() {
    let mut notices = TargetNotices::default();
    let changes = notices.apply_reports(&reports(1, Some(2.0)), secs(5.0));
    assert_eq!(changes, [(TAG, LimitChange::Limited(2.0))]);
    assert!(notices.reports(secs(5.0)).is_empty(), "reports are not passed on");
    assert_eq!(notices.apply_reports(&HashMap::new(), secs(6.0)), []);
    assert_eq!(notices.limit(TAG), Some(2.0));
    assert_eq!(notices.apply_reports(&reports(2, None), secs(7.0)), [(TAG, LimitChange::Ended)]);
    assert_eq!(notices.limit(TAG), None);
}

/// Guards against a late report that overrides what a target just said itself, and against an old
/// limit that outlives the report of its end.
#[test]
fn only_a_clearly_later_report_overrides_a_response() {
    let mut notices = TargetNotices::default();
    notices.record_limit(TAG, limited(2.0), None, secs(10.0));
    notices.apply_reports(&reports(2, None), secs(13.0));
    assert_eq!(notices.limit(TAG), Some(2.0), "the report may be as old as the response");
    assert_eq!(notices.reports(secs(13.0))[0].1.number, 3, "the limit is stated anew");
    notices.apply_reports(&reports(4, None), secs(15.0));
    assert_eq!(notices.limit(TAG), None);
    assert!(notices.reports(secs(15.0)).is_empty(), "the overridden limit is not reported");
    notices.apply_reports(&HashMap::new(), secs(16.0));
    assert_eq!(notices.limit(TAG), None, "and does not come back");
}

/// Guards against the report of a frozen or lost host, which looks new when it arrives.
#[test]
fn reports_of_an_earlier_statement_do_not_count() {
    let mut notices = TargetNotices::default();
    notices.apply_reports(&reports(3, Some(2.0)), secs(1.0));
    notices.apply_reports(&reports(2, None), secs(9.0));
    assert_eq!(notices.limit(TAG), Some(2.0));
    notices.apply_reports(&reports(4, None), secs(10.0));
    notices.apply_reports(&reports(3, Some(2.0)), secs(20.0));
    assert_eq!(notices.limit(TAG), None, "the limit has ended");
}

/// Guards against hosts that give one number to two statements, or a limit that differs after its way
/// in a report, and never agree.
#[test]
fn hosts_agree_on_the_lower_of_two_limits_with_one_number() {
    let mut hosts = [TargetNotices::default(), TargetNotices::default()];
    hosts[0].record_limit(TAG, limited(2.3), None, secs(1.0));
    hosts[1].record_limit(TAG, limited(0.7), None, secs(1.0));
    for _ in 0..2 {
        for (from, to) in [(0, 1), (1, 0)] {
            let reports = hosts[from].reports(secs(2.0)).into_iter().collect();
            hosts[to].apply_reports(&reports, secs(2.0));
        }
    }
    assert!(hosts.iter().all(|host| host.limit(TAG) == hosts[0].limit(TAG)));
    assert_eq!(hosts[0].record_limit(TAG, limited(0.7), None, secs(3.0)), None, "no change");
    assert_eq!(hosts[0].reports(secs(3.0))[0].1.number, 1);
}

/// A host that started again numbers from one; its response counts against later numbers that others
/// still report.
#[test]
fn a_restarted_host_states_a_limit_anew() {
    let mut notices = TargetNotices::default();
    notices.record_limit(TAG, limited(2.0), None, secs(1.0));
    notices.apply_reports(&reports(8, None), secs(2.0));
    assert_eq!(notices.limit(TAG), Some(2.0));
    assert_eq!(notices.reports(secs(2.0))[0].1.number, 9);
}

/// Guards against a report whose limit is no number.
#[test]
fn a_report_that_cannot_be_read_does_not_count() {
    let mut notices = TargetNotices::default();
    notices.apply_reports(&reports(1, Some(2.0)), secs(1.0));
    notices.apply_reports(&reports(2, Some(f32::NAN)), secs(2.0));
    assert_eq!(notices.limit(TAG), Some(2.0));
}

/// Guards against memory and messages that grow with the targets of a fleet.
#[test]
fn notices_and_reports_are_bounded() {
    let mut notices = TargetNotices::default();
    for tag in 0..1_000 {
        notices.record_limit(tag, limited(1.0), None, secs(f64::from(tag) / 100.0));
    }
    let reports = notices.reports(secs(20.0));
    assert_eq!(reports.len(), 32);
    assert!(reports.iter().all(|(tag, _)| 900 < *tag), "the newest ones");
    notices.retain(|tag| tag < 100, secs(71.0));
    let limited = notices.tags().filter(|tag| notices.limit(*tag).is_some());
    assert_eq!(limited.count(), 100);
    notices.record_limit(5, None, Some(secs(71.9)), secs(72.0));
    notices.record_limit(5, None, Some(secs(130.9)), secs(131.0));
    notices.retain(|_| true, secs(133.0));
    assert_eq!(notices.reports(secs(133.0)).iter().filter(|(tag, _)| *tag == 5).count(), 0);
}

/// Guards against a rest that a shorter one, or an answer without one, ends early.
#[test]
fn a_rest_lasts_to_its_end() {
    let mut notices = TargetNotices::default();
    let rest = |notices: &TargetNotices, at: f64| notices.rest(TAG, secs(at));
    assert_eq!(notices.record_rest(TAG, secs(3.0), secs(1.0)), Some(secs(3.0)));
    assert_eq!(rest(&notices, 1.0), Some(Rest::For(secs(3.0))));
    assert_eq!(notices.record_rest(TAG, secs(0.5), secs(2.0)), None, "shorter");
    notices.confirm_rested(TAG, secs(2.0));
    assert_eq!(notices.record_rest(TAG, Duration::ZERO, secs(2.0)), None);
    assert_eq!(rest(&notices, 3.5), Some(Rest::For(secs(0.5))));
    assert_eq!(notices.record_rest(TAG, secs(2.0), secs(3.0)), Some(secs(2.0)), "longer");
    assert_eq!((notices.counts(secs(4.0)).resting, notices.counts(secs(5.0)).resting), (1, 0));
    assert_eq!(rest(&notices, 5.0), Some(Rest::Unconfirmed));
    assert_eq!(rest(&notices, 99.0), Some(Rest::Unconfirmed));
    notices.confirm_rested(TAG, secs(4.9));
    assert_eq!(rest(&notices, 99.0), Some(Rest::Unconfirmed), "sent before the end of the rest");
    notices.confirm_rested(TAG, secs(98.9));
    assert_eq!(rest(&notices, 99.0), None);
    assert_eq!(notices.rest(TAG + 1, secs(1.0)), None, "a target that started again said nothing");
}

/// Guards against a rest that overflows, lasts for ever, or is forgotten with the target's entry.
#[test]
fn enormous_rests_are_bounded_and_kept() {
    let mut notices = TargetNotices::default();
    let hour = secs(3_600.0);
    assert_eq!(notices.record_rest(TAG, Duration::MAX, secs(1.0)), Some(hour));
    notices.retain(|_| false, secs(600.0));
    assert_eq!(notices.rest(TAG, secs(1.0) + hour), Some(Rest::Unconfirmed));
    notices.retain(|_| true, secs(4_000.0));
    assert!(notices.is_empty(), "a rest that ended long ago needs no confirmation");
}
