//! Settings of the platform's file in a program of its own: reload at SIGHUP, and faults at the start.

mod common;
use common::{
    get, read_statement, wait_for_metric, Listener, Peer, Program, Reply, TempFile, SETTINGS,
};

fn rejected(client: &mut Peer, id: u32, class: &str) {
    client.ask(&read_statement(id, class, 19000));
    assert_eq!(client.reply().code.as_deref(), Some("42601"), "{class}");
}

#[test]
fn classes_come_and_go_while_requests_are_under_way() {
    let server = Listener::new();
    let mut program = Program::start("export LB_ADMIN=127.0.0.1:0;");
    let admin = program
        .wait_for_log_line("answering calls on ")
        .rsplit(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    program
        .watch
        .send_list(1, &[server.endpoint_entry("s-1", "Ready")]);
    wait_for_metric(admin, "lb_record_servers_known 1");
    let mut client = Peer::client(program.address);
    rejected(&mut client, 1, "any-v2");
    let mut under_way = Peer::client(program.address);
    under_way.ask(&read_statement(2, "any", 19000));
    let mut upstream = server.accept_session();
    upstream.query();
    // Renames a class and lowers the limit of attempts to one.
    let renamed = SETTINGS
        .replace(r#""Name": "any""#, r#""Name": "any-v2""#)
        .replace(r#""TryLimit": 8"#, r#""TryLimit": 1"#);
    program.reload_text(&format!(r#"{{"settings":{renamed}}}"#));
    wait_for_metric(admin, "lb_reloads_ok_total 1");
    rejected(&mut client, 3, "any");
    upstream.answer("kept", &[]);
    assert_eq!(under_way.reply().value.as_deref(), Some("kept"));
    client.ask(&read_statement(4, "any-v2", 19000));
    upstream.query();
    upstream.answer("new", &[]);
    assert_eq!(
        client.reply(),
        Reply {
            value: Some("new".into()),
            ..Reply::default()
        }
    );
    // With a limit of one attempt, a failed attempt is not retried.
    client.ask(&read_statement(5, "any-v2", 19000));
    upstream.query();
    upstream.error("XX000");
    assert!(client.reply().code.is_some());
    let text = get(admin, "/api/telemetry").1;
    for line in [
        // The old name counts one served request; the later one with that name counts for no class.
        r#"lb_requests_total{class="any",outcome="served"} 1"#,
        r#"lb_requests_total{class="any-v2",outcome="served"} 1"#,
        "lb_attempts_total 3",
        "lb_reloads_failed_total 0",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} in {text}");
    }
}

/// A file with a fault is not applied, not even in part, and the log names the key.
#[test]
fn a_broken_file_changes_nothing() {
    let mut program = Program::start("export LB_ADMIN=127.0.0.1:0;");
    let admin = program
        .wait_for_log_line("answering calls on ")
        .rsplit(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    let whole =
        format!(r#"{{"settings":{SETTINGS}}}"#).replace(r#""Name": "any""#, r#""Name": "any-v2""#);
    let cases = [
        (String::new(), "EOF"),
        (whole[..whole.len() / 2].to_owned(), "EOF"),
        (
            whole.replacen(r#""Deadline": 20000000, "#, "", 1),
            "settings.Classes[0].Deadline",
        ),
        (
            whole.replacen("20000000", "0", 1),
            "settings.Classes[0].Deadline",
        ),
        (
            whole.replacen("20000000", "-5", 1),
            "settings.Classes[0].Deadline",
        ),
        (
            whole.replacen("20000000", "\"soon\"", 1),
            "settings.Classes[0].Deadline",
        ),
        (
            whole.replace(r#""TryLimit": 8"#, r#""TryLimit": 0"#),
            "settings.PolicyLimits.TryLimit",
        ),
        (
            whole.replace(r#", "TryLimit": 8"#, ""),
            "settings.PolicyLimits.TryLimit",
        ),
        (
            whole.replace(r#""TryLimit": 8"#, r#""TryLimit": -1"#),
            "settings.PolicyLimits.TryLimit",
        ),
        (
            whole.replace(r#""RegistryMode": "on_request","#, ""),
            "settings.RegistryMode",
        ),
        ("{}".to_owned(), "settings"),
    ];
    let mut client = Peer::client(program.address);
    for (at, (text, key)) in (1..).zip(&cases) {
        program.reload_text(text);
        wait_for_metric(admin, &format!("lb_reloads_failed_total {at}"));
        let line = program.wait_for_log_line("stays as it was");
        assert!(line.contains(key), "{line}");
        rejected(&mut client, at, "any-v2");
    }
    program.reload_text(&whole);
    wait_for_metric(admin, "lb_reloads_ok_total 1");
    rejected(&mut client, 100, "any");
}

/// An admin address that is in use or invalid is a configuration error that names its key.
#[test]
fn a_second_address_that_is_taken_or_none_is_named() {
    let taken = Listener::new();
    for address in [taken.address.to_string(), "nowhere".into()] {
        let file = common::TempFile::new(&format!(r#"{{"settings":{SETTINGS}}}"#));
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_leverproxy"))
            .arg("serve")
            .env("LB_CONFIG", &file.0)
            .env("LB_LISTEN", "127.0.0.1:0")
            .env("LB_DISCOVERY", taken.address.to_string())
            .env("LB_ADMIN", &address)
            .output()
            .unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert!(stderr.contains("admin"), "{stderr}");
    }
}

/// A fault in either file ends the start with exit code 2 and a message that names file, line and key.
#[test]
fn a_faulty_file_at_the_start_is_named_with_line_and_key() {
    let valid = format!(r#"{{"settings":{SETTINGS}}}"#);
    let cut = &valid[..valid.len() / 2];
    let no_time = valid.replacen("20000000", "0", 1);
    let missing = valid.replacen(r#""Name": "any", "#, "", 1);
    for (platform, operators, words) in [
        (cut, "", ["PLATFORM", "EOF", "line"]),
        (
            &no_time,
            "",
            ["PLATFORM:2", "settings.Classes[0].Deadline", "zero"],
        ),
        (
            &missing,
            "",
            ["PLATFORM:2", "settings.Classes[0].Name", "missing"],
        ),
        ("{}", "", ["PLATFORM", "settings", "missing"]),
        (
            &valid,
            "limits {\n\n client-patience 500\n}\n",
            ["OPERATORS:3:18", "client-patience", "no unit"],
        ),
        (
            &valid,
            "limits {\n clients-patience 5s\n}\n",
            ["OPERATORS:2:2", "clients-patience", "fault"],
        ),
    ] {
        let (file, operators_file) = (TempFile::new(platform), TempFile::new(operators));
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_leverproxy"))
            .arg("serve")
            .env("LB_CONFIG", &file.0)
            .env("LB_OPERATORS", &operators_file.0)
            .env("LB_LISTEN", "127.0.0.1:0")
            .env("LB_DISCOVERY", "127.0.0.1:1")
            .output()
            .unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        for word in words {
            let word = word
                .replace("PLATFORM", file.path())
                .replace("OPERATORS", operators_file.path());
            assert!(stderr.contains(&word), "{word} in {stderr}");
        }
    }
}
