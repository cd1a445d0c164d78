//! Tests of the phases in which a connection ends.

use super::*;

const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// A client sends a command that is too long, continues to send, and reads the error only afterwards. If the descriptor
/// were closed with bytes unread, the system would reset the connection and discard the error. So the bytes are read
/// and discarded, up to a limit, until the linger timeout is over.
#[test]
fn a_rejected_client_is_read_until_its_budget_or_its_time_is_used_up() {
    let now = Instant::now();
    let mut end = ConnectionEnd::new();
    end.start_closing(CloseReason::Rejected);
    assert!(end.is_flushing() && !end.is_open());
    assert_eq!(end.discard_budget(), None, "the error is not written yet");
    end.finish_output(now);
    assert!(end.is_lingering() && !end.is_flushing());
    end.count_discarded(DISCARD_LIMIT - 1);
    assert_eq!(end.discard_budget(), Some(1));
    end.count_discarded(10);
    assert_eq!(end.discard_budget(), Some(0));
    assert!(!end.is_linger_over(LINGER_TIMEOUT, now + LINGER_TIMEOUT / 2));
    assert!(end.is_linger_over(LINGER_TIMEOUT, now + LINGER_TIMEOUT));
}

/// An idle client is closed between two requests while its next request is in transit. If that request were read and
/// discarded, it would be lost silently; left unread, it causes a reset, and the client retries on another connection.
#[test]
fn a_connection_that_ends_between_requests_reads_nothing_more() {
    let now = Instant::now();
    let mut end = ConnectionEnd::new();
    end.start_closing(CloseReason::Ended);
    end.finish_output(now);
    assert_eq!(end.discard_budget(), Some(0));
}

/// A lingering connection gets a second reason to close. It must not return to flushing: its output has ended already,
/// and nothing more can be written.
#[test]
fn a_lingering_connection_goes_on_lingering() {
    let now = Instant::now();
    let mut end = ConnectionEnd::new();
    end.start_closing(CloseReason::Rejected);
    end.finish_output(now);
    end.start_closing(CloseReason::Ended);
    assert!(end.is_lingering());
    assert_eq!(end.discard_budget(), Some(DISCARD_LIMIT));
}

/// A client leaves while its requests are in progress: its descriptor is closed at once, even with responses pending.
#[test]
fn a_peer_that_has_left_ends_the_connection_in_every_phase() {
    let mut end = ConnectionEnd::new();
    assert!(!end.has_peer_left());
    end.set_peer_left();
    assert!(end.has_peer_left() && end.is_open());
    end.start_closing(CloseReason::Rejected);
    assert!(end.has_peer_left());
}
