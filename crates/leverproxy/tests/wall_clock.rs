//! The wall clock is wrong when the process starts, or is stepped while it runs. The machine's clock stays as it is:
//! the proxy reads one that the test sets.

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

// ---- The clock, and what is known of its error ----

/// A clock that is off by a number of milliseconds, which the test may change.
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

/// Spans on the process's clock are those of the monotonic clock, whatever the system's does.
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

/// A clock before 1970, as that of a machine without a battery may be, is taken for 1970.
#[test]
fn a_clock_before_1970_is_no_fault() {
    let clock = Clock::start(WallClock::new(|| UNIX_EPOCH - Duration::from_secs(5)));
    assert!(clock.unix_time(Instant::now()) < Time(TEST_TIMEOUT));
    assert!(clock.system_lead().is_zero());
}

/// The present of these tests, by the process's clock.
const NOW: Time = Time(Duration::from_secs(1_800_000_000));

fn replica(server: u32, ahead: Duration) -> ReportedPosition {
    ReportedPosition {
        server: ServerId(server),
        position: NOW.plus(ahead),
        read_after: None,
    }
}

/// A primary's report that took 5 ms, with true time this far ahead.
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

/// Two servers that agree, or three reports of one server, prove that the clock is behind; from then on their positions
/// are believed and staleness bounds are computed with them.
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

/// A single server reports a position that is wrong. It counts at once, but only for freshness needs and for a short time.
#[test]
fn one_wrong_position_counts_for_a_short_time_only() {
    for ahead in [400 * MS, 5_000 * MS, Duration::from_secs(1 << 40)] {
        let mut estimate = estimate_from(&[replica(1, ahead)]);
        assert_eq!(estimate.lead(NOW), ahead);
        assert_eq!(
            estimate.latest_position(NOW),
            NOW.plus(1_000 * MS),
            "its position is not believed"
        );
        // A replica that says less takes back nothing of it.
        estimate.observe_position(replica(2, Duration::ZERO), NOW);
        assert_eq!(estimate.lead(NOW.plus(1_900 * MS)), ahead);
        assert_eq!(estimate.lead(NOW.plus(2_100 * MS)), Duration::ZERO);
    }
    let contradicted: Vec<ReportedPosition> = (1..9).map(|n| replica(n, 10_000 * MS * n)).collect();
    assert_eq!(
        estimate_from(&contradicted).lead(NOW.plus(2_100 * MS)),
        Duration::ZERO,
        "no two of them agree"
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
        "the first is forgotten by then"
    );
}

/// Two servers have reported wrong positions. Primaries revoke the lead by three contradictions in a row, not sooner.
#[test]
fn primaries_revoke_what_they_contradict() {
    let mut estimate = estimate_from(&[replica(1, 5_000 * MS), replica(2, 5_000 * MS)]);
    estimate.observe_position(primary(3, Duration::ZERO), NOW);
    estimate.observe_position(primary(3, Duration::ZERO), NOW);
    assert_eq!(estimate.lead(NOW), 5_000 * MS);
    estimate.observe_position(primary(4, 5_000 * MS), NOW);
    estimate.observe_position(primary(3, Duration::ZERO), NOW);
    estimate.observe_position(primary(3, Duration::ZERO), NOW);
    assert_eq!(estimate.lead(NOW), 5_000 * MS, "one has agreed in between");
    estimate.observe_position(primary(3, 2 * MS), NOW);
    assert_eq!(
        estimate.lead(NOW),
        10 * MS,
        "the most that they allow, in tens of milliseconds"
    );
    // A replica's old position contradicts nothing: it may lag.
    let mut estimate = estimate_from(&[primary(1, 5_000 * MS); 3]);
    (0..9).for_each(|_| estimate.observe_position(replica(2, Duration::ZERO), NOW));
    assert_eq!(estimate.lead(NOW), 5_000 * MS);
}

/// Of two readings of the clock the later time counts, until primaries show that the system's clock is wrong.
#[test]
fn a_step_forward_counts_until_primaries_contradict_it() {
    for step in [2_000 * MS, 3_600_000 * MS] {
        let mut estimate = estimate_from(&[primary(1, Duration::ZERO)]);
        estimate.observe_system_clock(step);
        assert_eq!(estimate.lead(NOW), step);
        assert_eq!(
            estimate.latest_position(NOW),
            NOW.plus(1_000 * MS),
            "no position is believed by it alone"
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
            "the same reading stays refuted"
        );
        estimate.observe_system_clock(step + 1_000 * MS);
        assert_eq!(
            estimate.lead(NOW),
            step + 1_000 * MS,
            "another step is another reading"
        );
        estimate.observe_system_clock(Duration::ZERO);
        assert_eq!(estimate.lead(NOW), Duration::ZERO, "it was stepped back");
    }
}

/// A report may be old, and a slow response gives wide bounds: neither revokes a small lead nor supports one.
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
        "quick answers in a row, but for what says nothing"
    );
}

/// Machines whose clocks differ by milliseconds: needs stay as they are from one answer to the next.
#[test]
fn a_lead_of_milliseconds_is_rounded_up() {
    let mut estimate = estimate_from(&[primary(1, 2 * MS), primary(2, 3 * MS)]);
    assert_eq!(estimate.lead(NOW.plus(Duration::from_secs(60))), 10 * MS);
    (1..9).for_each(|ms| estimate.observe_position(primary(ms, MS * ms), NOW));
    assert_eq!(estimate.lead(NOW), 10 * MS);
}

/// The system's clock was corrected after the start: with it, the report of one server is enough.
#[test]
fn the_system_clock_supports_a_servers_report() {
    let mut estimate = SkewEstimate::default();
    estimate.observe_system_clock(5_000 * MS);
    estimate.observe_position(replica(1, 4_800 * MS), NOW);
    assert!(estimate.latest_position(NOW) >= NOW.plus(4_800 * MS));
    estimate.observe_system_clock(Duration::ZERO);
    assert_eq!(estimate.lead(NOW), 4_800 * MS);
}

/// A client's position counts for its own read. For all others it needs a server or the system's clock beside it.
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

/// A load report has a position that is not believed yet. The rest of it counts: without the role no write would find its
/// primary.
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
        "nothing in it can be true"
    );
}

// ---- Stories ----

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

/// True time: that of the machine.
fn true_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// A record server that answers each query with its own name, and tells its position as it is then.
struct Server {
    address: SocketAddr,
    /// Milliseconds by which its data is behind.
    lag: Arc<AtomicI64>,
    /// It breaks the connection of the next query, after the test's clock is stepped by so much.
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

/// A proxy whose clock the test has set, between a primary and a replica.
struct ReplicatedPair {
    _test_proxy: TestProxy,
    client: Peer,
    asked: u32,
    replica: Server,
}

impl ReplicatedPair {
    /// The clock as the proxy finds it, and as it is once a query is broken off.
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

    /// Who has answered.
    fn ask(&mut self, class: &str, extra_fields: &str) -> String {
        self.asked += 1;
        let id = self.asked;
        // A read waits for a replica for as long as its time lets it.
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

    /// Both servers have told who they are and where.
    fn learn_roles(&mut self) {
        let of_replica = (0..100)
            .filter(|_| self.ask("any", "") == "replica")
            .take(3)
            .count();
        assert_eq!(
            of_replica, 3,
            "reads that may go anywhere spare the primary"
        );
        self.write();
    }

    /// So many reads of a class in a row, and those that the replica had.
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

/// A session's read sees its write although the clock is behind, or ahead, of the one that positions are told by.
#[test]
fn a_session_read_sees_its_write_whatever_the_clock_says() {
    for start in [-5_000, -2_000, 2_000, HOUR_MS, -HOUR_MS] {
        let clock = clock_offset(start);
        // Behind the write below, and not far ahead of a clock that is 5 s behind.
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

/// Nor is a replica that holds the write lost to such reads, once its word on the time is believed.
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

/// Where the proxy remembers commits itself, one that lies ahead of its clock counts all the same.
#[test]
fn a_remembered_commit_ahead_of_the_clock_binds_its_session() {
    let settings = SETTINGS.replace(r#""TokenMode": "client""#, r#""TokenMode": "router""#);
    let clock = clock_offset(-5_000);
    let mut pair = ReplicatedPair::new(&clock, 0, 4_500, &settings);
    // With a write, whose commit is among the first words that lie ahead.
    pair.learn_roles();
    assert_eq!(pair.count_replica_reads(8, "own", String::new), 0);
}

/// Data is no older than its bound although the clock is behind by about as much as the replica.
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

/// By a clock that is ahead all data looks too old: such reads are the primary's, and none is refused.
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

/// The system's clock is stepped between a read's arrival and its retry. Two readings of the time disagree, and the
/// stricter counts: the primary gets it. Its answers show that the clock which was read at the start is right, and
/// the replica serves again.
#[test]
fn a_step_between_arrival_and_retry_is_heeded_until_it_is_refuted() {
    for step in [2_000, HOUR_MS] {
        let clock = clock_offset(0);
        let mut pair = ReplicatedPair::new(&clock, step, 20, SETTINGS);
        pair.learn_roles();
        assert!(
            (0..50).any(|_| pair.ask("recent", "") == "replica"),
            "the replica is fresh enough"
        );
        pair.replica.reset_next_query.store(true, Ordering::SeqCst);
        let started_at = Instant::now();
        let mut by = pair.ask("recent", "");
        while pair.replica.reset_next_query.load(Ordering::SeqCst) {
            assert!(started_at.elapsed() < TEST_TIMEOUT, "the replica gets none");
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

/// A step back moves nothing: the clock that was read at the start counts, and it is the stricter one.
#[test]
fn a_step_back_between_arrival_and_retry_lets_no_old_data_pass() {
    for step in [-2_000, -HOUR_MS] {
        let clock = clock_offset(0);
        let mut pair = ReplicatedPair::new(&clock, step, 20, SETTINGS);
        pair.learn_roles();
        // Its data stands still for longer than a read would wait for it.
        pair.replica.lag.store(6_000, Ordering::SeqCst);
        pair.replica.reset_next_query.store(true, Ordering::SeqCst);
        // What was told before is too old after the bound.
        let started_at = Instant::now();
        while started_at.elapsed() < 600 * MS {
            pair.ask("recent", "");
        }
        assert_eq!(
            clock.load(Ordering::SeqCst),
            step,
            "the replica got a read and broke it off"
        );
        assert_eq!(
            pair.count_replica_reads(2, "recent", String::new),
            0,
            "a step of {step} ms"
        );
    }
}

/// A request that nobody answers ends in its time, neither sooner nor later, though the clock is stepped under it.
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
        // Another request makes the loop turn, and its clock is read, while the first is out.
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

// ---- Spans over a step ----

const STEPS: [i64; 4] = [2_000, -2_000, HOUR_MS, -HOUR_MS];

/// Returns once so much time has gone by; what is waited for is that it has.
fn busy_wait(span: Duration) {
    let started_at = Instant::now();
    while started_at.elapsed() < span {
        thread::yield_now();
    }
}

/// The next query that is no probe, on any connection.
fn next_query(server: &common::Listener) -> (Peer, String) {
    let mut peer = server.accept_session();
    loop {
        match peer.query() {
            probe if probe == "SHOW load" => peer.answer("x0=1.0,x1=1,backlog=0", &[]),
            query => return (peer, query),
        }
    }
}

/// A keyed write whose first attempt may have run, `after` which the clock is stepped and the connection breaks.
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

/// The window of a key is a span: a step forward does not end it, and a step back does not open it again.
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
        // Sent again, it would be waited for until its client's time is over.
        let started_at = Instant::now();
        assert!(client.reply().code.is_some());
        assert!(
            started_at.elapsed() < 2_500 * MS,
            "a step of {step} ms, behind the window: it is sent again"
        );
    }
}

/// A watch is replaced once it has been silent for its time, not sooner, and not an hour later.
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

/// A pooled connection is closed once it has been idle for its time.
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
