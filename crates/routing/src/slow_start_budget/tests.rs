use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn many_routers_with_a_tenth_of_a_request_each_send_a_tenth_of_their_requests() {
    let work = 10 * MS;
    for slice in 0..20 {
        let sent = (0..1_000).filter(|&router| {
            let phase = SlowStartPhase::at(100 * MS * slice, 100 * MS, router, 0.0);
            SliceSpending::default().allows(phase, 0.1 * work.as_secs_f64(), work)
        });
        let sent = sent.count();
        assert!((95..=105).contains(&sent), "{sent} in slice {slice}");
    }
}

#[test]
fn a_slice_has_its_own_budget() {
    let work = 10 * MS;
    let mut budget = SliceSpending::default();
    let phase = |slice| SlowStartPhase {
        slice,
        threshold: 1.0,
    };
    budget.add(phase(3), work);
    assert!(!budget.allows(phase(3), 0.015, work));
    assert!(budget.allows(phase(4), 0.015, work));
}

#[test]
fn heavy_requests_have_a_smaller_quota() {
    let rate = OfferedLoad {
        per_second: 1.0,
        mean: 0.01,
    };
    let slice = 100 * MS;
    assert_eq!(rate.budget(slice, 5 * MS, 1.5), 0.1);
    assert!(rate.budget(slice, 40 * MS, 1.5) < 0.1 / 4.0);
    assert!(rate.is_below(slice, 200 * MS) && !rate.is_below(slice, 50 * MS));
}
