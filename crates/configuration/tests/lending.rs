//! Sections `lending` and `credit`: values and defaults, references, differences and the check against the platform.

use configuration::diff::diff;
use configuration::load::MemoryFiles;
use configuration::model::{Credit, Lending};
use configuration::platform::{check, Class, Consistency, Idempotency, Platform};
use configuration::{read, Reading};
use std::time::Duration;

const TEXT: &str = "members {
    version 1
    listen 10.0.0.1:7946
    key-file /etc/members.key
}
member n0 {
    address 10.0.0.1:7946
}
window fridays {
    weekdays fri
}
window dashain {
    dates 10-17..11-02
}
lending {
    state /var/lib/lending
    lease 3s
    longest 5min
}
credit ratna-park {
    line 500ms
    term 30s
    write-off 0s
    floor 1/3
    class nearby-cabs my-booking
    rate 100/s
    not-during dashain
}
credit \"Stand 9\" {
    line 10s
    class my-booking
    rate 1/s
}
";

fn parsed(text: &str) -> Reading {
    read("a.conf".as_ref(), &MemoryFiles::from([("a.conf", text)]))
}

#[test]
fn credits_are_read_with_their_defaults() {
    let reading = parsed(TEXT);
    let codes: Vec<&str> = reading.diagnostics.iter().map(|d| d.code).collect();
    assert_eq!(
        codes,
        ["unused-window"],
        "only the window that no credit uses"
    );
    let seconds = Duration::from_secs;
    let first = Credit {
        tenant: "ratna-park".into(),
        credit_limit: Duration::from_millis(500),
        term: seconds(30),
        write_off: seconds(0),
        floor: 334,
        classes: vec!["nearby-cabs".into(), "my-booking".into()],
        rate: 100,
        not_during: vec![1],
    };
    let second = Credit {
        tenant: "Stand 9".into(),
        credit_limit: seconds(10),
        term: seconds(60),
        write_off: seconds(60),
        floor: 500,
        classes: vec!["my-booking".into()],
        rate: 1,
        not_during: vec![],
    };
    let wanted = Lending {
        state_file: Some("/var/lib/lending".into()),
        lease: seconds(3),
        exchange_interval: seconds(1),
        max_loan_time: seconds(300),
        credits: vec![first, second],
    };
    assert_eq!(reading.model.quota_lending, Some(wanted));
    assert_eq!(parsed("").model.quota_lending, None);
}

/// An invalid line may have set a value that seems to be missing: it is reported as one fault, not two.
#[test]
fn a_broken_line_is_one_fault() {
    for (from, to) in [
        ("lease 3s", "lease 3x"),
        (
            "longest 5min\n}\ncredit ratna-park {\n    line 500ms\n    term 30s",
            "longest x\n}\ncredit a {\n    line 1s\n    term 4min",
        ),
        ("lending {", "lendnig {"),
        ("members {", "membres {"),
        ("term 30s", "term 4h\n    term x"),
        ("rate 100/s", "rate 0/s"),
        ("class nearby", "clas nearby"),
        ("window dashain", "windw dashain"),
    ] {
        assert!(TEXT.contains(from), "{from}");
        let reading = parsed(&TEXT.replacen(from, to, 1));
        assert_eq!(
            reading.diagnostics.len(),
            1,
            "{to}: {:?}",
            reading.diagnostics
        );
    }
}

#[test]
fn a_changed_credit_or_its_window_is_a_difference() {
    let old = parsed(TEXT);
    let difference_after = |pairs: &[(&str, &str)]| {
        let text = pairs.iter().fold(TEXT.to_owned(), |text, (from, to)| {
            text.replacen(from, to, 1)
        });
        diff(&old, &parsed(&text), None).to_string()
    };
    assert_eq!(
        difference_after(&[
            ("line 500ms", "line 2s"),
            ("lease 3s", "lease 4s"),
            ("10-17..", "10-18..")
        ]),
        "credit ratna-park line: 500ms -> 2s\nlending lease: 3s -> 4s\n\
         window dashain dates: 10-17..11-02 -> 10-18..11-02\n"
    );
    let same = [
        ("nearby-cabs my-booking", "my-booking nearby-cabs"),
        ("10-17..11-02", "10-17..10-31 11-01..11-02"),
    ];
    assert_eq!(difference_after(&same), "no difference in behaviour\n");
    assert_eq!(
        difference_after(&[("weekdays fri", "weekdays sat")]),
        "no difference in behaviour\n"
    );
}

#[test]
fn the_platform_must_define_tenants_and_classes() {
    let class = |name: &str| Class {
        name: name.into(),
        consistency: Consistency::Eventual,
        idempotency: Idempotency::Idempotent,
        deadline: Duration::from_secs(1),
    };
    let platform = Platform {
        classes: vec![class("nearby-cabs")],
        tenants: vec!["ratna-park".into()],
        ..Platform::default()
    };
    let reading = parsed(TEXT);
    let found = check(&reading.sections, &reading.model, &platform);
    let found: Vec<&str> = found.iter().map(|d| d.message.as_str()).collect();
    assert_eq!(
        found,
        [
            "the platform has no class my-booking",
            "the platform has no class my-booking",
            "the platform has no tenant Stand 9"
        ]
    );
}
