//! Tests which exclusions are saved if there are too many.

use super::*;

fn exclusion(excluded_since: Option<u64>, previous: Option<(u64, u64)>) -> ManualExclusion {
    ManualExclusion {
        name: String::new(),
        excluded_since,
        previous,
    }
}

/// Exclusions are ordered by their begin, or by the end of the previous exclusion if there is no current one.
#[test]
fn the_newest_exclusions_are_kept() {
    let oldest = exclusion(None, Some((1, 2)));
    let current = exclusion(Some(3), None);
    let ended = exclusion(None, Some((1, 5)));
    let mut many = vec![ended.clone(), oldest, current.clone()];
    many.extend(vec![exclusion(Some(9), None); MAX_EXCLUSIONS - 2]);
    let kept = newest_exclusions(many);
    assert_eq!(kept.len(), MAX_EXCLUSIONS);
    assert_eq!(kept[..2], [current, ended]);
}
