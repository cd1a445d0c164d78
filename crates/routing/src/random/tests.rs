use super::*;

#[test]
fn hashes_lie_evenly_between_zero_and_one() {
    let hashes: Vec<f64> = (0..10_000).map(unit_hash).collect();
    assert!(hashes.iter().all(|hash| (0.0..1.0).contains(hash)));
    let mean = hashes.iter().sum::<f64>() / hashes.len() as f64;
    assert!((mean - 0.5).abs() < 0.02, "{mean}");
    assert_eq!(unit_hash(7), unit_hash(7));
}
