use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_deduplication_window_ends_early_by_its_margin() {
    let sent = Time::from_micros(1_000_000);
    assert_eq!(window_end(sent, 600 * MS), sent.plus(580 * MS));
    assert_eq!(
        window_end(sent, 10 * MS),
        sent,
        "a window shorter than the margin is empty"
    );
}

#[test]
fn only_rejected_and_unsent_attempts_certainly_have_not_run() {
    for outcome in [
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::NotSent,
        Outcome::Misdirected,
    ] {
        assert!(!may_have_run(outcome), "{outcome:?}");
    }
    for outcome in [
        Outcome::Ok,
        Outcome::Failed,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        assert!(may_have_run(outcome), "{outcome:?}");
    }
}
