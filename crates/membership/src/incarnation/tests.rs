use super::*;

#[test]
fn each_renewal_backs_off_longer_and_incarnations_are_bounded() {
    let secs = Duration::from_secs;
    let mut clock = IncarnationClock::new(7, secs(2));
    assert_eq!(
        clock.renew_after(secs(0), 100),
        RenewalOutcome::Renewed(101)
    );
    assert_eq!(clock.renew_after(secs(1), 200), RenewalOutcome::RateLimited);
    assert_eq!(
        clock.renew_after(secs(2), 200),
        RenewalOutcome::Renewed(201)
    );
    assert_eq!(clock.renew_after(secs(9), 300), RenewalOutcome::RateLimited);
    assert_eq!(
        clock.renew_after(secs(10), 300),
        RenewalOutcome::Renewed(301)
    );
    assert_eq!(
        clock.renew_after(secs(1_000), MAX_INCARNATION),
        RenewalOutcome::OutOfRange
    );
    assert_eq!(
        clock.renew_after(secs(1_000), u64::MAX),
        RenewalOutcome::OutOfRange
    );
    assert_eq!(clock.current(), 301);
    assert_eq!(
        clock.renew_after(secs(1_000), MAX_INCARNATION - 1),
        RenewalOutcome::Renewed(MAX_INCARNATION)
    );
}
