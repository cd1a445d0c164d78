//! What operators do to several processes of the program under load: upgrades that fail and succeed, new settings while
//! the figures count, an older build beside a newer one.

mod common;
use common::{answered, setup, sound, start, SECOND};

fn fine<T>(done: Result<T, testbed::process::Fault>) -> T {
    done.unwrap_or_else(|fault| panic!("{fault}"))
}

/// Heirs that are killed, at once, when the elder has handed over, and when they serve, cost no request; the next takes over.
#[test]
fn heirs_that_are_killed_before_they_are_ready() {
    let mut setup = setup(1, 100.0, 8 * SECOND);
    setup.admin = true;
    let mut rig = start(setup);
    answered(&rig, 20);
    drop(fine(rig.heir(0)));
    let heir = fine(rig.heir(0));
    let elder = rig.proxies[0].process.as_mut().unwrap();
    fine(elder.line("another process has asked", 0));
    drop(heir);
    fine(elder.line("the other process is gone", 0));
    answered(&rig, 20);
    let mut heir = fine(rig.heir(0));
    fine(heir.line(": serving on ", 0));
    answered(&rig, 20);
    let code = fine(rig.succeed(0, heir));
    assert_eq!(code, Some(0), "the elder ends by itself");
    answered(&rig, 50);
    sound(rig);
}

/// What all proxies count together is what their clients saw, through new settings in the midst of it.
#[test]
fn figures_over_a_run_with_a_reload_in_its_midst() {
    let mut setup = setup(2, 100.0, 5 * SECOND);
    setup.admin = true;
    let mut rig = start(setup);
    for proxy in 0..2 {
        answered(&rig, 30);
        fine(rig.reload(proxy, |setup| setup.platform.tries = 4));
        fine(rig.figure_until(proxy, "lb_reloads_ok_total", |reloads| reloads == 1));
    }
    answered(&rig, 100);
    fine(rig.wait(rig.truth.finished(std::time::Duration::from_secs(5))));
    let books = rig.truth.books();
    let told = [fine(rig.figures(0)), fine(rig.figures(1))];
    for (name, book) in ["any", "mine", "book"].iter().zip(&books) {
        for (outcome, count) in [
            ("served", book.served),
            ("refused", book.refused),
            ("failed", book.failed),
        ] {
            let figure = format!(r#"lb_requests_total{{class="{name}",outcome="{outcome}"}}"#);
            let sum: u64 = told.iter().map(|t| t[&figure]).sum();
            assert_eq!(sum, count, "{figure}");
        }
    }
    let sent: u64 = rig.truth.look().reached.values().sum();
    assert_eq!(
        told.iter().map(|t| t["lb_attempts_total"]).sum::<u64>(),
        sent
    );
    let out = sound(rig);
    assert!(
        books.iter().map(|b| b.asked).sum::<u64>() > 200,
        "{:?}",
        out.books
    );
}

/// Builds side by side: each proxy takes the next in turn, and what they share is the protocol alone.
#[test]
fn two_builds_side_by_side() {
    let mut setup = setup(2, 60.0, 2 * SECOND);
    // The same build under another path stands for an older one; which it is makes no difference to the rig.
    let folder = testbed::process::Folder::new().unwrap();
    let other = folder.path().join("older");
    std::fs::copy(&setup.programs[0], &other).unwrap();
    setup.programs.push(other.clone());
    let rig = start(setup);
    let number = rig.proxies[1].process.as_ref().unwrap().number();
    assert_eq!(
        std::fs::read_link(format!("/proc/{number}/exe")).unwrap(),
        other
    );
    answered(&rig, 30);
    sound(rig);
}
