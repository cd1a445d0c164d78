//! The phases of a connection's end.

use super::*;

const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// A client that sends more bytes than any command may have is told so. It goes on sending, and reads the error only
/// afterwards. Were the descriptor closed with its bytes unread, the system would reset the connection and throw the
/// error away: so its bytes are read and discarded, up to a bound, until its time to read is over.
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

/// An idle client is closed between two requests while its next request is on the way. Read and discarded, that request
/// would be lost without a word; left unread, the client sees a reset and sends it again elsewhere.
#[test]
fn a_connection_that_ends_between_requests_reads_nothing_more() {
    let now = Instant::now();
    let mut end = ConnectionEnd::new();
    end.start_closing(CloseReason::Ended);
    end.finish_output(now);
    assert_eq!(end.discard_budget(), Some(0));
}

/// A connection that lingers gets a second reason to close. It must not start over: its output has ended already, and
/// nothing more can be written.
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

/// A client leaves in the middle of its requests: its descriptor is closed at once, whatever is owed to it.
#[test]
fn a_peer_that_has_left_ends_the_connection_in_every_phase() {
    let mut end = ConnectionEnd::new();
    assert!(!end.has_peer_left());
    end.set_peer_left();
    assert!(end.has_peer_left() && end.is_open());
    end.start_closing(CloseReason::Rejected);
    assert!(end.has_peer_left());
}
