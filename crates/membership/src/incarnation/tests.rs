use super::*;

#[test]
fn each_renewal_backs_off_longer_and_incarnations_are_bounded() {
    let s = Duration::from_secs;
    let mut starts = IncarnationClock::new(7, s(2));
    assert_eq!(starts.renew_after(s(0), 100), RenewalOutcome::Renewed(101));
    assert_eq!(starts.renew_after(s(1), 200), RenewalOutcome::RateLimited);
    assert_eq!(starts.renew_after(s(2), 200), RenewalOutcome::Renewed(201));
    assert_eq!(starts.renew_after(s(9), 300), RenewalOutcome::RateLimited);
    assert_eq!(starts.renew_after(s(10), 300), RenewalOutcome::Renewed(301));
    assert_eq!(
        starts.renew_after(s(1_000), MAX_INCARNATION),
        RenewalOutcome::OutOfRange
    );
    assert_eq!(
        starts.renew_after(s(1_000), u64::MAX),
        RenewalOutcome::OutOfRange
    );
    assert_eq!(starts.current(), 301);
    assert_eq!(
        starts.renew_after(s(1_000), MAX_INCARNATION - 1),
        RenewalOutcome::Renewed(MAX_INCARNATION)
    );
}
