use super::*;

#[test]
fn a_late_answer_lowers_admission_by_the_weight_that_it_lost() {
    assert_eq!(admission_step(1.0, 4.0), 1.0);
    assert_eq!(admission_step(0.0, 4.0), -4.0);
    assert_eq!(admission_step(0.5, 4.0), -1.5);
}

#[test]
fn a_fraction_moves_in_proportion_and_stays_inside_its_limits() {
    let tuning = Tuning::default();
    assert_eq!(adjusted_fraction(1.0, 1.0, 1.0, &tuning), 1.1);
    assert_eq!(
        adjusted_fraction(1.0, 0.0, -4.0, &tuning),
        1.0,
        "without weight the fraction does not change"
    );
    assert_eq!(adjusted_fraction(1.5, 1.0, 1.0, &tuning), 1.5);
    assert_eq!(adjusted_fraction(0.05, 1.0, -4.0, &tuning), 0.05);
}

#[test]
fn low_priority_is_shed_first() {
    let usual = fraction_for_priority(0.5, 1.0, 1.0);
    assert_eq!(usual, 0.5);
    assert!(fraction_for_priority(0.5, 1.0, 2.0) > usual);
    assert!(fraction_for_priority(0.5, 1.0, 0.5) < usual);
    assert_eq!(fraction_for_priority(1.0, 1.0, 0.5), 1.0);
}
