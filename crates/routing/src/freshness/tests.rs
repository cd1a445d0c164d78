use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_gap_closes_by_a_second_of_log_in_a_second() {
    let position = Time::from_micros(1_000_000);
    let needed = position.plus(300 * MS);
    assert_eq!(remaining_gap(needed, position, Duration::ZERO), 300 * MS);
    assert_eq!(remaining_gap(needed, position, 200 * MS), 100 * MS);
    assert_eq!(remaining_gap(needed, position, 900 * MS), Duration::ZERO);
    assert_eq!(
        remaining_gap(position, needed, Duration::ZERO),
        Duration::ZERO,
        "the position is ahead of the needed one"
    );
}

#[test]
fn positions_never_go_back_and_a_report_ends_a_rejection() {
    let at = Time::from_micros;
    let mut server = Server {
        stale_rejection: Some(StaleRejection {
            needed: at(9),
            at: at(9),
        }),
        ..Server::default()
    };
    server.report_position(at(7), at(10));
    server.report_position(at(5), at(11));
    assert_eq!(server.position, Some(at(7)));
    assert_eq!(server.position_reported, at(11));
    assert!(server.stale_rejection.is_none());
}
