//! Names of classes, tenants, zones and servers are used exactly as the platform's file states them; none is built in.

mod common;
use common::{get, read_statement, Listener, Peer, Reply};
use leverproxy::config;
use leverproxy::proxy::Proxy;
use serde_json::json;
use std::thread;

/// Class names with any characters that a statement's comment can carry: all but a comma and the end of the comment.
const CLASSES: [&str; 7] = [
    "ride",
    "ride-2",
    "x x",
    "काठमाडौं",
    "'; DROP TABLE items; --",
    "a=b",
    "\"q\\",
];

/// Asserts that requests of every class are served for `tenant`, and that unlisted classes are rejected. If
/// `unlisted_tenant_rejected`, a request of a tenant that is not listed must be rejected too.
fn assert_names_are_served(tenants: &[&str], tenant: &str, unlisted_tenant_rejected: bool) {
    let discovery = Listener::new();
    let server = Listener::new();
    let classes: Vec<_> = CLASSES
        .iter()
        .map(|name| json!({"Name": name, "Effect": "safe", "Deadline": 20_000_000, "GoalTime": 10_000_000}))
        .collect();
    let realms: Vec<_> = tenants
        .iter()
        .map(|name| json!({"Name": name, "QuotaPerS": 100.0}))
        .collect();
    let zone = "पूर्व \"east\"";
    let known = json!({"index": 41, "snapshot": true, "endpoints": [{"name": "s 1; '\"", "zone": zone, "type": "",
        "address": server.address.to_string(), "group": 3, "status": "Ready", "since_ms": 0}]});
    let text = json!({"name": "एक /../ '", "listen": "127.0.0.1:0", "admin": "127.0.0.1:0",
        "discovery": discovery.address.to_string(), "known": known,
        "settings": {"Balancers": 1, "Zones": [zone], "HostTypes": [""], "Classes": classes, "Realms": realms,
            "FamilyInfo": {"NeedsByClass": vec!["loose"; CLASSES.len()]}, "RegistryMode": "on_request",
            "PolicyLimits": {"DialTimeout": 9_000_000, "Keepalive": 30_000_000, "TryLimit": 8},
            "Rules": {"StopSendingWithin": 500_000, "StartCapacity": 0.15, "OverloadFactor": 2.0}}});
    let config = config::parse(text.to_string().as_bytes(), |_| None).unwrap();
    let (mut proxy, control) = Proxy::start(config).unwrap();
    let (address, admin) = (
        proxy.local_address().unwrap(),
        proxy.admin_address().unwrap(),
    );
    let running = thread::spawn(move || proxy.run());
    discovery.accept().accept_watch();
    let mut client = Peer::client(address);
    let ask = |id, class: &str, tenant: &str| {
        read_statement(id, class, 19_000).replace("t=acme", &format!("t={tenant}"))
    };
    let mut upstream = None;
    for (id, class) in (1..).zip(CLASSES) {
        let query = ask(id, class, tenant);
        client.ask(&query);
        let upstream = upstream.get_or_insert_with(|| server.accept_session());
        assert_eq!(
            upstream.query().split(",d=").next(),
            query.split(",d=").next()
        );
        upstream.answer(class, &[]);
        assert_eq!(
            client.reply(),
            Reply {
                value: Some(class.into()),
                ..Reply::default()
            }
        );
    }
    let unknown = |client: &mut Peer, query: &str| {
        client.ask(query);
        assert_eq!(client.reply().code.as_deref(), Some("42601"), "{query}");
    };
    for (id, class) in (90..).zip(["rid", "ride-", "RIDE", ""]) {
        unknown(&mut client, &ask(id, class, tenant));
    }
    if unlisted_tenant_rejected {
        unknown(&mut client, &ask(99, "ride", "nobody's"));
    }
    let text = get(admin, "/api/telemetry").1;
    for class in CLASSES {
        let label = class.replace('\\', "\\\\").replace('"', "\\\"");
        let line = format!("lb_requests_total{{class=\"{label}\",outcome=\"served\"}} 1");
        assert!(text.lines().any(|l| l == line), "{line} in {text}");
    }
    control.stop();
    running.join().unwrap().unwrap();
}

#[test]
fn unusual_names_are_accepted() {
    let tenants = ["ride", "", "ते; DROP TABLE", "ride-2"];
    assert_names_are_served(&tenants, tenants[2], true);
    assert_names_are_served(&tenants, "ride", true);
}

/// Without tenants in the settings, every tenant name is accepted.
#[test]
fn no_tenants_are_needed() {
    assert_names_are_served(&[], "whoever", false);
}
