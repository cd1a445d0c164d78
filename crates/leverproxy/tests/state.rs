//! Saved state on failing disks: a command that was confirmed as saved is in effect after a restart, and clients never wait
//! for the disk.

mod common;
use common::{
    get, post, read_statement, serve_request, wait_for_metric, Listener, Peer, TestProxy,
};
use configuration::model::Persistence;
use leverproxy::event_loop::system_calls::errors::Call;
use leverproxy::event_loop::system_calls::faults::{Fault, Rule};
use rustix::io::Errno;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A temporary directory, removed on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let folder =
            std::env::temp_dir().join(format!("leverproxy-state-{name}-{}", std::process::id()));
        _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        TempFolder(folder)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

fn test_proxy(folder: &Path, servers: &[(&str, &Listener)]) -> (TestProxy, SocketAddr) {
    let test_proxy = TestProxy::with_config(servers, |config| {
        config.admin = Some("127.0.0.1:0".parse().unwrap());
        config.persistence = Some(Persistence {
            state: folder.to_owned(),
            every: Duration::from_millis(100),
        });
    });
    let admin = test_proxy.admin.unwrap();
    (test_proxy, admin)
}

/// Sends a command to the admin API; returns the body of the response.
fn command(admin: SocketAddr, action: &str, target: &str) -> String {
    let body = format!(r#"{{"target":"{target}"}}"#);
    let length = body.len();
    let head =
        format!("POST /api/{action} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n");
    let (status, text) = common::call(admin, &(head + &body));
    assert_eq!(status, 200, "{text}");
    text.trim().to_owned()
}

const ONE_EXCLUDED_LINE: &str = "lb_record_servers_excluded 1";

#[test]
fn a_command_that_cannot_be_saved_is_reported_and_saved_later() {
    for (call, errno) in [
        (Call::FileCreate, Errno::ROFS),
        (Call::FileWrite, Errno::NOSPC),
        (Call::FileSync, Errno::IO),
        (Call::FileRename, Errno::IO),
        (Call::DirectorySync, Errno::IO),
    ] {
        let (folder, server) = (TempFolder::new(&format!("{call:?}")), Listener::new());
        let servers = [("s-1", &server), ("s-2", &server)];
        let (mut test_proxy, admin) = test_proxy(&folder.0, &servers);
        wait_for_metric(admin, "lb_memory_waiting 0");
        test_proxy.faults.add(Rule {
            call,
            address: None,
            fault: Fault::Fail(errno),
            times: 1,
        });
        assert_eq!(
            command(admin, "exclude", "s-2"),
            "out, not kept",
            "{call:?} {errno}"
        );
        // Clients are served while saving fails.
        serve_request(&mut Peer::client(test_proxy.address), &server, 1, "v");
        wait_for_metric(admin, "lb_memory_failing 0");
        wait_for_metric(admin, "lb_memory_waiting 0");
        assert_eq!(command(admin, "include", "s-1"), "in");
        test_proxy.control.stop();
        test_proxy.end();
        drop(test_proxy);
        let (again, admin) = self::test_proxy(&folder.0, &servers);
        assert!(
            get(admin, "/api/telemetry")
                .1
                .lines()
                .any(|line| line == ONE_EXCLUDED_LINE),
            "{call:?} {errno}"
        );
        drop(again);
    }
}

/// An exclusion is written, but its directory cannot be synced, so it is reported as not saved; then it is cancelled. A
/// restart may find the file, but must not apply the exclusion.
#[test]
fn an_exclusion_undone_after_a_failed_save_stays_undone() {
    let (folder, server) = (TempFolder::new("back"), Listener::new());
    let servers = [("s-1", &server), ("s-2", &server)];
    let (mut test_proxy, admin) = test_proxy(&folder.0, &servers);
    wait_for_metric(admin, "lb_memory_waiting 0");
    test_proxy.faults.add(Rule {
        call: Call::DirectorySync,
        address: None,
        fault: Fault::Fail(Errno::IO),
        times: 1,
    });
    assert_eq!(command(admin, "exclude", "s-2"), "out, not kept");
    assert_eq!(post(admin, "include", "s-2"), 200);
    wait_for_metric(admin, "lb_memory_waiting 0");
    test_proxy.control.stop();
    test_proxy.end();
    drop(test_proxy);
    let (_again, admin) = self::test_proxy(&folder.0, &servers);
    assert!(!get(admin, "/api/telemetry")
        .1
        .lines()
        .any(|line| line == ONE_EXCLUDED_LINE));
}

#[test]
fn a_full_disk_delays_no_client() {
    let (folder, server) = (TempFolder::new("full"), Listener::new());
    let servers = [("s-1", &server), ("s-2", &server)];
    let (test_proxy, admin) = test_proxy(&folder.0, &servers);
    wait_for_metric(admin, "lb_memory_waiting 0");
    let full = Rule {
        call: Call::FileWrite,
        address: None,
        fault: Fault::Fail(Errno::NOSPC),
        times: u64::MAX,
    };
    test_proxy.faults.add(full);
    assert_eq!(command(admin, "exclude", "s-2"), "out, not kept");
    let mut client = Peer::client(test_proxy.address);
    let mut upstream = serve_request(&mut client, &server, 1, "v");
    for id in 2..20 {
        client.ask(&read_statement(id, "any", 19000));
        upstream.query();
        upstream.answer("v", &[]);
        assert_eq!(client.reply().value.as_deref(), Some("v"));
    }
    // The first retry of a save comes after a second, later ones more rarely.
    assert!(test_proxy.faults.faults(Call::FileWrite) <= 6);
    assert!(get(admin, "/api/telemetry")
        .1
        .contains("lb_memory_failing 1"));
}
