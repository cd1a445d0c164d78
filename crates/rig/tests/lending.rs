//! Stands that borrow over a fleet of several processes, and what goes wrong between these. All is read from second addresses;
//! a checker that knows no lane looks whether all that is owed fits into one line.

mod common;
use common::{setup, SECOND};
use rig::members::Members;
use rig::{Rig, Setup};
use std::time::Duration;
use world::clients::Tenant;

/// Loans are over soon, so that what waits for their end does not wait long.
const OPERATORS: &str = "lending {\n state {folder}/tmp\n lease 1s\n step 200ms\n longest 3s\n}\n\
                         credit bus {\n line 5s\n term 2s\n write-off 1s\n floor 20%\n class any mine\n rate 200/s\n}\n";
/// In requests a second: what the stand may ask, and usually does.
const QUOTA: f64 = 60.0;

fn fleet(proxies: usize, adjust: impl FnOnce(&mut Setup)) -> Rig {
    let mut setup = setup(proxies, 100.0, 60 * SECOND);
    setup.admin = true;
    setup.operators = OPERATORS.to_owned();
    setup.members = Some(Members::default());
    let tenant = |name: &str, share, quota| Tenant { name: name.into(), share, quota };
    setup.clients.tenants = vec![tenant("bus", 0.4, QUOTA), tenant("desk", 0.6, 200.0)];
    setup.clients.over_worth = 0.05;
    setup.slack = Duration::from_secs(10);
    adjust(&mut setup);
    let rig = Rig::start(setup).unwrap_or_else(|fault| panic!("{fault}"));
    rig.truth.begin();
    each(&rig, 0..proxies, "lb_loans_founded", 1);
    rig
}

fn each(rig: &Rig, proxies: impl IntoIterator<Item = usize>, name: &str, value: u64) {
    for proxy in proxies {
        rig.figure_until(proxy, name, |n| n == value).unwrap_or_else(|fault| panic!("{fault}"));
    }
}

#[test]
fn a_stand_borrows_and_repays() {
    let rig = fleet(3, |_| {});
    rig.truth.surge(Some(0), 5.0);
    for proxy in 0..3 {
        rig.figure_until(proxy, "lb_loans_total{stand=\"bus\"}", |n| n >= 20)
            .unwrap_or_else(|f| panic!("{f}"));
    }
    rig.truth.surge(Some(0), 1.0);
    each(&rig, 0..3, "lb_loan_owed_milli{stand=\"bus\"}", 0);
    for proxy in 0..3 {
        let figures = rig.figures(proxy).unwrap_or_else(|fault| panic!("{fault}"));
        let of = |name: &str| figures[&format!("lb_loan_{name}_milli{{stand=\"bus\"}}")];
        assert!(of("repaid") > 0, "{figures:?}");
        assert_eq!(of("lent"), of("repaid") + of("written_off"), "{figures:?}");
    }
}
