//! Saved state on disks that fail: a command that was confirmed as saved is in effect after a restart, and no client waits
//! for the disk.

mod common;
use common::{get, post, read, served, until, Listener, Peer, Stage};
use configuration::model::Persistence;
use leverproxy::event_loop::system_calls::errors::Call;
use leverproxy::event_loop::system_calls::faults::{Fault, Rule};
use rustix::io::Errno;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder =
            std::env::temp_dir().join(format!("leverproxy-state-{name}-{}", std::process::id()));
        _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

fn stage(folder: &Path, servers: &[(&str, &Listener)]) -> (Stage, SocketAddr) {
    let stage = Stage::with(servers, |config| {
        config.admin = Some("127.0.0.1:0".parse().unwrap());
        config.persistence = Some(Persistence {
            state: folder.to_owned(),
            every: Duration::from_millis(100),
        });
    });
    let admin = stage.admin.unwrap();
    (stage, admin)
}

/// Sends an operator's command; returns the response.
fn command(admin: SocketAddr, word: &str, target: &str) -> String {
    let body = format!(r#"{{"target":"{target}"}}"#);
    let length = body.len();
    let head = format!("POST /api/{word} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n");
    let (status, text) = common::call(admin, &(head + &body));
    assert_eq!(status, 200, "{text}");
    text.trim().to_owned()
}

const OUT: &str = "lb_record_servers_excluded 1";

#[test]
fn a_command_that_cannot_be_saved_is_reported_and_saved_later() {
    for (call, errno) in [
        (Call::FileCreate, Errno::ROFS),
        (Call::FileWrite, Errno::NOSPC),
        (Call::FileSync, Errno::IO),
        (Call::FileRename, Errno::IO),
        (Call::DirectorySync, Errno::IO),
    ] {
        let (folder, server) = (Folder::new(&format!("{call:?}")), Listener::new());
        let servers = [("s-1", &server), ("s-2", &server)];
        let (mut stage, admin) = stage(&folder.0, &servers);
        until(admin, "lb_memory_waiting 0");
        stage.faults.add(Rule {
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
        // Clients are served meanwhile.
        served(&mut Peer::client(stage.address), &server, 1, "v");
        until(admin, "lb_memory_failing 0");
        until(admin, "lb_memory_waiting 0");
        assert_eq!(command(admin, "include", "s-1"), "in");
        stage.control.stop();
        stage.end();
        drop(stage);
        let (again, admin) = self::stage(&folder.0, &servers);
        assert!(
            get(admin, "/api/telemetry")
                .1
                .lines()
                .any(|line| line == OUT),
            "{call:?} {errno}"
        );
        drop(again);
    }
}

/// An exclusion is written, but its directory cannot be synced, so it is reported as not saved; then it is undone. A restart
/// may find the file, and must not find the exclusion.
#[test]
fn an_exclusion_undone_after_a_failed_save_stays_undone() {
    let (folder, server) = (Folder::new("back"), Listener::new());
    let servers = [("s-1", &server), ("s-2", &server)];
    let (mut stage, admin) = stage(&folder.0, &servers);
    until(admin, "lb_memory_waiting 0");
    stage.faults.add(Rule {
        call: Call::DirectorySync,
        address: None,
        fault: Fault::Fail(Errno::IO),
        times: 1,
    });
    assert_eq!(command(admin, "exclude", "s-2"), "out, not kept");
    assert_eq!(post(admin, "include", "s-2"), 200);
    until(admin, "lb_memory_waiting 0");
    stage.control.stop();
    stage.end();
    drop(stage);
    let (_again, admin) = self::stage(&folder.0, &servers);
    assert!(!get(admin, "/api/telemetry")
        .1
        .lines()
        .any(|line| line == OUT));
}

#[test]
fn a_full_disk_delays_no_client() {
    let (folder, server) = (Folder::new("full"), Listener::new());
    let servers = [("s-1", &server), ("s-2", &server)];
    let (stage, admin) = stage(&folder.0, &servers);
    until(admin, "lb_memory_waiting 0");
    let full = Rule {
        call: Call::FileWrite,
        address: None,
        fault: Fault::Fail(Errno::NOSPC),
        times: u64::MAX,
    };
    stage.faults.add(full);
    assert_eq!(command(admin, "exclude", "s-2"), "out, not kept");
    let mut client = Peer::client(stage.address);
    let mut upstream = served(&mut client, &server, 1, "v");
    for id in 2..20 {
        client.ask(&read(id, "any", 19000));
        upstream.query();
        upstream.answer("v", &[]);
        assert_eq!(client.reply().value.as_deref(), Some("v"));
    }
    // Saves are retried after a second at first, then more rarely.
    assert!(stage.faults.faults(Call::FileWrite) <= 6);
    assert!(get(admin, "/api/telemetry")
        .1
        .contains("lb_memory_failing 1"));
}
