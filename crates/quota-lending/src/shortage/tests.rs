//! Begin and duration of a shortage.

use super::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn reject_three(shortage: &mut Shortage, at: u64) {
    (0..3).for_each(|_| shortage.record_end(ms(at), true));
}

#[test]
fn one_rejection_is_no_shortage_and_three_in_a_window_are() {
    let mut shortage = Shortage::default();
    for at in 0..20 {
        shortage.record_end(ms(at * 510), true);
        assert!(
            !shortage.is_in_shortage(ms(at * 510)),
            "one rejection in each window"
        );
    }
    reject_three(&mut shortage, 20_000);
    assert!(shortage.is_in_shortage(ms(21_999)) && !shortage.is_in_shortage(ms(22_000)));
}

#[test]
fn a_small_part_of_many_is_no_shortage() {
    let mut shortage = Shortage::default();
    for at in 0..2_000 {
        shortage.record_end(ms(10), at % 25 == 24);
    }
    assert!(!shortage.is_in_shortage(ms(10)));
    (0..30).for_each(|_| shortage.record_end(ms(11), true));
    assert!(shortage.is_in_shortage(ms(11)));
}

#[test]
fn a_shortage_that_soon_returns_lasts_longer_and_a_late_one_does_not() {
    let mut shortage = Shortage::default();
    reject_three(&mut shortage, 1_000);
    reject_three(&mut shortage, 4_000);
    assert!(
        shortage.is_in_shortage(ms(7_999)) && !shortage.is_in_shortage(ms(8_000)),
        "the second shortage lasts four seconds"
    );
    reject_three(&mut shortage, 10_000);
    assert!(
        shortage.is_in_shortage(ms(17_999)),
        "the third lasts eight seconds"
    );
    reject_three(&mut shortage, 60_000);
    assert!(
        shortage.is_in_shortage(ms(61_999)) && !shortage.is_in_shortage(ms(62_000)),
        "a late shortage lasts two seconds again"
    );
}
