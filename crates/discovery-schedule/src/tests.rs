//! Arithmetic of deadlines.

use super::*;

const S: Duration = Duration::from_secs(1);

/// After a call that ends at once, the whole retry delay is left; after one that ends late, only the rest of the poll
/// age; after one that ends even later, nothing.
#[test]
fn the_latest_retry_depends_on_the_last_progress() {
    assert_eq!(latest_retry(100 * S, 100 * S), 100 * S + MAX_RETRY_DELAY);
    assert_eq!(latest_retry(100 * S, 97 * S), 97 * S + MAX_POLL_AGE);
    assert_eq!(latest_retry(100 * S, 90 * S), 100 * S);
}

#[test]
fn a_call_has_a_deadline_for_each_state() {
    let mut call = Call::new(10 * S);
    assert_eq!(call.deadline(S), 10 * S + DIAL_TIMEOUT);
    call.connected = true;
    assert_eq!(
        call.deadline(S),
        10 * S + SILENCE_TIMEOUT,
        "connected without bytes"
    );
    call.last_bytes = Some(12 * S);
    assert_eq!(call.deadline(S), 13 * S, "silent after the first bytes");
    call.last_bytes = Some(15 * S);
    assert_eq!(
        call.deadline(S),
        10 * S + OBJECT_TIMEOUT,
        "bytes without a complete object"
    );
    (call.last_object, call.last_bytes) = (Some(15 * S), None);
    assert_eq!(call.deadline(S), 16 * S, "silent after an object");
}
