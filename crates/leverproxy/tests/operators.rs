//! Operators' files: how routes, pools and classes treat requests, how a file is checked, shown and reloaded.

mod common;
use common::{read_statement, Listener, Peer, Program, TempFile, TestProxy};
use leverproxy::config;
use rustix::process::Signal;
use std::process::{Command, Output};
use std::time::Duration;

fn time_left(query: &str) -> u64 {
    let rest = query.split(",d=").nth(1).unwrap();
    rest.split(',').next().unwrap().parse().unwrap()
}

#[test]
fn a_route_rejects_with_the_time_to_retry_after() {
    let server = Listener::new();
    let test_proxy = TestProxy::with_operators_file(
        &[("s-1", &server)],
        "route inserts {\n class book\n network 127.0.0.0/8\n refuse 1500ms\n}\nroute others {\n network 10.0.0.0/8\n refuse\n}\n",
    );
    let mut client = Peer::client(test_proxy.address);
    client.ask(&read_statement(1, "book", 19000));
    let reply = client.reply();
    assert_eq!(
        (reply.code.as_deref(), reply.detail.as_deref()),
        (Some("53300"), Some("1500"))
    );
    // No route matches other classes: they are served, and the id of the rejected request may be used again.
    client.ask(&read_statement(1, "any", 19000));
    let mut upstream = server.accept_session();
    upstream.query();
    upstream.answer("fine", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("fine"));
}

#[test]
fn a_pool_bounds_its_requests_and_no_others() {
    let server = Listener::new();
    let test_proxy = TestProxy::with_operators_file(
        &[("s-1", &server)],
        "pool slow {\n requests 1\n come-back 700ms\n}\nroute slow {\n statement \"SELECT doc\"\n pool slow\n}\n",
    );
    let (mut first, mut second) = (
        Peer::client(test_proxy.address),
        Peer::client(test_proxy.address),
    );
    first.ask(&read_statement(1, "any", 19000));
    let mut upstream = server.accept_session();
    upstream.query();
    second.ask(&read_statement(2, "any", 19000));
    let reply = second.reply();
    assert_eq!(
        (reply.code.as_deref(), reply.detail.as_deref()),
        (Some("53300"), Some("700"))
    );
    // The pool has a free slot once the first request is answered.
    upstream.answer("one", &[]);
    assert_eq!(first.reply().value.as_deref(), Some("one"));
    second.ask(&read_statement(3, "any", 19000));
    upstream.query();
    upstream.answer("three", &[]);
    assert_eq!(second.reply().value.as_deref(), Some("three"));
}

/// A client that disconnects frees the slot that its request holds in a pool.
#[test]
fn a_client_that_leaves_frees_its_place_in_the_pool() {
    let server = Listener::new();
    let test_proxy = TestProxy::with_operators_file(
        &[("s-1", &server)],
        "pool p {\n requests 1\n}\nroute r {\n pool p\n}\n",
    );
    let mut client = Peer::client(test_proxy.address);
    client.ask(&read_statement(1, "any", 19000));
    let mut upstream = server.accept_session();
    upstream.query();
    client.close_and_wait();
    let mut other = Peer::client(test_proxy.address);
    other.ask(&read_statement(2, "any", 19000));
    upstream.answer("too late", &[]);
    let mut next = upstream;
    assert!(next.query().contains("id=0000000000000002"));
    next.answer("two", &[]);
    assert_eq!(other.reply().value.as_deref(), Some("two"));
}

#[test]
fn deadlines_are_capped_by_class_and_by_route() {
    let server = Listener::new();
    let test_proxy = TestProxy::with_operators_file(
        &[("s-1", &server)],
        "class any {\n deadline 9s\n}\nroute r {\n tenant acme\n group 3\n deadline 4s\n}\n",
    );
    let mut client = Peer::client(test_proxy.address);
    client.ask(&read_statement(1, "any", 19000));
    let mut upstream = server.accept_session();
    assert!(time_left(&upstream.query()) <= 4_000);
    upstream.answer("one", &[]);
    client.reply();
    let other_group = read_statement(2, "any", 19000).replace("cluster=3", "cluster=4");
    client.ask(&other_group);
    // The group does not exist, and the route does not match it: the decision module rejects the request.
    assert_eq!(client.reply().code.as_deref(), Some("53300"));
}

/// Accepts the first session at either server.
fn accept_first_session(one: &Listener, two: &Listener) -> Peer {
    loop {
        if let Some(mut peer) = one.try_accept().or_else(|| two.try_accept()) {
            peer.startup();
            return peer;
        }
        std::thread::yield_now();
    }
}

/// A request of an idempotent class that the operators limit to one attempt is not retried.
#[test]
fn a_class_with_one_attempt_is_not_retried() {
    let (one, two) = (Listener::new(), Listener::new());
    let test_proxy = TestProxy::with_operators_file(
        &[("s-1", &one), ("s-2", &two)],
        "class any {\n runs once\n}\n",
    );
    let mut client = Peer::client(test_proxy.address);
    client.ask(&read_statement(1, "any", 19000));
    let mut upstream = accept_first_session(&one, &two);
    upstream.query();
    drop(upstream);
    assert!(
        client.reply().code.is_some_and(|code| code != "53300"),
        "must fail rather than be rejected, since it may have run"
    );
    assert!(one.try_accept().is_none() && two.try_accept().is_none());
}

#[test]
fn a_route_limits_the_attempts() {
    let (one, two) = (Listener::new(), Listener::new());
    let test_proxy = TestProxy::with_operators_file(
        &[("s-1", &one), ("s-2", &two)],
        "route r {\n class any\n tries 1\n}\n",
    );
    let mut client = Peer::client(test_proxy.address);
    client.ask(&read_statement(1, "any", 19000));
    let mut upstream = accept_first_session(&one, &two);
    upstream.query();
    upstream.error("53300");
    assert!(client.reply().code.is_some());
    assert!(one.try_accept().is_none() && two.try_accept().is_none());
}

/// SIGHUP applies new routes at once. A faulty or half-written file changes nothing, and its faults are logged with their
/// lines.
#[test]
fn a_reload_is_all_or_nothing() {
    let mut program = Program::with_operators_file("", "");
    let mut client = Peer::client(program.address);
    let refused = |client: &mut Peer, id| {
        client.ask(&read_statement(id, "any", 300).replace("cluster=3", "cluster=9"));
        client.reply().detail
    };
    program.reload_operators_file("route all {\n refuse 1200ms\n}\n");
    program.wait_for_log_line("the configuration is reread");
    assert_eq!(refused(&mut client, 1).as_deref(), Some("1200"));
    program.reload_operators_file(
        "route all {\n refuse 1300\n}\nlimits {\n client-patience 500ms\n}\n",
    );
    let fault = program.wait_for_log_line("the time 1300 has no unit");
    assert!(fault.contains(".conf:2:9"), "{fault}");
    program.wait_for_log_line("stays as it was");
    assert_eq!(refused(&mut client, 2).as_deref(), Some("1200"));
    // Only half of the file is written.
    program.reload_operators_file("route all {\n refuse 1400ms\n}\nroute more {\n class a");
    program.wait_for_log_line("the section route is not closed");
    assert_eq!(refused(&mut client, 3).as_deref(), Some("1200"));
    program.reload_operators_file("route all {\n refuse 1400ms\n}\nlogging {\n form json\n}\n");
    let line = program.wait_for_log_line("the configuration is reread");
    let line: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(
        (line["routes"].as_u64(), line["level"].as_str()),
        (Some(1), Some("INFO"))
    );
    assert!(line["pause_us"].is_u64());
    assert_eq!(refused(&mut client, 4).as_deref(), Some("1400"));
}

/// SIGTERM in the middle of reloads stops the program, and a reload in the middle of the stop does not cancel it.
#[test]
fn reloads_and_stops_may_cross() {
    let mut program = Program::with_operators_file("", "route all {\n refuse 1s\n}\n");
    let mut routes = String::new();
    for n in 0..20_000 {
        routes.push_str(&format!(
            "route r{n} {{\n network 10.{}.{}.0/24\n tries 2\n}}\n",
            n / 250,
            n % 250
        ));
    }
    program.reload_operators_file(&routes);
    program.signal(Signal::TERM);
    program.wait_for_log_line("told to stop");
    program.reload_operators_file("limits {\n client-patience 300ms\n}\n");
    program.reload_operators_file("no such thing\n");
    assert!(program.child.wait().unwrap().success());
}

/// The log names the settings of a reload that take effect only at the next start.
#[test]
fn settings_that_need_a_restart_are_logged() {
    let mut program = Program::with_operators_file("", "");
    program.reload_operators_file("discovery {\n watch-silence 2s\n}\n");
    program.wait_for_log_line("watch-silence: a change of it takes effect at the next start");
}

fn parse(operators: &str) -> Result<config::Config, config::ConfigError> {
    let file = TempFile::new(operators);
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","limits":{{"sockets":600,"memory_mb":48}},"settings":{}}}"#,
        common::SETTINGS
    );
    config::parse(text.as_bytes(), |name| {
        (name == "LB_OPERATORS").then(|| file.path().to_owned())
    })
}

/// A directive that would exceed a limit of the platform is a fault, reported with its place in the file.
#[test]
fn operators_cannot_exceed_the_limits_of_the_platform() {
    for (operators, fault) in [
        (
            "limits {\n sockets 700\n}\n",
            "sockets is 700, but the platform allows at most 600",
        ),
        (
            "limits {\n memory 64MiB\n}\n",
            "memory is 64MiB, but the platform allows at most 48MiB",
        ),
        (
            "policy {\n tries 9\n}\n",
            "tries is 9, but the platform allows at most 8",
        ),
        ("policy {\n come-back-most 3s\n}\n", "come-back-most is 3s"),
        (
            "class any {\n deadline 30s\n}\n",
            "deadline is 30s, but its clients wait at most 20s",
        ),
        (
            "class anny {\n tries 2\n}\n",
            "the platform has no class anny",
        ),
        (
            "route r {\n tenant akme\n refuse\n}\n",
            "the platform has no tenant akme",
        ),
        (
            "route r {\n class book\n as-class any\n}\n",
            "requests of class book can't be treated as class any",
        ),
        (
            "route r {\n as-class any\n}\n",
            "requests of class book can't be treated as class any",
        ),
        (
            "class any {\n runs once\n}\nroute r {\n class any\n as-class book\n}\n",
            "can't be treated as class book",
        ),
    ] {
        let error = parse(operators).map(|_| ()).unwrap_err();
        assert_eq!(
            (error.key.as_str(), error.faults.len()),
            ("LB_OPERATORS", 1),
            "{operators}{error}"
        );
        assert!(error.faults[0].contains(fault), "{operators}{error}");
        assert!(error.faults[0].contains(".conf:"), "{error}");
    }
    let config =
        parse("policy {\n tries 2\n second-copies no\n}\nlimits {\n sockets 300\n}\n").unwrap();
    assert_eq!(
        (
            config.platform.settings.attempt_limit,
            config.platform.settings.may_hedge
        ),
        (2, false)
    );
    assert_eq!(config.limits.clients + config.limits.upstream, 300 - 32);
}

/// A member needs its own name in the roster and readable keys. Without a roster, a proxy needs neither.
#[test]
fn a_member_has_its_name_in_the_roster_and_its_keys() {
    let [first, second] = ["ab", "cd"].map(|two| two.repeat(32));
    let keys = TempFile::new(&format!("{first}\n{second} # the former\n"));
    let roster = |name: &str, path: &str| {
        format!(
            "members {{\n version 3\n listen 127.0.0.1:0\n key-file {path}\n}}\n\
             member {name} {{\n address 127.0.0.1:7946\n region thamel\n}}\n"
        )
    };
    let config = parse(&roster("leverproxy", keys.path())).unwrap();
    let shown = format!("{config:?}");
    assert!(!shown.contains(&first) && !shown.contains(&second));
    let members = config.members.unwrap();
    assert_eq!(
        (members.version, members.period, members.suspicion.as_secs()),
        (3, Duration::from_millis(200), 1)
    );
    assert_eq!(
        (
            members.roster[0].name.as_str(),
            members.roster[0].region.as_str()
        ),
        ("leverproxy", "thamel")
    );
    assert_eq!(config.member_keys.unwrap().ids().len(), 2);
    let faulty = TempFile::new(&format!("# ours\n{}\n", &first[1..]));
    for (operators, key, problem) in [
        (
            roster("leverprxy", keys.path()),
            "members",
            "did you mean leverprxy?",
        ),
        (
            roster("leverproxy", "/nowhere/members.key"),
            "members.key-file",
            "/nowhere/members.key cannot be read",
        ),
        (
            roster("leverproxy", "/"),
            "members.key-file",
            "is not a file",
        ),
        (
            roster("leverproxy", faulty.path()),
            "members.key-file",
            "line 2 has 63 characters",
        ),
    ] {
        let error = parse(&operators).map(|_| ()).unwrap_err();
        assert_eq!(error.key, key, "{error}");
        assert!(error.problem.contains(problem), "{error}");
    }
    let none = parse("").unwrap();
    assert!(none.members.is_none() && none.member_keys.is_none());
}

/// Default values without an operators' file.
#[test]
fn defaults_without_an_operators_file() {
    let config = parse("").unwrap();
    let limits = config.limits;
    assert_eq!(
        (limits.clients, limits.upstream),
        (568 * 3 / 5, 568 - 568 * 3 / 5)
    );
    assert_eq!(
        (limits.crowded, limits.packed, limits.unfinished),
        (100, 150, 6 << 20)
    );
    let timeouts = config.client_limits;
    assert_eq!(
        (timeouts.first_request, timeouts.idle),
        (Duration::from_millis(2_500), Duration::from_secs(2))
    );
    assert_eq!(
        (timeouts.unread_response, timeouts.linger),
        (Duration::from_secs(10), Duration::from_secs(1))
    );
    assert_eq!(
        (timeouts.max_pipelined, timeouts.max_unsent_bytes),
        (32, 64 << 10)
    );
    assert_eq!(config.max_watch_silence, Duration::from_secs(3));
    assert_eq!(config.rules.margin, Duration::from_millis(10));
}

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_leverproxy"));
    command
        .env_remove("LB_CONFIG")
        .env_remove("LB_OPERATORS")
        .env_remove("RUST_LOG");
    command.args(arguments).output().unwrap()
}

fn printed(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn the_command_line_checks_formats_and_compares() {
    let untidy = TempFile::new("limits{\nclient-patience   500ms # short\n}\n");
    let path = untidy.path();
    assert_eq!(run(&["config", "check", path]).status.code(), Some(0));
    assert_eq!(
        run(&["config", "fmt", "--check", path]).status.code(),
        Some(1)
    );
    assert_eq!(run(&["config", "fmt", path]).status.code(), Some(0));
    assert_eq!(
        std::fs::read_to_string(path).unwrap(),
        "limits {\n    client-patience 500ms  # short\n}\n"
    );
    assert_eq!(
        run(&["config", "fmt", "--check", path]).status.code(),
        Some(0)
    );

    let other =
        TempFile::new("limits {\n client-patience 1s\n}\nroute r {\n class any\n refuse 1s\n}\n");
    let same = run(&["config", "diff", path, path]);
    assert_eq!(
        (same.status.code(), printed(&same).trim()),
        (Some(0), "no difference in behaviour")
    );
    let differ = run(&["config", "diff", path, other.path()]);
    assert_eq!(differ.status.code(), Some(1));
    let text = printed(&differ);
    assert!(
        text.contains("client-patience: 500ms -> 1s (looser)") && text.contains("class any"),
        "{text}"
    );

    let explained = run(&[
        "config",
        "explain",
        other.path(),
        "--request",
        "class=any,group=3,statement=SELECT a, b",
    ]);
    let text = printed(&explained);
    assert!(
        text.contains("route r") && text.contains("refused, with a Retry-After of 1s"),
        "{text}"
    );
    let wrong = run(&["config", "explain", other.path(), "--request", "klass=any"]);
    assert_eq!(wrong.status.code(), Some(2));

    let faulty = TempFile::new("limits {\n client-patience 500\n}\n");
    let checked = run(&["config", "check", faulty.path()]);
    assert_eq!(checked.status.code(), Some(2));
    assert!(
        printed(&checked).contains("the time 500 has no unit"),
        "{}",
        printed(&checked)
    );
    let json = run(&["config", "check", "--format", "json", faulty.path()]);
    let parsed: serde_json::Value = serde_json::from_str(&printed(&json)).unwrap();
    assert_eq!(
        (parsed[0]["line"].as_u64(), parsed[0]["column"].as_u64()),
        (Some(2), Some(18))
    );
    // A file that cannot be parsed is not rewritten.
    let broken = TempFile::new("limits {\n client-patience \"5\n}\n");
    assert_eq!(
        run(&["config", "fmt", broken.path()]).status.code(),
        Some(2)
    );
    assert_eq!(
        std::fs::read_to_string(broken.path()).unwrap(),
        "limits {\n client-patience \"5\n}\n"
    );
    assert_eq!(
        run(&["config", "check", "/nowhere/at/all.conf"])
            .status
            .code(),
        Some(2)
    );
}

/// Include loops through symbolic links, and directories in place of files, are reported on a real disk as in memory.
#[test]
fn a_disk_has_links_and_folders() {
    let main = TempFile::new("");
    let folder = main.0.with_extension("d");
    std::fs::create_dir(&folder).unwrap();
    let link = folder.join("loop.conf");
    std::os::unix::fs::symlink(&main.0, &link).unwrap();
    let name = folder.file_name().unwrap().to_str().unwrap();
    main.write(&format!("include {name}/*.conf\n"));
    let looped = printed(&run(&["config", "check", main.path()]));
    main.write(&format!("include {name}\n"));
    let not_a_file = printed(&run(&["config", "check", main.path()]));
    std::fs::remove_file(&link).unwrap();
    std::fs::remove_dir(&folder).unwrap();
    assert!(
        looped.contains("include-loop") && looped.contains("1 error(s)"),
        "{looped}"
    );
    assert!(
        not_a_file.contains("is not a file") && not_a_file.contains("1 error(s)"),
        "{not_a_file}"
    );
}

#[test]
fn every_value_is_shown_with_where_it_comes_from() {
    let platform = TempFile::new(&format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","limits":{{"sockets":600}},"settings":{}}}"#,
        common::SETTINGS
    ));
    let operators =
        TempFile::new("define patience 500ms\nlimits {\n    client-patience $patience\n}\n");
    let output = Command::new(env!("CARGO_BIN_EXE_leverproxy"))
        .args(["config", "show", "--effective", operators.path()])
        .env("LB_CONFIG", platform.path())
        .env("LB_DISCOVERY", "127.0.0.1:9")
        .output()
        .unwrap();
    let text = printed(&output);
    let shown = |what: &str, from: &str| {
        let line = text
            .lines()
            .find(|line| line.starts_with(what))
            .unwrap_or_else(|| panic!("{what}: {text}"));
        assert!(line.contains(from), "{line}");
    };
    shown(
        "limits: client-patience 500ms",
        &format!("# {}:3:5", operators.path()),
    );
    shown("limits: client-idle 2s", "# default");
    shown("limits: sockets 600", "# platform: limits.sockets");
    shown(
        "discovery: address 127.0.0.1:9",
        "# environment: LB_DISCOVERY",
    );
    shown("listener: address 127.0.0.1:0", "# platform: listen");
}

/// The operators' page contains the table of directives that the code uses.
#[test]
fn the_page_of_directives_is_the_table() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/operators/configuration.md")).unwrap();
    let table = printed(&run(&["config", "directives"]));
    assert!(
        page.contains(&table),
        "docs/operators/configuration.md: insert the output of `leverproxy config directives`"
    );
    let example = root.join("deploy/operators.conf");
    let example = example.to_str().unwrap();
    let checked = run(&["config", "check", example]);
    assert_eq!(
        printed(&checked).lines().last(),
        Some("valid: 1 file(s), 6 route(s)"),
        "{}",
        printed(&checked)
    );
    assert_eq!(
        run(&["config", "fmt", "--check", example]).status.code(),
        Some(0)
    );
}

#[test]
fn version_help_completions_and_usage_errors_keep_their_results() {
    assert!(printed(&run(&["version"])).starts_with("leverproxy "));
    assert_eq!(run(&["help"]).status.code(), Some(0));
    assert_eq!(run(&[]).status.code(), Some(2));
    assert_eq!(run(&["serv"]).status.code(), Some(2));
    assert_eq!(run(&["check"]).status.code(), Some(2));
    assert!(printed(&run(&["completions", "bash"])).contains("leverproxy"));
}
