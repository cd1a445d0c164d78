//! Tests of the codecs against the documents of the protocols, and with invalid input.

use proptest::prelude::*;
use prost::Message;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use wire_health::agent::{self, Administrative, Operational, Scope};
use wire_health::http::{self, Fault, Statuses};
use wire_health::orca::{self, Format};
use wire_health::proxy::{self, Source};
use wire_health::{Group, Load, State, Status};

fn status(state: State, weight: u8) -> Status {
    let load = Load {
        cpu: 0.25,
        memory: 0.5,
        requests_per_s: 300.0,
        open: 0.125,
        ..Load::default()
    };
    let groups = vec![
        Group {
            group: 0,
            condition: "serving",
            serves: true,
        },
        Group {
            group: 3,
            condition: "hung",
            serves: false,
        },
    ];
    let retry_after = Duration::from_millis(1_200);
    Status {
        state,
        weight,
        reason: "group 3 is hung".into(),
        max_clients: Some(40),
        retry_after,
        load,
        groups,
        links: vec![("thamel".into(), "cut")],
    }
}

const STATES: [State; 6] = [
    State::Starting,
    State::Ready,
    State::Degraded(25),
    State::Overloaded,
    State::Draining,
    State::Stopping,
];

#[test]
fn a_serving_proxy_resets_an_administrative_drain() {
    for state in STATES {
        let line = agent::response_line(&status(state, 0));
        assert!(
            line.ends_with('\n') && line.matches('\n').count() == 1,
            "{line}"
        );
        let words = agent::parse_response(&line);
        if state.serves() {
            assert_eq!(words.administrative, Some(Administrative::Ready), "{line}");
            assert_eq!(words.operational, Some(Operational::Up));
            assert!(state == State::Ready || words.weight >= Some(1), "{line}");
            assert_eq!(words.maxconn, Some(40));
        } else {
            assert_ne!(words.administrative, Some(Administrative::Ready));
            assert_eq!(
                words.operational, None,
                "a drain must not set the operational state, since open connections continue"
            );
        }
    }
    let mut status = status(State::Ready, 75);
    status.reason = "two\nlines # and a sign".into();
    assert_eq!(
        agent::response_line(&status),
        "ready up 75% maxconn:40 # two lines   and a sign\n"
    );
}

#[test]
fn agent_responses_are_parsed_as_by_balancers() {
    let words = agent::parse_response("drain, up\t50% maxconn:9 frobnicate # down\nstopped");
    assert_eq!(
        (words.administrative, words.operational),
        (Some(Administrative::Drain), Some(Operational::Up))
    );
    assert_eq!((words.weight, words.maxconn), (Some(50), Some(9)));
    for word in ["down", "fail", "failed", "stopped", "DOWN"] {
        assert_eq!(
            agent::parse_response(word).operational,
            Some(Operational::Down)
        );
    }
    assert_eq!(agent::parse_request(b"group 3\n"), Some(Scope::Group(3)));
    assert_eq!(agent::parse_request(b"srv1\r\n"), Some(Scope::Proxy));
    assert_eq!(agent::parse_request(b"grou"), None);
}

fn parse_check(text: &str) -> http::Check {
    let (check, used) = http::parse(text.as_bytes()).unwrap().unwrap();
    assert_eq!(used, text.len());
    check
}

fn code(text: &str, state: State, statuses: Statuses) -> u16 {
    let response = String::from_utf8(http::response(
        &parse_check(text),
        &status(state, 50),
        statuses,
    ))
    .unwrap();
    response.split(' ').nth(1).unwrap().parse().unwrap()
}

#[test]
fn http_statuses_follow_state_and_mapping() {
    const READY: &str = "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n";
    for (state, plain, drain, overload) in [
        (State::Starting, 503, 503, 503),
        (State::Ready, 200, 200, 200),
        (State::Degraded(25), 200, 200, 200),
        (State::Overloaded, 200, 200, 429),
        (State::Draining, 503, 404, 503),
        (State::Stopping, 503, 404, 503),
    ] {
        assert_eq!(code(READY, state, Statuses::Plain), plain);
        assert_eq!(code(READY, state, Statuses::DrainIs404), drain);
        assert_eq!(code(READY, state, Statuses::OverloadIs429), overload);
        assert_eq!(
            code("GET /livez HTTP/1.1\r\n\r\n", state, Statuses::Plain),
            200
        );
        let started = if state == State::Starting { 503 } else { 200 };
        assert_eq!(
            code("GET /startupz HTTP/1.0\r\n\r\n", state, Statuses::Plain),
            started
        );
    }
    for (target, expected) in [
        ("/readyz/group/0", 200),
        ("/readyz/group/3", 503),
        ("/readyz/group/9", 200),
        ("/readyz/group/x", 404),
        ("/x", 404),
    ] {
        assert_eq!(
            code(
                &format!("HEAD {target} HTTP/1.1\r\n\r\n"),
                State::Ready,
                Statuses::Plain
            ),
            expected
        );
    }
    assert_eq!(
        code(
            "POST /readyz HTTP/1.1\r\n\r\n",
            State::Ready,
            Statuses::Plain
        ),
        405
    );
}

#[test]
fn headers_and_body_report_the_details() {
    let response = |text: &str, state| {
        String::from_utf8(http::response(
            &parse_check(text),
            &status(state, 50),
            Statuses::Plain,
        ))
        .unwrap()
    };
    let get = "GET /readyz?format=json HTTP/1.1\r\nendpoint-load-metrics-format: text\r\n\r\n";
    let degraded = response(get, State::Degraded(25));
    assert!(
        degraded.contains("x-envoy-degraded: true\r\n"),
        "{degraded}"
    );
    assert!(
        degraded.contains("endpoint-load-metrics: TEXT cpu_utilization=0.25,mem_utilization=0.5,"),
        "{degraded}"
    );
    let (head, body) = degraded.split_once("\r\n\r\n").unwrap();
    assert!(head.contains(&format!("Content-Length: {}", body.len())));
    let body: serde_json::Value = serde_json::from_str(body).unwrap();
    assert_eq!(
        (body["state"].as_str(), body["unserved_percent"].as_u64()),
        (Some("degraded"), Some(25))
    );
    let draining = response("GET /readyz HTTP/1.1\r\n\r\n", State::Draining);
    assert!(
        draining.contains("x-envoy-immediate-health-check-fail: true\r\n")
            && draining.contains("Retry-After: 2\r\n")
    );
    let head = response("HEAD /readyz HTTP/1.1\r\n\r\n", State::Ready);
    assert!(
        head.ends_with("\r\n\r\n") && head.contains("Content-Length: 6\r\n"),
        "{head}"
    );
    for (text, keep_alive) in [
        ("GET / HTTP/1.1\r\n\r\n", true),
        ("GET / HTTP/1.1\r\nConnection: Close\r\n\r\n", false),
        ("GET / HTTP/1.0\r\n\r\n", false),
        ("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", true),
    ] {
        assert_eq!(parse_check(text).keep_alive, keep_alive, "{text}");
    }
}

#[test]
fn the_server_state_header_is_parsed() {
    let check = parse_check("GET / HTTP/1.1\r\nX-Haproxy-Server-State: UP 2/3; name=bck/srv2; node=lb1; weight=1/2; scur=13/22; qcur=0\r\n\r\n");
    let state = check.server_state.unwrap();
    assert_eq!(
        (state.state.as_str(), state.node.as_deref()),
        ("UP 2/3", Some("lb1"))
    );
    assert_eq!(
        (state.weight, state.sessions, state.queued),
        (Some((1, 2)), Some((13, 22)), Some(0))
    );
    assert_eq!(http::server_state(";;"), None);
}

#[test]
fn invalid_checks_are_rejected() {
    assert_eq!(http::parse(b"\x16\x03\x01\x00"), Err(Fault::Malformed));
    assert_eq!(
        http::parse(b"GET / HTTP/1.1\r\nContent-Length: 9\r\n\r\n"),
        Err(Fault::Body)
    );
    let long = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(http::HEAD_LIMIT));
    assert_eq!(http::parse(long.as_bytes()), Err(Fault::TooLong));
    assert_eq!(http::parse(b"GET /livez HTT"), Ok(None));
}

/// The message as defined in `orca_load_report.proto`.
#[derive(Clone, PartialEq, prost::Message)]
struct OrcaLoadReport {
    #[prost(double, tag = "1")]
    cpu_utilization: f64,
    #[prost(double, tag = "2")]
    mem_utilization: f64,
    #[prost(map = "string, double", tag = "5")]
    utilization: HashMap<String, f64>,
    #[prost(double, tag = "6")]
    rps_fractional: f64,
    #[prost(double, tag = "7")]
    eps: f64,
    #[prost(double, tag = "9")]
    application_utilization: f64,
}

#[test]
fn the_binary_report_is_the_protobuf_message() {
    let load = Load {
        cpu: 0.25,
        errors_per_s: 2.5,
        application: 0.75,
        open: 0.5,
        ..Load::default()
    };
    let report = OrcaLoadReport::decode(orca::message(&load).as_slice()).unwrap();
    assert_eq!(
        (
            report.cpu_utilization,
            report.eps,
            report.application_utilization
        ),
        (0.25, 2.5, 0.75)
    );
    assert_eq!((report.mem_utilization, report.rps_fractional), (0.0, 0.0));
    assert_eq!(report.utilization["open_requests"], 0.5);
    let (name, value) = orca::header(&load, Format::Json);
    assert_eq!(name, "endpoint-load-metrics");
    let json: serde_json::Value =
        serde_json::from_str(value.strip_prefix("JSON ").unwrap()).unwrap();
    assert_eq!(json["utilization"]["open_requests"], 0.5);
    assert_eq!(
        orca::header(&load, Format::Binary).0,
        "endpoint-load-metrics-bin"
    );
}

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

#[test]
fn proxy_headers_of_both_versions_name_the_client() {
    let v1 = b"PROXY TCP4 192.0.2.7 198.51.100.1 56324 443\r\nrest";
    assert_eq!(
        proxy::parse(v1),
        Ok(Some((
            Source::Client(address("192.0.2.7:56324")),
            v1.len() - 4
        )))
    );
    let v6 = b"PROXY TCP6 2001:db8::7 2001:db8::1 1 2\r\n";
    assert_eq!(
        proxy::parse(v6),
        Ok(Some((Source::Client(address("[2001:db8::7]:1")), v6.len())))
    );
    assert_eq!(
        proxy::parse(b"PROXY UNKNOWN whatever\r\n"),
        Ok(Some((Source::Local, 24)))
    );
    for (from, to) in [
        ("192.0.2.7:1", "198.51.100.1:2"),
        ("[2001:db8::7]:1", "[2001:db8::1]:2"),
    ] {
        let header = proxy::header(address(from), address(to), 1);
        assert_eq!(
            proxy::parse(&header),
            Ok(Some((Source::Client(address(from)), header.len())))
        );
        let local = proxy::header(address(from), address(to), 0);
        assert_eq!(proxy::parse(&local), Ok(Some((Source::Local, local.len()))));
        // Prefixes of the header are incomplete, and any changed byte of the body is detected.
        for cut in 0..header.len() {
            assert_eq!(proxy::parse(&header[..cut]), Ok(None), "{cut}");
        }
        for at in 16..header.len() - 7 {
            let mut bad = header.clone();
            bad[at] ^= 1;
            assert!(proxy::parse(&bad).is_err(), "byte {at}");
        }
    }
}

#[test]
fn invalid_proxy_headers_are_rejected() {
    use proxy::Fault;
    assert_eq!(proxy::parse(b"GET / HTTP/1.1"), Err(Fault::Missing));
    for bad in [
        "PROXY TCP4 192.0.2.7 198.51.100.1 56324\r\n",
        "PROXY TCP4 2001:db8::7 198.51.100.1 1 2\r\n",
        "PROXY TCP4 192.0.2.7 198.51.100.1 65536 2\r\n",
        "PROXY TCP4 192.0.2.7 198.51.100.1 1 2 3\r\n",
        "PROXY TCP4 192.0.2.7 198.51.100.1 -1 2\r\n",
        "PROXY TCP5 192.0.2.7 198.51.100.1 1 2\r\n",
    ] {
        assert_eq!(proxy::parse(bad.as_bytes()), Err(Fault::Malformed), "{bad}");
    }
    assert_eq!(
        proxy::parse(&[b"PROXY TCP4 ".as_slice(), &[b'1'; 120]].concat()),
        Err(Fault::TooLong)
    );
    let mut long = proxy::header(address("192.0.2.7:1"), address("192.0.2.8:1"), 1);
    long[14] = 0xff;
    assert_eq!(proxy::parse(&long), Err(Fault::TooLong));
    let mut version = proxy::header(address("192.0.2.7:1"), address("192.0.2.8:1"), 1);
    version[12] = 0x31;
    assert_eq!(proxy::parse(&version), Err(Fault::Malformed));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_make_a_codec_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300), head in 0..4_usize) {
        let start: &[u8] = [b"".as_slice(), b"PROXY TCP4 ", b"\r\n\r\n\0\r\nQUIT\n\x21\x11\0\x20", b"GET /readyz HTTP/1.1\r\n"][head];
        let input = [start, &bytes].concat();
        _ = proxy::parse(&input);
        _ = agent::parse_request(&input);
        _ = agent::parse_response(&String::from_utf8_lossy(&input));
        if let Ok(Some((check, used))) = http::parse(&input) {
            prop_assert!(used <= input.len());
            _ = http::response(&check, &status(State::Ready, 50), Statuses::Plain);
        }
    }
}
