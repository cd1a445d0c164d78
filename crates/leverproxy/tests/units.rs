//! What needs no socket: codecs fed byte by byte, keys that go stale, and the configuration's messages.

mod common;
use common::PATIENCE;
use leverproxy::config;
use leverproxy::discovery::directory::{Change, Directory};
use leverproxy::discovery::wire::Listing;
use leverproxy::event_loop::reactor::Slots;
use leverproxy::observability::log_rate_limit::LogRateLimit;
use leverproxy::observability::logging::{self, NonBlockingWriter};
use leverproxy::pipeline::admit::OpenRequests;
use leverproxy::pipeline::record;
use leverproxy::protocol::http::{Fault, Part, Reader};
use leverproxy::protocol::postgres::client::AnswerReader;
use leverproxy::protocol::postgres::statement::{self, Query};
use leverproxy::request::{Command, Done, Purpose, Question, ResponseSlot, Verdict};
use platform_settings::Names;
use routing::{
    Arrival, ClassId, EndpointState, EndpointUpdate, Event, GroupId, LoadReport, QuotaStatus,
    RequestId, ResponseMetadata, ServerId, TenantId, Time,
};
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn a_key_does_not_reach_what_took_its_place() {
    let mut slots = Slots::default();
    let old = slots.insert("old");
    assert_eq!(slots.remove(old), Some("old"));
    let new = slots.insert("new");
    assert_eq!(slots.remove(old), None);
    assert_eq!((slots.get(old), slots.get(new)), (None, Some(&"new")));
    assert_eq!((slots.len(), slots.keys()), (1, vec![new]));
}

/// The parts of a body that comes in pieces of so many bytes.
fn parts_of(stream: &[u8], piece: usize) -> Result<(Vec<Part>, bool), Fault> {
    let (mut reader, mut parts, mut kept) = (Reader::default(), vec![], vec![]);
    for bytes in stream.chunks(piece) {
        kept.extend_from_slice(bytes);
        let used = reader.take(&kept, &mut parts)?;
        kept.drain(..used);
    }
    Ok((parts, reader.done()))
}

/// An object may be cut anywhere, indented, and one of several; white space between objects is a sign of life.
#[test]
fn a_stream_of_objects_may_be_cut_anywhere() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let indented = "{\n  \"a\": \"}\\\"{\",\n\n  \"b\": [ {} ]\n}";
    let chunk = |text: &str| format!("{:x};x=1\r\n{text}\r\n", text.len());
    let (first, rest) = indented.split_at(9);
    let said = [
        chunk(first),
        chunk(rest),
        chunk("\n"),
        chunk("{}{\"c\":1}\n"),
        chunk("\r\n"),
    ]
    .concat();
    let stream = format!("{head}{said}0\r\n\r\n");
    for piece in [1, 2, 3, 7, stream.len()] {
        let (parts, done) = parts_of(stream.as_bytes(), piece).unwrap();
        let objects: Vec<_> = parts
            .iter()
            .filter(|part| **part != Part::Alive)
            .cloned()
            .collect();
        assert_eq!(
            objects,
            [indented, "{}", "{\"c\":1}"].map(|text| Part::Object(text.to_owned())),
            "{piece}"
        );
        // Of white space inside the object nothing is heard, of that after it something.
        assert_eq!(parts.first(), objects.first());
        assert_eq!(parts.last(), Some(&Part::Alive));
        assert!(done);
    }
    let plain = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    assert_eq!(
        parts_of(plain.as_bytes(), 5).unwrap(),
        (vec![Part::Object("{}".into())], true)
    );
    let fault = |text: &str| parts_of(format!("{head}{text}").as_bytes(), usize::MAX).unwrap_err();
    assert!(matches!(fault(&chunk("{} <html>")), Fault::NotJson(_)));
    assert_eq!(fault("2\r\n{}\n"), Fault::Chunk);
    assert_eq!(fault("zz\r\n"), Fault::Chunk);
    assert_eq!(fault("1\r\n{\r\n0\r\n"), Fault::Cut);
    let broken = [
        ("HTTP/1.1 503 Busy\r\n\r\n".to_owned(), Fault::Status(503)),
        (
            "SSH-2.0\r\n\r\n".to_owned(),
            Fault::NotHttp(httparse::Error::Version),
        ),
        (
            format!("HTTP/1.1 200 OK\r\nA: {}", "x".repeat(17 << 10)),
            Fault::HeadTooLong,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n".into(),
            Fault::Encoding("gzip".into()),
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n".into(),
            Fault::Length("-1".into()),
        ),
    ];
    for (text, fault) in broken {
        assert_eq!(
            parts_of(text.as_bytes(), usize::MAX),
            Err(fault),
            "{text:.40}"
        );
    }
}

/// A list of megabytes in small pieces is read in good time, and one without end is not kept.
#[test]
fn a_large_list_in_small_pieces_is_read_once_or_given_up() {
    let entry = r#"{"name":"s-1","group":1,"status":"Ready"},"#;
    let list = format!("{{\"endpoints\":[{}{{}}]}}", entry.repeat(50_000));
    let stream = format!("HTTP/1.1 200 OK\r\n\r\n{list}");
    let (parts, _) = parts_of(stream.as_bytes(), 1_400).unwrap();
    assert_eq!(parts, [Part::Object(list)]);
    let endless = format!("HTTP/1.1 200 OK\r\n\r\n[{}", entry.repeat(120_000));
    assert_eq!(parts_of(endless.as_bytes(), 64 << 10), Err(Fault::TooLong));
}

/// A word for the status that is not known must not break the watch, nor bring anything new to that server.
#[test]
fn an_unknown_status_counts_as_draining() {
    let json = br#"{"index":2,"snapshot":true,"endpoints":[
        {"name":"s-1","address":"127.0.0.1:1","group":3,"status":"Resting"}, {"name":"s-2","status":"Gone"}]}"#;
    let (news, changes) =
        Directory::default().learn(Listing::parse(json).unwrap(), &Names::default());
    let EndpointUpdate::Snapshot(entries) = news else {
        panic!("{news:?}")
    };
    assert_eq!(
        entries.iter().map(|e| e.state).collect::<Vec<_>>(),
        [EndpointState::Draining]
    );
    assert_eq!(changes, [Change::Leaves(entries[0].server)]);
    assert!(Listing::parse(br#"{"endpoints":[{"name":7}]}"#).is_err());
}

/// Whatever is not one row of one value, in order, is known for spoilt before its end is waited for.
#[test]
fn only_a_sound_answer_is_taken() {
    let good = common::answer(
        "doc",
        &[("role", "replica"), ("load", "=?"), ("applied_ms", "soon")],
    );
    let mut reader = AnswerReader::default();
    for cut in 0..good.len() {
        assert!(
            !AnswerReader::default().take(&good[..cut]).unwrap().1,
            "{cut}"
        );
    }
    assert_eq!(reader.take(&good).unwrap(), (good.len(), true));
    let question = Question::Command(Arc::new(Command {
        before_wait: vec![],
        after_wait: vec![],
    }));
    let (verdict, metadata) = reader.verdict(&question);
    assert!(matches!(verdict, Verdict::Served(bytes) if good.starts_with(&bytes)));
    assert_eq!(
        metadata,
        ResponseMetadata {
            primary: Some(false),
            position: None
        }
    );
    let at = |tag: &[u8]| good.windows(2).position(|w| w == [tag[0], 0]).unwrap();
    let (row, done) = (at(b"D"), at(b"C"));
    let (head, rest) = good.split_at(row);
    let changed = |place: usize, byte: u8| {
        let mut bytes = good.clone();
        bytes[place] = byte;
        bytes
    };
    let huge = [
        head,
        &[b'D', 0xb2, 0xd0, 0x5e, 0, 0, 1, 0xb2, 0xd0, 0x5d, 0xf6],
    ]
    .concat();
    let fits_not = [head, &rest[..10], &[9]].concat();
    let twice = [&good[..done], &rest[..done - row], &good[done..]].concat();
    let spoilt = [
        b"HTTP/1.1 400 Bad Request".to_vec(),
        good[row..].to_vec(),
        [head, &good[done..]].concat(),
        changed(6, 2),
        changed(row + 6, 2),
        changed(done + 4, 200),
        changed(good.len() - 1, b'?'),
        huge,
        fits_not,
        twice,
        vec![b'Z', 0, 0, 0, 5, b'I'],
        vec![b'E', 0, 0, 0, 6, b'S', 0],
    ];
    for (no, bytes) in spoilt.iter().enumerate() {
        assert!(AnswerReader::default().take(bytes).is_err(), "number {no}");
    }
}

/// A report that can't be read, or can't be true, is none, and its server is not taken for dead.
#[test]
fn an_absurd_report_is_none() {
    let now = Time(Duration::from_secs(1_800_000_000));
    let probed = |text: &str| {
        let mut reader = AnswerReader::default();
        reader.take(&common::answer(text, &[])).unwrap();
        let (verdict, metadata) = reader.verdict(&Question::Load);
        let (purpose, elapsed, server) = (Purpose::Probe, PATIENCE, ServerId(1));
        match record::book(
            &Done {
                purpose,
                class: None,
                group: None,
                server,
                verdict,
                elapsed,
                metadata,
            },
            true,
            now,
        ) {
            Event::ProbeEnded {
                ok: true, report, ..
            } => report,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(probed("x0=1799999999.5,x1=1,backlog=3").queued, Some(3.0));
    for bad in [
        "",
        "%&/",
        "x0=NaN,x1=1",
        "x0=1e300,x1=1",
        "x0=1799999999.5,x1=1,backlog=-7",
        "x0=,x1",
    ] {
        assert_eq!(probed(bad), LoadReport::default(), "{bad:?}");
    }
}

#[test]
fn a_comment_inside_a_value_is_data() {
    let text = "INSERT INTO items (id, doc) VALUES ('it''s', '/* c=x */') /* id=1, c=book,d=480,cluster=2,r=1,after=1500 */";
    let Ok(Query::Request(request)) = statement::parse(text, Instant::now()) else {
        panic!("{text}")
    };
    assert_eq!(
        (request.class.as_str(), request.group, request.repeated),
        ("book", 2, true)
    );
    assert_eq!(
        (request.wait, request.after),
        (
            Duration::from_millis(480),
            Some(Duration::from_millis(1500))
        )
    );
    let rest = [
        &request.command.before_wait[..],
        b"480",
        &request.command.after_wait,
    ]
    .concat();
    assert_eq!(rest, text.as_bytes());
}

fn arrival(no: u64) -> Arrival {
    Arrival {
        id: RequestId(no),
        class: ClassId(0),
        tenant: TenantId(0),
        group: GroupId(2),
        session: None,
        time_left: Duration::from_millis(480),
        session_position: None,
        is_client_retry: false,
        quota_status: QuotaStatus::WithinQuota,
        attempt_limit: None,
        shed_fraction: 0.0,
    }
}

/// On a long day every name is new: what is kept of them must not grow.
#[test]
fn names_of_requests_are_forgotten() {
    let (mut ledger, start) = (OpenRequests::new(0), Instant::now());
    for no in 0..10_000 {
        let now = start + Duration::from_millis(10 * no);
        let text = format!("SELECT 1 /* id={no},c=any,d=480,cluster=2 */");
        let Ok(Query::Request(request)) = statement::parse(&text, now) else {
            panic!("{text}")
        };
        let ticket = ResponseSlot {
            client: Slots::default().insert(()),
            number: no,
        };
        assert!(ledger.bars(&request).is_none());
        ledger.admit(&arrival(no), ticket, ClassId(0), None, request);
        assert!(ledger.close(RequestId(no), now).is_some());
    }
    assert!(
        ledger.is_empty() && ledger.names() <= 500,
        "{} names are kept",
        ledger.names()
    );
}

/// On a long day servers are replaced under new names all the time: what is kept of them must not grow.
#[test]
fn names_of_servers_are_forgotten() {
    let mut directory = Directory::default();
    for no in 0..5_000 {
        let json = format!(
            r#"{{"index":{no},"endpoints":[{{"name":"s-{no}","address":"127.0.0.1:1","group":3,"status":"Ready"}},
                {{"name":"s-{}","status":"Gone"}}]}}"#,
            no - 1
        );
        directory.learn(Listing::parse(json.as_bytes()).unwrap(), &Names::default());
    }
    assert!(
        directory.names() <= 1_002,
        "{} names are kept",
        directory.names()
    );
}

/// A reader of the log that has stopped reading must not stop the one thread.
#[test]
fn a_log_that_nobody_reads_is_dropped() {
    let (near, mut far) = UnixStream::pair().unwrap();
    NonBlockingWriter(near).write_all(&[b'x'; 4 << 20]).unwrap();
    let mut kept = Vec::new();
    far.read_to_end(&mut kept).unwrap();
    assert!((1..4 << 20).contains(&kept.len()));
}

/// One record, one line, in both forms; key-values keep their types in JSON.
#[test]
fn log_lines_carry_their_key_values() {
    let pairs = [
        ("routes", log::kv::Value::from(3)),
        ("why", log::kv::Value::from("a b")),
    ];
    let record = |message, use_it: &dyn Fn(&log::Record<'_>) -> String| {
        use_it(
            &log::Record::builder()
                .level(log::Level::Warn)
                .target("here")
                .args(message)
                .key_values(&pairs)
                .build(),
        )
    };
    let text = record(format_args!("one\ntwo"), &|r| logging::text("now", r));
    assert_eq!(text, "[now WARN  here] one\\ntwo routes=3 why=\"a b\"\n");
    let json = record(format_args!("one\ntwo"), &|r| logging::json("now", r));
    assert!(
        json.ends_with("}\n") && json.matches('\n').count() == 1,
        "{json}"
    );
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    let expected = serde_json::json!({"time":"now","level":"WARN","target":"here","message":"one\ntwo","routes":3,"why":"a b"});
    assert_eq!(json, expected);
}

/// What bad peers can bring about at will is a line a second at most, which tells how many it stands for.
#[test]
fn the_log_does_not_grow_with_a_flood() {
    let (mut seldom, start) = (LogRateLimit::default(), Instant::now());
    let at = |millis: u64| start + Duration::from_millis(millis);
    let lines: Vec<String> = (0..1500)
        .filter_map(|ms| seldom.line(at(ms), || "bad".into()))
        .collect();
    assert_eq!(lines, ["bad", "bad (999 more like it since the last)"]);
}

#[test]
fn a_faulty_key_is_named() {
    let with = |settings: &str, more: &str| {
        let text = format!(
            r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1"{more},"settings":{settings}}}"#
        );
        config::parse(text.as_bytes(), |_| None)
            .err()
            .map(|e| e.key)
    };
    let good = r#"{"Classes":[{"Name":"any","Deadline":1000}],"NeverHeardOf":1}"#;
    assert_eq!(with(good, ""), None);
    assert_eq!(
        with(good, r#","limits":{"sockets":"many"}"#).as_deref(),
        Some("limits.sockets")
    );
    assert_eq!(
        with(good, r#","limits":{"sockets":8}"#).as_deref(),
        Some("limits.sockets")
    );
    assert_eq!(with(good, r#","seed":"xyz""#).as_deref(), Some("seed"));
    assert_eq!(with("{}", "").as_deref(), Some("settings.Classes"));
    let no_deadline = r#"{"Classes":[{"Name":"any"}]}"#;
    assert_eq!(
        with(no_deadline, "").as_deref(),
        Some("settings.Classes[0].Deadline")
    );
    let text = r#"{"Classes":[{"Name":"any","Deadline":"soon"}]}"#;
    assert_eq!(
        with(text, "").as_deref(),
        Some("settings.Classes[0].Deadline")
    );
}

#[test]
fn the_program_ends_with_2_on_bad_configuration() {
    let serve = |arguments: &[&str]| {
        let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_leverproxy"));
        program
            .args(arguments)
            .env_remove("LB_CONFIG")
            .output()
            .unwrap()
    };
    let ended = serve(&["serve"]);
    assert_eq!(ended.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&ended.stderr).contains("LB_CONFIG"));
    assert_eq!(serve(&["no-such-command"]).status.code(), Some(2));
    assert!(serve(&["version"]).status.success());
}
