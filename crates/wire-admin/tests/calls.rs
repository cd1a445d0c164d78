//! Complete, incomplete and invalid calls of operators' tools.

use wire_admin::{parse, Call, Metrics, Status, BODY_LIMIT, HEAD_LIMIT};

fn post(path: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn status(call: &str) -> Status {
    parse(call.as_bytes()).expect_err(call).status
}

#[test]
fn a_call_is_incomplete_until_its_last_byte() {
    for (text, call) in [
        (
            "GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n".to_owned(),
            Call::Ready,
        ),
        (
            "GET /api/telemetry HTTP/1.1\r\n\r\n".to_owned(),
            Call::Telemetry,
        ),
        (
            post("/api/exclude", r#"{"target":"s-1"}"#),
            Call::Exclude("s-1".into()),
        ),
        (
            post("/api/include", r#"{ "target" : "s-1", "why": "disk" }"#),
            Call::Include("s-1".into()),
        ),
    ] {
        for cut in 0..text.len() {
            assert_eq!(
                parse(&text.as_bytes()[..cut]),
                Ok(None),
                "{cut} bytes of {text}"
            );
        }
        assert_eq!(parse(text.as_bytes()), Ok(Some(call.clone())));
        assert_eq!(
            parse(format!("{text}\r\n").as_bytes()),
            Ok(Some(call)),
            "a line break after the call"
        );
        assert_eq!(
            status(&format!("{text}GET /api/ready HTTP/1.1\r\n\r\n")),
            Status::BadRequest
        );
    }
}

#[test]
fn invalid_calls_get_one_plain_line() {
    let long = format!("GET /api/ready HTTP/1.1\r\nX: {}", "x".repeat(HEAD_LIMIT));
    let cases = [
        (status("GET /metrics HTTP/1.1\r\n\r\n"), Status::NotFound),
        (
            status("POST /api/ready HTTP/1.1\r\n\r\n"),
            Status::MethodNotAllowed,
        ),
        (
            status("GET /api/exclude HTTP/1.1\r\n\r\n"),
            Status::MethodNotAllowed,
        ),
        (status("hello\r\n\r\n"), Status::BadRequest),
        (
            status("POST /api/exclude HTTP/1.1\r\n\r\n"),
            Status::LengthRequired,
        ),
        (
            status("POST /api/exclude HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"),
            Status::LengthRequired,
        ),
        (
            status("POST /api/exclude HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
            Status::BadRequest,
        ),
        (
            status(
                "POST /api/exclude HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
            ),
            Status::BadRequest,
        ),
        (
            status(&format!(
                "POST /api/exclude HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
                BODY_LIMIT + 1
            )),
            Status::ContentTooLarge,
        ),
        (status(&post("/api/exclude", "{}")), Status::BadRequest),
        (
            status(&post("/api/exclude", r#"{"target":7}"#)),
            Status::BadRequest,
        ),
        (
            status(&post("/api/exclude", r#"{"target":""}"#)),
            Status::BadRequest,
        ),
        (
            status(&post("/api/exclude", r#"{"target":"s-1""#)),
            Status::BadRequest,
        ),
        (status(&long), Status::HeadTooLarge),
    ];
    for (at, (actual, expected)) in cases.iter().enumerate() {
        assert_eq!(actual, expected, "case {at}");
    }
    let error = parse(post("/api/exclude", "{}").as_bytes()).unwrap_err();
    assert_eq!(error.text.lines().count(), 1, "{}", error.text);
    let bytes = String::from_utf8(error.bytes()).unwrap();
    assert!(
        bytes.starts_with("HTTP/1.1 400 ") && bytes.ends_with(&format!("\r\n\r\n{}", error.text)),
        "{bytes}"
    );
    assert!(
        bytes.contains(&format!("Content-Length: {}\r\n", error.text.len())),
        "{bytes}"
    );
}

#[test]
fn metrics_as_text() {
    let mut metrics = Metrics::default();
    metrics.add("lb_in_flight", "Requests.", 14);
    let labels = vec![("class", "a\"b"), ("outcome", "served")];
    metrics.add_labelled("lb_requests_total", "By class.", [(labels, 812)]);
    let text = metrics.answer().text;
    assert!(text.contains("\nlb_in_flight 14\n"), "{text}");
    assert!(
        text.contains("# TYPE lb_requests_total counter\n"),
        "{text}"
    );
    assert!(
        text.ends_with("\nlb_requests_total{class=\"a\\\"b\",outcome=\"served\"} 812\n"),
        "{text}"
    );
}
