use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn backoff_doubles_up_to_its_limit() {
    let spans: Vec<Duration> = (0..5)
        .map(|failures| backoff_span(50 * MS, 300 * MS, failures))
        .collect();
    assert_eq!(spans, [50 * MS, 100 * MS, 200 * MS, 300 * MS, 300 * MS]);
    assert_eq!(backoff_span(50 * MS, 300 * MS, u32::MAX), 300 * MS);
}
