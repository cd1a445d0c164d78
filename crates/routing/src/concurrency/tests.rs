use super::*;

/// All answers that were sent before a reduction were late for the same reason. Each of them reducing the limit again would
/// close the server for one bad moment.
#[test]
fn a_limit_is_reduced_once_for_all_that_was_sent_before() {
    let at = Time::from_micros;
    let mut server = Server {
        concurrency_limit: 1.0,
        ..Server::default()
    };
    server.reduce_limit(0.8, at(10), at(5));
    assert_eq!(server.concurrency_limit, 1.0, "never under one attempt");
    server.concurrency_limit = 4.0;
    server.reduce_limit(0.8, at(20), at(9));
    assert_eq!(
        (server.concurrency_limit, server.limit_reduced),
        (4.0, at(10)),
        "sent before the last reduction"
    );
}

#[test]
fn a_reduction_goes_by_what_is_used_of_the_limit() {
    let at = Time::from_micros;
    let mut server = Server {
        concurrency_limit: 50.0,
        ..Server::default()
    };
    for attempt in 0..9 {
        let key = (RequestId(attempt), AttemptNumber(0));
        let in_flight = crate::state::InFlight {
            class: ClassId(0),
            sent: at(1),
            overtaken_by: 0,
        };
        server.in_flight.insert(key, in_flight);
    }
    server.reduce_limit(0.8, at(20), at(9));
    assert_eq!(
        server.concurrency_limit, 8.0,
        "0.8 of nine and the one that ended"
    );
}
