//! The wall clock is wrong when the process starts, or is stepped while it runs. The proxy reads a clock that the test sets;
//! the machine's clock stays as it is.

mod common;
use common::{Peer, TestProxy, TEST_TIMEOUT};
use leverproxy::clock::skew::{ReportedPosition, SkewEstimate};
use leverproxy::clock::{Clock, WallClock};
use leverproxy::discovery::wire::EndpointList;
use leverproxy::pipeline::record;
use leverproxy::request::{CompletedExchange, ExchangeOutcome, Purpose};
use routing::{Event, ResponseMetadata, ServerId, Time};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MS: Duration = Duration::from_millis(1);
const HOUR_MS: i64 = 3_600_000;

// ---- The clock and the estimate of its error ----

/// A wall clock that differs from the machine's by `clock_offset` milliseconds, which the test may change.
fn offset_wall_clock(clock_offset: &Arc<AtomicI64>) -> WallClock {
    let clock_offset = clock_offset.clone();
    WallClock::new(move || {
        let ms = clock_offset.load(Ordering::SeqCst);
        let span = Duration::from_millis(ms.unsigned_abs());
        if ms < 0 {
            SystemTime::now() - span
        } else {
            SystemTime::now() + span
        }
    })
}

fn clock_offset(ms: i64) -> Arc<AtomicI64> {
    Arc::new(AtomicI64::new(ms))
}

/// The process's clock advances with the monotonic clock, whatever steps the system clock makes.
#[test]
fn a_step_moves_no_instant_of_the_process() {
    for step in [2_000, -2_000, HOUR_MS, -HOUR_MS] {
        let system = clock_offset(0);
        let clock = Clock::start(offset_wall_clock(&system));
        let instants = [Instant::now(), Instant::now() + 90 * MS];
        let before = instants.map(|at| clock.unix_time(at));
        system.store(step, Ordering::SeqCst);
        assert_eq!(
            instants.map(|at| clock.unix_time(at)),
            before,
            "a step of {step} ms"
        );
        assert_eq!(before[1].since(before[0]), instants[1] - instants[0]);
        let (lead, stepped) = (
            clock.system_lead(),
            Duration::from_millis(step.unsigned_abs()),
        );
        assert!(
            if step > 0 {
                lead.abs_diff(stepped) < 1_000 * MS
            } else {
                lead.is_zero()
            },
            "{lead:?}"
        );
    }
}

/// A clock before 1970, as on a machine without a battery-backed clock, is treated as 1970.
#[test]
fn a_clock_before_1970_is_no_fault() {
    let clock = Clock::start(WallClock::new(|| UNIX_EPOCH - Duration::from_secs(5)));
    assert!(clock.unix_time(Instant::now()) < Time(TEST_TIMEOUT));
    assert!(clock.system_lead().is_zero());
}

/// Current time of these tests by the process's clock.
const NOW: Time = Time(Duration::from_secs(1_800_000_000));

fn replica(server: u32, ahead: Duration) -> ReportedPosition {
    ReportedPosition {
        server: ServerId(server),
        position: NOW.plus(ahead),
        read_after: None,
    }
}

/// Report of a primary whose response took 5 ms, with true time ahead of the process's clock by `ahead`.
fn primary(server: u32, ahead: Duration) -> ReportedPosition {
    ReportedPosition {
        read_after: Some(NOW.minus(5 * MS)),
        ..replica(server, ahead)
    }
}

fn estimate_from(reports: &[ReportedPosition]) -> SkewEstimate {
    let mut estimate = SkewEstimate::default();
    reports
        .iter()
        .for_each(|report| estimate.observe_position(*report, NOW));
    estimate
}

#[test]
fn without_evidence_the_clock_counts() {
    let estimate = estimate_from(&[primary(1, Duration::ZERO), replica(2, Duration::ZERO)]);
    assert_eq!(estimate.lead(NOW), Duration::ZERO);
    assert_eq!(estimate.latest_position(NOW), NOW.plus(1_000 * MS));
}

/// Two servers that agree, or three reports of one server, prove that the clock is behind. From then on their positions are
/// accepted and used to compute staleness bounds.
#[test]
fn a_clock_that_is_behind_is_detected() {
    for behind in [2_000 * MS, 5_000 * MS, 3_600_000 * MS] {
        let lag = 300 * MS;
        for reports in [
            vec![primary(1, behind), replica(2, behind - lag)],
            vec![replica(2, behind - lag), primary(1, behind)],
            vec![primary(1, behind); 3],
        ] {
            let estimate = estimate_from(&reports);
            assert_eq!(
                estimate.lead(NOW.plus(Duration::from_secs(600))),
                behind,
                "{reports:?}"
            );
            assert!(estimate.latest_position(NOW) >= NOW.plus(behind));
        }
    }
}

/// A wrong position from a single server takes effect at once, but only for freshness needs and for a short time.
#[test]
fn one_wrong_position_counts_for_a_short_time_only() {
    for ahead in [400 * MS, 5_000 * MS, Duration::from_secs(1 << 40)] {
        let mut estimate = estimate_from(&[replica(1, ahead)]);
        assert_eq!(estimate.lead(NOW), ahead);
        assert_eq!(
            estimate.latest_position(NOW),
            NOW.plus(1_000 * MS),
            "a single server's position must not be accepted"
        );
        // A replica with an earlier position does not revoke it.
        estimate.observe_position(replica(2, Duration::ZERO), NOW);
        assert_eq!(estimate.lead(NOW.plus(1_900 * MS)), ahead);
        assert_eq!(estimate.lead(NOW.plus(2_100 * MS)), Duration::ZERO);
    }
    let contradicted: Vec<ReportedPosition> = (1..9).map(|n| replica(n, 10_000 * MS * n)).collect();
    assert_eq!(
        estimate_from(&contradicted).lead(NOW.plus(2_100 * MS)),
        Duration::ZERO,
        "no two servers agree, so no lead may last"
    );
    let mut estimate = estimate_from(&[replica(1, 5_000 * MS)]);
    let later = NOW.plus(Duration::from_secs(60));
    estimate.observe_position(
        ReportedPosition {
            position: later.plus(5_000 * MS),
            ..replica(2, Duration::ZERO)
        },
        later,
    );
    assert_eq!(
        estimate.lead(later.plus(2_100 * MS)),
        Duration::ZERO,
        "the first report must have expired"
    );
}

/// After wrong positions from two servers, primaries revoke the lead by three contradictions in a row, not sooner.
#[test]
fn primaries_revoke_what_they_contradict() {
    let mut estimate = estimate_from(&[replica(1, 5_000 * MS), replica(2, 5_000 * MS)]);
    estimate.observe_position(primary(3, Duration::ZERO), NOW);
    estimate.observe_position(primary(3, Duration::ZERO), NOW);
    assert_eq!(estimate.lead(NOW), 5_000 * MS);
    estimate.observe_position(primary(4, 5_000 * MS), NOW);
    estimate.observe_position(primary(3, Duration::ZERO), NOW);
    estimate.observe_position(primary(3, Duration::ZERO), NOW);
    assert_eq!(
        estimate.lead(NOW),
        5_000 * MS,
        "an agreeing report must restart the count"
    );
    estimate.observe_position(primary(3, 2 * MS), NOW);
    assert_eq!(
        estimate.lead(NOW),
        10 * MS,
        "the lead must fall to the highest that the primaries allow, rounded up to 10 ms"
    );
    // A replica's old position does not contradict the lead, since a replica may lag.
    let mut estimate = estimate_from(&[primary(1, 5_000 * MS); 3]);
    (0..9).for_each(|_| estimate.observe_position(replica(2, Duration::ZERO), NOW));
    assert_eq!(estimate.lead(NOW), 5_000 * MS);
}

/// Of the clock read at the start and the system clock, the later one is used until primaries contradict the system clock.
#[test]
fn a_step_forward_counts_until_primaries_contradict_it() {
    for step in [2_000 * MS, 3_600_000 * MS] {
        let mut estimate = estimate_from(&[primary(1, Duration::ZERO)]);
        estimate.observe_system_clock(step);
        assert_eq!(estimate.lead(NOW), step);
        assert_eq!(
            estimate.latest_position(NOW),
            NOW.plus(1_000 * MS),
            "the system clock alone must not make positions acceptable"
        );
        for _ in 0..3 {
            assert_eq!(estimate.lead(NOW), step);
            estimate.observe_position(primary(1, Duration::ZERO), NOW);
        }
        assert_eq!(estimate.lead(NOW), Duration::ZERO);
        estimate.observe_system_clock(step);
        assert_eq!(
            estimate.lead(NOW),
            Duration::ZERO,
            "the same offset must stay refuted"
        );
        estimate.observe_system_clock(step + 1_000 * MS);
        assert_eq!(
            estimate.lead(NOW),
            step + 1_000 * MS,
            "another step must be used again"
        );
        estimate.observe_system_clock(Duration::ZERO);
        assert_eq!(
            estimate.lead(NOW),
            Duration::ZERO,
            "a step back must remove the lead"
        );
    }
}

/// A report with wide bounds, from a slow response, neither revokes a small lead nor supports one.
#[test]
fn reports_with_wide_bounds_neither_support_nor_contradict() {
    let slow = ReportedPosition {
        read_after: Some(NOW.minus(3_000 * MS)),
        ..primary(1, Duration::ZERO)
    };
    let mut estimate = SkewEstimate::default();
    estimate.observe_system_clock(2_000 * MS);
    (0..9).for_each(|_| estimate.observe_position(slow, NOW));
    assert_eq!(estimate.lead(NOW), 2_000 * MS);
    for report in [
        primary(1, Duration::ZERO),
        slow,
        primary(1, Duration::ZERO),
        slow,
        primary(1, Duration::ZERO),
    ] {
        estimate.observe_position(report, NOW);
    }
    assert_eq!(
        estimate.lead(NOW),
        Duration::ZERO,
        "reports with wide bounds must not interrupt a row of contradictions"
    );
}

/// A lead of a few milliseconds is rounded up, so that freshness needs do not change from one response to the next.
#[test]
fn a_lead_of_milliseconds_is_rounded_up() {
    let mut estimate = estimate_from(&[primary(1, 2 * MS), primary(2, 3 * MS)]);
    assert_eq!(estimate.lead(NOW.plus(Duration::from_secs(60))), 10 * MS);
    (1..9).for_each(|ms| estimate.observe_position(primary(ms, MS * ms), NOW));
    assert_eq!(estimate.lead(NOW), 10 * MS);
}

/// If the system clock was corrected after the start, it and the report of one server are enough evidence.
#[test]
fn the_system_clock_supports_a_servers_report() {
    let mut estimate = SkewEstimate::default();
    estimate.observe_system_clock(5_000 * MS);
    estimate.observe_position(replica(1, 4_800 * MS), NOW);
    assert!(estimate.latest_position(NOW) >= NOW.plus(4_800 * MS));
    estimate.observe_system_clock(Duration::ZERO);
    assert_eq!(estimate.lead(NOW), 4_800 * MS);
}

/// A client's position applies to its own read. It affects other requests only if a server or the system clock supports it.
#[test]
fn a_client_alone_proves_nothing() {
    let after = NOW.plus(5_000 * MS);
    let mut estimate = SkewEstimate::default();
    (0..9).for_each(|_| estimate.observe_client_write(after, NOW));
    assert_eq!(estimate.lead(NOW), Duration::ZERO);
    estimate.observe_position(primary(1, 5_000 * MS), NOW);
    estimate.observe_client_write(after, NOW);
    assert_eq!(estimate.lead(NOW.plus(Duration::from_secs(60))), 5_000 * MS);
}

/// Of a load report whose position is not accepted yet, the other fields are used: without the role, writes would not find
/// their primary.
#[test]
fn a_report_ahead_of_the_clock_still_gives_the_role() {
    let probed = |ahead: Duration| {
        let fields = [("x0", NOW.plus(ahead).0.as_secs_f64()), ("x1", 1.0)];
        let fields = fields
            .map(|(name, value)| (name.to_owned(), value))
            .to_vec();
        let (purpose, verdict, server) = (
            Purpose::Probe,
            ExchangeOutcome::Reported(fields),
            ServerId(1),
        );
        let (elapsed, metadata) = (MS, ResponseMetadata::default());
        let done = CompletedExchange {
            purpose,
            class: None,
            group: None,
            server,
            outcome: verdict,
            elapsed,
            metadata,
        };
        match record::record(&done, true, NOW) {
            Event::ProbeEnded { report, .. } => (report.primary, report.position.is_some()),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(probed(Duration::ZERO), (Some(true), true));
    assert_eq!(probed(5_000 * MS), (Some(true), false));
    assert_eq!(probed(3_600_000 * MS), (Some(true), false));
    assert_eq!(
        probed(Duration::from_secs(1 << 40)),
        (None, false),
        "an impossible position must invalidate the whole report"
    );
}

// ---- Requests through a proxy with a wrong clock ----

const SETTINGS: &str = r#"{"Balancers": 1, "Zones": ["a"], "HostTypes": ["m"],
 "Classes": [{"Name": "any", "Effect": "safe", "Deadline": 5000000, "GoalTime": 1000000, "LateValue": 0.5},
             {"Name": "own", "Effect": "safe", "Deadline": 5000000, "GoalTime": 1000000, "LateValue": 0.5},
             {"Name": "recent", "Effect": "safe", "Deadline": 5000000, "GoalTime": 1000000, "LateValue": 0.5},
             {"Name": "book", "Effect": "unsafe", "Deadline": 5000000, "GoalTime": 1000000, "LateValue": 0.5}],
 "FamilyInfo": {"Behind": "off", "NeedsByClass": ["loose", "own_writes", "recent", "update"],
                "StalenessBound": [0, 0, 500000, 0], "TokenMode": "client"},
 "LoadReport": {"Fields": ["x0", "x1", "backlog"], "How": "on_probe"},
 "PolicyLimits": {"DialTimeout": 4000000, "Keepalive": 30000000, "MaxRetryAfter": 2000000, "Probing": true,
                  "RetryAfter": true, "SecondCopies": true, "TryLimit": 8},
 "Realms": [{"Name": "acme", "QuotaPerS": 100.0}], "RegistryMode": "on_request",
 "Rules": {"StopSendingWithin": 500000, "StartCapacity": 1.0, "OverloadFactor": 2.0}}"#;

/// True time, which is the machine's, in milliseconds since 1970.
fn true_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// A record server that answers each query with its own name and reports its current position.
struct Server {
    address: SocketAddr,
    /// Milliseconds by which its data lags.
    lag: Arc<AtomicI64>,
    /// If set, the server steps the test's clock at the next query and closes the connection.
    reset_next_query: Arc<AtomicBool>,
}

impl Server {
    fn new(name: &'static str, lag_ms: i64, step: Option<(Arc<AtomicI64>, i64)>) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (lag, reset_next_query) = (clock_offset(lag_ms), Arc::new(AtomicBool::new(false)));
        let server = Server {
            address,
            lag: lag.clone(),
            reset_next_query: reset_next_query.clone(),
        };
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (lag, reset_next_query, step) =
                    (lag.clone(), reset_next_query.clone(), step.clone());
                let mut peer = Peer::new(stream.unwrap());
                thread::spawn(move || {
                    peer.startup();
                    while let Ok((b'Q', body)) = peer.message() {
                        if body == common::EMPTY_QUERY {
                            peer.write_empty_query_response();
                            continue;
                        }
                        let position = true_ms() - lag.load(Ordering::SeqCst).unsigned_abs();
                        if !body.starts_with(b"SHOW load")
                            && reset_next_query.swap(false, Ordering::SeqCst)
                        {
                            if let Some((clock, by)) = &step {
                                clock.store(*by, Ordering::SeqCst);
                            }
                            break;
                        }
                        if !send_response(&mut peer, &body, name, position) {
                            break;
                        }
                    }
                });
            }
        });
        server
    }

    fn entry(&self, name: &str) -> String {
        let address = self.address;
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":3,"status":"Ready","since_ms":0}}"#
        )
    }
}

fn send_response(peer: &mut Peer, body: &[u8], name: &str, position: u64) -> bool {
    use std::io::Write;
    let (leads, at) = (name == "primary", position.to_string());
    let bytes = if body.starts_with(b"SHOW load") {
        let (seconds, leads) = (position as f64 / 1e3, u8::from(leads));
        common::answer(&format!("x0={seconds},x1={leads},backlog=0"), &[])
    } else {
        common::answer(name, &[("role", name), ("applied_ms", &at)])
    };
    peer.stream.write_all(&bytes).is_ok()
}

/// A proxy with a clock that the test sets, and a primary and a replica behind it.
struct ReplicatedPair {
    _test_proxy: TestProxy,
    client: Peer,
    asked: u32,
    replica: Server,
}

impl ReplicatedPair {
    /// `clock` is the offset at the start; `step` is the offset after the replica has broken off a query.
    fn new(clock: &Arc<AtomicI64>, step: i64, lag_ms: i64, settings: &str) -> ReplicatedPair {
        let primary = Server::new("primary", 0, None);
        let replica = Server::new("replica", lag_ms, Some((clock.clone(), step)));
        let entries = [primary.entry("s-1"), replica.entry("s-2")].join(",");
        let known = format!(r#"{{"index":41,"snapshot":true,"endpoints":[{entries}]}}"#);
        let test_proxy = TestProxy::with_config(&[], |config| {
            config.known = EndpointList::parse(known.as_bytes()).unwrap();
            config.platform = platform_settings::decode(settings.as_bytes()).unwrap();
            config.wall_clock = offset_wall_clock(clock);
        });
        let client = Peer::client(test_proxy.address);
        ReplicatedPair {
            _test_proxy: test_proxy,
            client,
            asked: 0,
            replica,
        }
    }

    /// Sends a query; returns the name of the server that answered.
    fn ask(&mut self, class: &str, extra_fields: &str) -> String {
        self.asked += 1;
        let id = self.asked;
        // A read may wait for a replica until its deadline.
        let wait = if class == "recent" { 900 } else { 4_900 };
        self.client.ask(&format!(
            "SELECT doc FROM items WHERE id = '7f3a' /* id={id:016x},c={class},t=acme,d={wait},cluster=3{extra_fields} */"
        ));
        let reply = self.client.reply();
        reply.value.unwrap_or_else(|| {
            panic!(
                "{class} {extra_fields}: {:?} {:?}",
                reply.code, reply.detail
            )
        })
    }

    fn write(&mut self) {
        assert_eq!(self.ask("book", ""), "primary");
    }

    /// Sends requests until both servers have reported their roles and positions.
    fn learn_roles(&mut self) {
        let of_replica = (0..100)
            .filter(|_| self.ask("any", "") == "replica")
            .take(3)
            .count();
        assert_eq!(
            of_replica, 3,
            "reads without freshness needs must reach the replica"
        );
        self.write();
    }

    /// Sends `reads` reads of a class one after the other; returns how many the replica served.
    fn count_replica_reads(
        &mut self,
        reads: u32,
        class: &str,
        extra_fields: impl Fn() -> String,
    ) -> u32 {
        (0..reads)
            .map(|_| u32::from(self.ask(class, &extra_fields()) == "replica"))
            .sum()
    }
}

/// A session's read sees its write although the proxy's clock is behind or ahead of the clock of the reported positions.
#[test]
fn a_session_read_sees_its_write_whatever_the_clock_says() {
    for start in [-5_000, -2_000, 2_000, HOUR_MS, -HOUR_MS] {
        let clock = clock_offset(start);
        // The replica's position is behind the write below, and only slightly ahead of a clock that is 5 s behind.
        let mut pair = ReplicatedPair::new(&clock, 0, 4_500, SETTINGS);
        pair.learn_roles();
        let after = || format!(",after={}", true_ms() - 1_000);
        assert_eq!(
            pair.count_replica_reads(8, "own", after),
            0,
            "a clock off by {start} ms at the start"
        );
    }
}

/// A replica that has the write serves reads after it, once its reported position is accepted.
#[test]
fn a_replica_that_holds_the_write_serves_it_whatever_the_clock_says() {
    for start in [-5_000, -HOUR_MS, 2_000, HOUR_MS] {
        let clock = clock_offset(start);
        let mut pair = ReplicatedPair::new(&clock, 0, 20, SETTINGS);
        pair.learn_roles();
        let after = || format!(",after={}", true_ms() - 1_000);
        assert!(
            pair.count_replica_reads(10, "own", after) > 4,
            "a clock off by {start} ms at the start"
        );
    }
}

/// Where the proxy itself tracks the commits of sessions, a commit ahead of its clock is still respected.
#[test]
fn a_remembered_commit_ahead_of_the_clock_binds_its_session() {
    let settings = SETTINGS.replace(r#""TokenMode": "client""#, r#""TokenMode": "router""#);
    let clock = clock_offset(-5_000);
    let mut pair = ReplicatedPair::new(&clock, 0, 4_500, &settings);
    // This includes a write, whose commit is among the first positions ahead of the clock.
    pair.learn_roles();
    assert_eq!(pair.count_replica_reads(8, "own", String::new), 0);
}

/// The staleness bound holds although the clock is behind by about as much as the replica.
#[test]
fn a_bound_on_the_age_of_data_holds_by_a_clock_that_is_behind() {
    for (start, lag) in [(-5_000, 4_500), (-2_000, 1_600), (-HOUR_MS, 4_500)] {
        let clock = clock_offset(start);
        let mut pair = ReplicatedPair::new(&clock, 0, lag, SETTINGS);
        pair.learn_roles();
        let reads = pair.count_replica_reads(8, "recent", String::new);
        assert_eq!(
            reads, 0,
            "a clock off by {start} ms and a replica {lag} ms behind"
        );
    }
}

/// By a clock that is ahead, all replica data looks too old. The primary serves such reads, and none is rejected.
#[test]
fn a_bounded_read_is_served_by_a_clock_that_is_ahead() {
    for start in [2_000, HOUR_MS] {
        let clock = clock_offset(start);
        let mut pair = ReplicatedPair::new(&clock, 0, 4_500, SETTINGS);
        pair.learn_roles();
        assert_eq!(
            pair.count_replica_reads(10, "recent", String::new),
            0,
            "a clock off by {start} ms"
        );
    }
}

/// The system clock is stepped forward between a read's arrival and its retry. The two readings of the clock disagree and the
/// stricter one is used, so the primary gets the retry. The primary's reports then confirm the clock read at the start, and
/// the replica serves again.
#[test]
fn a_step_between_arrival_and_retry_is_heeded_until_it_is_refuted() {
    for step in [2_000, HOUR_MS] {
        let clock = clock_offset(0);
        let mut pair = ReplicatedPair::new(&clock, step, 20, SETTINGS);
        pair.learn_roles();
        assert!(
            (0..50).any(|_| pair.ask("recent", "") == "replica"),
            "the replica must serve before the step"
        );
        pair.replica.reset_next_query.store(true, Ordering::SeqCst);
        let started_at = Instant::now();
        let mut by = pair.ask("recent", "");
        while pair.replica.reset_next_query.load(Ordering::SeqCst) {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "the replica gets no read"
            );
            by = pair.ask("recent", "");
        }
        assert_eq!(by, "primary", "a step of {step} ms");
        while pair.ask("recent", "") != "replica" {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "a step of {step} ms is not refuted"
            );
        }
    }
}

/// A step back has no effect: the clock read at the start stays in use, since it is the stricter one.
#[test]
fn a_step_back_between_arrival_and_retry_lets_no_old_data_pass() {
    for step in [-2_000, -HOUR_MS] {
        let clock = clock_offset(0);
        let mut pair = ReplicatedPair::new(&clock, step, 20, SETTINGS);
        pair.learn_roles();
        // The replica's data lags by more than a read may wait for it.
        pair.replica.lag.store(6_000, Ordering::SeqCst);
        pair.replica.reset_next_query.store(true, Ordering::SeqCst);
        // Positions that were reported before exceed the bound after this time.
        let started_at = Instant::now();
        while started_at.elapsed() < 600 * MS {
            pair.ask("recent", "");
        }
        assert_eq!(
            clock.load(Ordering::SeqCst),
            step,
            "the replica must have received a read and broken it off"
        );
        assert_eq!(
            pair.count_replica_reads(2, "recent", String::new),
            0,
            "a step of {step} ms"
        );
    }
}

/// A request without a response ends at its deadline, neither sooner nor later, although the clock is stepped meanwhile.
#[test]
fn a_step_moves_no_deadline() {
    for step in [2_000, -2_000, HOUR_MS, -HOUR_MS] {
        let (clock, server) = (clock_offset(0), common::Listener::new());
        let test_proxy = TestProxy::with_config(&[("s-1", &server)], |config| {
            config.wall_clock = offset_wall_clock(&clock)
        });
        let mut client = Peer::client(test_proxy.address);
        client.ask(&common::read_statement(1, "any", 600));
        let started_at = Instant::now();
        let mut upstream = server.accept_session();
        upstream.query();
        clock.store(step, Ordering::SeqCst);
        // Another request makes the event loop read the clock while the first is in flight.
        let mut other = Peer::client(test_proxy.address);
        other.ask("SET a = 1");
        other.reply();
        assert!(client.reply().code.is_some());
        let took = started_at.elapsed();
        assert!(
            took > 300 * MS && took < 2_000 * MS,
            "a step of {step} ms: {took:?}"
        );
    }
}

// ---- Durations across a step ----

const STEPS: [i64; 4] = [2_000, -2_000, HOUR_MS, -HOUR_MS];

/// Waits until `span` has elapsed; the tests that call it need the time itself to pass.
fn busy_wait(span: Duration) {
    let started_at = Instant::now();
    while started_at.elapsed() < span {
        thread::yield_now();
    }
}

/// Accepts a session, answers its probes and returns the first other query.
fn next_query(server: &common::Listener) -> (Peer, String) {
    let mut peer = server.accept_session();
    loop {
        match peer.query() {
            probe if probe == "SHOW load" => peer.answer("x0=1.0,x1=1,backlog=0", &[]),
            query => return (peer, query),
        }
    }
}

/// A keyed write whose first attempt may have run: `after` this span, the clock is stepped and the connection is closed.
fn broken_keyed_write(
    window: Duration,
    after: Duration,
    step: i64,
) -> (TestProxy, Peer, common::Listener) {
    let keyed = format!(
        r#""Effect": "keyed", "Group": "all", "Window": {}"#,
        window.as_micros()
    );
    let settings = SETTINGS.replace(r#""Effect": "unsafe""#, &keyed);
    let (clock, server) = (clock_offset(0), common::Listener::new());
    let test_proxy = TestProxy::with_config(&[("s-1", &server)], |config| {
        config.platform = platform_settings::decode(settings.as_bytes()).unwrap();
        config.wall_clock = offset_wall_clock(&clock);
    });
    let mut client = Peer::client(test_proxy.address);
    client.ask("INSERT INTO items (id, doc) VALUES ('7f', '\\x9f') RETURNING doc /* id=1,c=book,t=acme,d=4900,k=5c0f,cluster=3 */");
    let (upstream, query) = next_query(&server);
    assert!(query.contains(",k=5c0f"), "{query}");
    busy_wait(after);
    clock.store(step, Ordering::SeqCst);
    drop(upstream);
    (test_proxy, client, server)
}

/// The deduplication window of a key is a duration: a step forward does not end it, and a step back does not reopen it.
#[test]
fn a_step_moves_no_window_of_a_key() {
    for step in STEPS {
        let (_test_proxy, mut client, server) =
            broken_keyed_write(Duration::from_secs(4), Duration::ZERO, step);
        let (mut upstream, query) = next_query(&server);
        assert!(
            query.contains(",k=5c0f"),
            "a step of {step} ms, inside the window: {query}"
        );
        upstream.answer("one", &[("role", "primary")]);
        assert_eq!(client.reply().value.as_deref(), Some("one"));
        let (_test_proxy, mut client, _server) = broken_keyed_write(200 * MS, 300 * MS, step);
        // If the write were retried, it would fail only at its deadline.
        let started_at = Instant::now();
        assert!(client.reply().code.is_some());
        assert!(
            started_at.elapsed() < 2_500 * MS,
            "a step of {step} ms, after the window: the write must not be retried"
        );
    }
}

/// A watch is replaced once nothing has arrived for the silence timeout, neither sooner nor an hour later.
#[test]
fn a_step_moves_no_silence_of_discovery() {
    for step in STEPS {
        let clock = clock_offset(0);
        let test_proxy = TestProxy::with_config(&[], |config| {
            config.max_watch_silence = 400 * MS;
            config.wall_clock = offset_wall_clock(&clock);
        });
        let started_at = Instant::now();
        clock.store(step, Ordering::SeqCst);
        test_proxy.discovery.accept().accept_watch();
        let took = started_at.elapsed();
        assert!(
            took > 200 * MS && took < 2_000 * MS,
            "a step of {step} ms: after {took:?}"
        );
    }
}

/// A pooled connection is closed after its idle timeout.
#[test]
fn a_step_moves_no_idle_time() {
    for step in STEPS {
        let (clock, server) = (clock_offset(0), common::Listener::new());
        let test_proxy = TestProxy::with_config(&[("s-1", &server)], |config| {
            config.upstream_idle_timeout = 400 * MS;
            config.wall_clock = offset_wall_clock(&clock);
        });
        let mut client = Peer::client(test_proxy.address);
        let mut upstream = common::serve_request(&mut client, &server, 1, "one");
        let started_at = Instant::now();
        clock.store(step, Ordering::SeqCst);
        assert!(upstream.ended());
        let took = started_at.elapsed();
        assert!(
            took > 200 * MS && took < 2_000 * MS,
            "a step of {step} ms: after {took:?}"
        );
    }
}
