//! Operator actions on a fleet under load: failed and successful hot restarts, a configuration reload while metrics are
//! counted, and two builds running side by side.

mod common;
use common::{assert_sound, setup, start, wait_for_answers, SECOND};

fn unwrap_or_panic<T>(done: Result<T, testbed::process::Fault>) -> T {
    done.unwrap_or_else(|fault| panic!("{fault}"))
}

/// New processes that are killed right after their start, or after the old process was asked to hand over, cost no
/// request; the next new process takes over.
#[test]
fn heirs_that_are_killed_before_they_are_ready() {
    let mut setup = setup(1, 100.0, 8 * SECOND);
    setup.admin = true;
    let mut testbed = start(setup);
    wait_for_answers(&testbed, 20);
    drop(unwrap_or_panic(testbed.start_new_process(0)));
    let new_process = unwrap_or_panic(testbed.start_new_process(0));
    let old_process = testbed.proxies[0].process.as_mut().unwrap();
    unwrap_or_panic(old_process.wait_for_line("another process has asked", 0));
    drop(new_process);
    unwrap_or_panic(old_process.wait_for_line("the other process is gone", 0));
    wait_for_answers(&testbed, 20);
    let mut new_process = unwrap_or_panic(testbed.start_new_process(0));
    unwrap_or_panic(new_process.wait_for_line(": serving on ", 0));
    wait_for_answers(&testbed, 20);
    let code = unwrap_or_panic(testbed.replace_process(0, new_process));
    assert_eq!(
        code,
        Some(0),
        "the old process exits with code 0 after the hand-over"
    );
    wait_for_answers(&testbed, 50);
    assert_sound(testbed);
}

/// The request counters of all proxies add up to the outcomes seen by the clients, also across a configuration reload.
#[test]
fn figures_over_a_run_with_a_reload_in_its_midst() {
    let mut setup = setup(2, 100.0, 5 * SECOND);
    setup.admin = true;
    let mut testbed = start(setup);
    for proxy in 0..2 {
        wait_for_answers(&testbed, 30);
        unwrap_or_panic(testbed.reload(proxy, |setup| setup.platform.tries = 4));
        unwrap_or_panic(testbed.metric_until(proxy, "lb_reloads_ok_total", |reloads| reloads == 1));
    }
    wait_for_answers(&testbed, 100);
    unwrap_or_panic(testbed.wait(testbed.history.finished(std::time::Duration::from_secs(5))));
    let accounts = testbed.history.accounts();
    let metrics = [
        unwrap_or_panic(testbed.metrics(0)),
        unwrap_or_panic(testbed.metrics(1)),
    ];
    for (name, account) in ["any", "mine", "book"].iter().zip(&accounts) {
        for (outcome, count) in [
            ("served", account.served),
            ("refused", account.rejected),
            ("failed", account.failed),
        ] {
            let figure = format!(r#"lb_requests_total{{class="{name}",outcome="{outcome}"}}"#);
            let sum: u64 = metrics.iter().map(|t| t[&figure]).sum();
            assert_eq!(sum, count, "{figure}");
        }
    }
    let sent: u64 = testbed.history.lock().reached.values().sum();
    assert_eq!(
        metrics.iter().map(|t| t["lb_attempts_total"]).sum::<u64>(),
        sent
    );
    let out = assert_sound(testbed);
    assert!(
        accounts.iter().map(|b| b.requests).sum::<u64>() > 200,
        "{:?}",
        out.accounts
    );
}

/// Two builds run side by side: proxies take the configured programs in turn.
#[test]
fn two_builds_side_by_side() {
    let mut setup = setup(2, 60.0, 2 * SECOND);
    // The same build under another path stands in for an older one; the testbed treats both alike.
    let folder = testbed::process::Folder::new().unwrap();
    let other = folder.path().join("older");
    std::fs::copy(&setup.programs[0], &other).unwrap();
    setup.programs.push(other.clone());
    let testbed = start(setup);
    let number = testbed.proxies[1].process.as_ref().unwrap().number();
    assert_eq!(
        std::fs::read_link(format!("/proc/{number}/exe")).unwrap(),
        other
    );
    wait_for_answers(&testbed, 30);
    assert_sound(testbed);
}
