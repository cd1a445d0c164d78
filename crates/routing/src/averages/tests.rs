use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn an_estimate_decays_by_its_time_constant() {
    assert_eq!(decay(Duration::ZERO, 10 * MS), 1.0);
    assert_eq!(decay(10 * MS, 10 * MS), (-1.0_f64).exp());
    assert!(decay(Duration::MAX, MS) >= 0.0);
}

#[test]
fn an_average_moves_towards_a_sample_by_its_weight() {
    assert_eq!(exponential_average(100 * MS, 200 * MS, 0.0), 100 * MS);
    assert_eq!(exponential_average(100 * MS, 200 * MS, 0.25), 125 * MS);
    assert_eq!(exponential_average(100 * MS, 200 * MS, 1.0), 200 * MS);
}
