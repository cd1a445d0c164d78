//! Tests of the status and start time that result from discovery and exclusions.

use super::*;

const S: Duration = Duration::from_secs(1);

#[test]
fn a_server_is_ready_only_if_both_sides_agree() {
    use ServerStatus::{Draining, Ready, Removed};
    for (listed, excluded, effective) in [
        (Some(Ready), false, Ready),
        (Some(Ready), true, Draining),
        (Some(Draining), false, Draining),
        (Some(Draining), true, Draining),
        (Some(Removed), false, Removed),
        (None, false, Removed),
        (None, true, Removed),
    ] {
        let status = effective_status(listed, excluded);
        assert_eq!(status, effective, "{listed:?}, excluded: {excluded}");
    }
}

#[test]
fn an_exclusion_counts_as_a_restart_until_a_start_is_listed() {
    let previous = Some((10 * S, 20 * S));
    assert_eq!(effective_start(5 * S, None), 5 * S);
    assert_eq!(effective_start(5 * S, previous), 20 * S);
    assert_eq!(effective_start(10 * S, previous), 10 * S);
    assert_eq!(effective_start(30 * S, previous), 30 * S);
}
