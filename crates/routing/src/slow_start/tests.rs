use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn confidence_rises_with_confirmed_time_and_falls_by_a_factor() {
    let tuning = Tuning::default();
    let adapted = |confidence, is_fast, span| {
        adapted_confidence(confidence, is_fast, span, 1_000 * MS, &tuning)
    };
    assert_eq!(adapted(1.0, true, 100 * MS), 1.1);
    assert_eq!(
        adapted(1.0, true, 60_000 * MS),
        1.25,
        "a long span counts as a quarter of the overload duration"
    );
    assert_eq!(adapted(2.0, false, 100 * MS), 1.6);
    assert_eq!(adapted(1.1, false, 100 * MS), 1.0, "not below 1");
    assert_eq!(adapted(3.0, true, 100 * MS), 3.0, "not above the limit");
}

#[test]
fn an_answer_is_fast_relative_to_the_servers_present_capacity() {
    let tuning = Tuning::default();
    let server = |latency_ratio| Server {
        latency_ratio,
        ..Server::default()
    };
    assert!(is_fast_for_ramp(&server(0.3), 0.2, &tuning));
    assert!(!is_fast_for_ramp(&server(0.5), 0.2, &tuning));
    assert!(
        !is_fast_for_ramp(&server(0.8), 0.6, &tuning),
        "close to the objective an answer is never fast"
    );
}
