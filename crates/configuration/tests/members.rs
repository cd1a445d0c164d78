//! Sections `members` and `member`: maximum size of the roster, missing values, differences.

use configuration::diff::diff;
use configuration::load::MemoryFiles;
use configuration::{read, Reading};
use std::time::Duration;

fn parsed(text: &str) -> Reading {
    read("a.conf".as_ref(), &MemoryFiles::from([("a.conf", text)]))
}

fn fleet(number: usize) -> String {
    let members = (0..number).map(|n| {
        format!(
            "member \"n {n}\" {{\n address 10.0.{}.{}:7946\n region thamel\n}}\n",
            n / 250,
            n % 250 + 1
        )
    });
    let head = "members {\n version 3\n listen 10.0.0.1:7946\n key-file /etc/members.key\n period 500ms\n}\n";
    head.to_owned() + &members.collect::<String>()
}

#[test]
fn a_roster_is_read_up_to_its_bound() {
    let full = parsed(&fleet(1_000));
    assert!(full.is_valid());
    let members = full.model.members.unwrap();
    assert_eq!((members.version, members.roster.len()), (3, 1_000));
    assert_eq!(
        (members.period, members.suspicion),
        (Duration::from_millis(500), Duration::from_secs(1))
    );
    assert_eq!(
        (
            members.roster[999].name.as_str(),
            members.roster[999].region.as_str()
        ),
        ("n 999", "thamel")
    );
    let more = parsed(&fleet(1_001));
    let codes: Vec<&str> = more.diagnostics.iter().map(|d| d.code).collect();
    assert_eq!((codes, more.model.members), (vec!["many-members"], None));
    assert_eq!(parsed("").model.members, None);
}

/// An invalid line may have set a value that seems to be missing: it is reported as one fault, not two.
#[test]
fn a_broken_line_is_one_fault() {
    let whole = fleet(1);
    for (from, to) in [
        ("version 3", "version x"),
        ("members {", "membres {"),
        ("address", "adress"),
        ("member \"", "membr \""),
    ] {
        let reading = parsed(&whole.replacen(from, to, 1));
        assert_eq!(
            reading.diagnostics.len(),
            1,
            "{to}: {:?}",
            reading.diagnostics
        );
    }
}

#[test]
fn a_changed_roster_is_a_difference_that_is_neither_tighter_nor_looser() {
    let text = fleet(2);
    let changed = text
        .replace("version 3", "version 4")
        .replace("period 500ms", "period 1s");
    let changed = changed.replacen("region thamel", "region patan", 1);
    let difference = diff(&parsed(&text), &parsed(&changed), None).to_string();
    let lines: Vec<&str> = difference.lines().collect();
    assert_eq!(
        lines,
        [
            "member n 0 region: thamel -> patan",
            "members period: 500ms -> 1s",
            "members version: 3 -> 4"
        ]
    );
    assert!(diff(&parsed(&text), &parsed(&text), None).is_empty());
}
