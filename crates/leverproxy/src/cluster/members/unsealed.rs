//! The first datagram that can't be sealed is logged with the reason; further ones are only counted.

use super::recorded::join_test_fleet;
use super::*;
use std::cell::RefCell;

thread_local! {
    static LOG_LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Logger that collects lines per thread, so that each test sees only its own lines.
struct Log;

impl log::Log for Log {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LOG_LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
    }

    fn flush(&self) {}
}

#[test]
fn the_first_datagram_that_cannot_be_sealed_is_logged() {
    log::set_logger(&Log).expect("no other test of this program sets a logger");
    log::set_max_level(log::LevelFilter::Error);
    let mut members = join_test_fleet(Instant::now());
    LOG_LINES.with_borrow_mut(Vec::clear);
    let long = vec![0; MAX_DATAGRAM_BYTES];
    for _ in 0..2 {
        members.send(([127, 0, 0, 1], 9).into(), &long);
    }
    assert_eq!((members.seal_failures, members.send_failures), (2, 2));
    let lines = LOG_LINES.take();
    assert!(
        matches!(&lines[..], [line] if line.contains("at most") && line.contains("only counted") && line.contains("A fault of the program")),
        "{lines:?}"
    );
}
