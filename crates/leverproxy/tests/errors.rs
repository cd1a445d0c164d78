//! The operators' page of errors is what the error types say: a sample of each, in its own words. A variant without a
//! sample or without advice does not compile. `WRITE_PAGES=1 cargo test -p leverproxy --test errors` writes it anew.

use std::fmt::Write;
use std::io;
use std::path::Path;
use std::time::Duration;

use leverproxy::config::ConfigError;

const PAGE: &str = "docs/operators/errors.md";
const HEAD: &str = "| where | what happened | what to do |\n| --- | --- | --- |\n";
/// Values that no bound of the program has, and what stands on the page in their place.
const N: u32 = 900_001;
const M: u32 = 900_002;
const SMALL: u8 = 251;
const ID: [u8; 4] = [0xaa; 4];
const PLACES: [(&str, &str); 6] = [
    ("900001", "N"),
    ("900002", "M"),
    ("251", "N"),
    ("aaaaaaaa", "ID"),
    ("The serialize buffer is full", "CAUSE"),
    ("EOF while parsing a value at line 1 column 0", "CAUSE"),
];

fn row(table: &mut String, place: &str, what: &str, advice: &str) {
    assert!(!advice.is_empty(), "{place} has no advice");
    let what = PLACES
        .iter()
        .fold(what.to_owned(), |text, (from, to)| text.replace(from, to));
    let cell = |text: &str| text.replace('|', "\\|").replace('\n', " ");
    // Writing to a string does not fail.
    _ = writeln!(table, "| {place} | {} | {} |", cell(&what), cell(advice));
}

/// Rows of a type, a sample of each variant. The match does not compile when one is missing.
macro_rules! rows {
    ($table:ident, $place:literal, $type:ty, [$($variant:ident => $sample:expr),+ $(,)?]) => {{
        type Type = $type;
        fn variant(error: &Type) -> &'static str {
            match error {
                $(Type::$variant { .. } => stringify!($variant),)+
            }
        }
        for sample in [$($sample),+] {
            let place = format!("{} `{}`", $place, variant(&sample));
            row(&mut $table, &place, &sample.to_string(), sample.advice());
        }
        let mut variants = [$(variant(&$sample)),+].to_vec();
        variants.dedup();
        assert_eq!(variants, [$(stringify!($variant)),+], "samples of other variants");
    }};
}

fn table() -> String {
    let text = |text: &str| text.to_owned();
    let cause = || io::Error::other("CAUSE");
    let mut table = HEAD.to_owned();
    {
        use datagram_auth::KeyError as E;
        let line = M as usize;
        rows!(table, "datagram-auth: `KeyError`", datagram_auth::KeyError, [
            NoKey => E::NoKey,
            TooMany => E::TooMany { line },
            Length => E::Length { line, found: N as usize },
            NotHex => E::NotHex { line },
            Twice => E::Twice { line },
        ]);
    }
    {
        use datagram_auth::Refused as E;
        rows!(table, "datagram-auth: `Refused`", datagram_auth::Refused, [
            TooLong => E::TooLong(N as usize),
            NotOurs => E::NotOurs(ID),
            Newer => E::Newer { least: SMALL },
            UnknownKey => E::UnknownKey(ID),
            BadMac => E::BadMac,
            Malformed => E::Malformed,
            OwnName => E::OwnName,
            UnknownSender => E::UnknownSender(text("NAME")),
            Stale => E::Stale { start: N.into(), known: M.into() },
            Replayed => E::Replayed,
        ]);
    }
    {
        use datagram_auth::SealError as E;
        rows!(table, "datagram-auth: `SealError`", datagram_auth::SealError, [
            Name => E::Name(N as usize),
            LongPayload => E::LongPayload(N as usize),
            Spent => E::Spent,
            Encoding => E::Encoding(postcard::Error::SerializeBufferFull),
        ]);
    }
    {
        use membership::RosterError as E;
        rows!(table, "membership: `RosterError`", membership::RosterError, [
            WithoutMe => E::WithoutMe(text("NAME")),
            Twice => E::Twice(text("NAME")),
            SameNumber => E::SameNumber(text("NAME"), text("OTHER")),
        ]);
    }
    {
        use membership::TellError as E;
        rows!(table, "membership: `TellError`", membership::TellError, [
            Key => E::Key(N as usize),
            Body => E::Body(N as usize),
            Lasts => E::Lasts(Duration::from_secs(N.into()), Duration::from_secs(M.into())),
            Full => E::Full,
        ]);
    }
    {
        use membership::Denied as E;
        let few = |region| E::TooFew {
            state: membership::State::Minority,
            heard: N as usize,
            of: M as usize,
            region,
        };
        rows!(table, "membership: `Denied`", membership::Denied, [
            TooFew => few(Some(text("REGION"))),
            Doubting => E::Doubting,
            RosterDiffers => E::RosterDiffers(N as usize),
            UnknownRegion => E::UnknownRegion(text("REGION")),
            Left => E::Left,
        ]);
    }
    {
        use rollout::Refused as E;
        rows!(table, "rollout: `Refused`", rollout::Refused, [
            UnderWay => E::UnderWay(N.into()),
            Halted => E::Halted(N.into()),
            Runs => E::Runs,
            Nothing => E::Nothing,
            Order => E::Order(vec![text("REGION")]),
            Long => E::Long(N as usize),
        ]);
    }
    {
        use quota_lending::RulesError as E;
        rows!(table, "quota-lending: `RulesError`", quota_lending::RulesError, [
            TooLong => E::TooLong(text("STAND"), Duration::from_secs(N.into())),
            NoTerm => E::NoTerm(text("STAND")),
            FloorTooHigh => E::FloorTooHigh(text("STAND"), N),
            CreditLimitTooHigh => E::CreditLimitTooHigh(text("STAND")),
            NameCollision => E::NameCollision(text("STAND"), text("OTHER")),
        ]);
    }
    {
        use quota_lending::StoreError as E;
        rows!(table, "quota-lending: `StoreError`", quota_lending::StoreError, [
            Write => E::Write(text("CAUSE")),
            Read => E::Read(text("CAUSE")),
        ]);
    }
    {
        use quota_lending::BadFile as E;
        rows!(table, "quota-lending: `BadFile`", quota_lending::BadFile, [
            Version => E::Version,
            Checksum => E::Checksum,
            Malformed => E::Malformed,
        ]);
    }
    {
        use quota_lending::Notice as E;
        rows!(table, "quota-lending: `Notice`", quota_lending::Notice, [
            BadFile => E::BadFile(quota_lending::BadFile::Checksum),
            Bootstrapped => E::Bootstrapped(N as usize),
            RosterTooLong => E::RosterTooLong(N as usize),
            NameCollision => E::NameCollision,
            AccountTakenOver => E::AccountTakenOver(N),
            AccountLost => E::AccountLost,
            WrittenOff => E::WrittenOff { tenant: text("STAND"), amount: N.into() },
            Ignored => E::Ignored(quota_lending::IgnoreReason::TooManyIncarnations, N),
            MessageTooLong => E::MessageTooLong(SMALL),
        ]);
    }
    {
        use leverproxy::cluster::members::Fault as E;
        rows!(table, "leverproxy: `members::Fault`", leverproxy::cluster::members::Fault, [
            Roster => E::Roster(membership::RosterError::WithoutMe(text("NAME"))),
            NoKeys => E::NoKeys,
        ]);
    }
    {
        use leverproxy::cluster::rollout::Fault as E;
        let path = || "PATH".into();
        rows!(table, "leverproxy: `rollout::Fault`", leverproxy::cluster::rollout::Fault, [
            Unread => E::Unread(path(), text("CAUSE")),
            Large => E::Large(path()),
            NoVersion => E::NoVersion(text("TEXT"), Box::new(E::Unread(path(), text("CAUSE")))),
            Missing => E::Missing(path(), text("HASH")),
            Forgotten => E::Forgotten(path(), cause()),
            NoState => E::NoState(path()),
            Unkept => E::Unkept(path(), cause()),
        ]);
    }
    {
        use leverproxy::cluster::quota_lending::StartError as E;
        rows!(table, "leverproxy: `quota_lending::StartError`", leverproxy::cluster::quota_lending::StartError, [
            Lock => E::Lock(leverproxy::persistence::state_file::LockError::Io("DIRECTORY".into(), cause())),
            Thread => E::Thread(cause()),
        ]);
        use leverproxy::persistence::state_file::LockError as L;
        rows!(table, "leverproxy: `state_file::LockError`", leverproxy::persistence::state_file::LockError, [
            Held => L::Held("DIRECTORY".into()),
            Io => L::Io("DIRECTORY".into(), cause()),
        ]);
    }
    {
        use leverproxy::persistence::saved_state::Fault as E;
        rows!(table, "leverproxy: `saved_state::Fault`", leverproxy::persistence::saved_state::Fault, [
            Lock => E::Lock(leverproxy::persistence::state_file::LockError::Io("DIRECTORY".into(), cause())),
            Read => E::Read("PATH".into(), cause()),
            Unread => E::Unread("PATH".into(), persistent_state::Fault::Torn),
            Write => E::Write("PATH".into(), cause()),
            TooLong => E::TooLong(N as usize),
            WentBack => E::WentBack { kept: 2, given: 1 },
        ]);
        use persistent_state::Fault as M;
        rows!(table, "persistent-state: `Fault`", persistent_state::Fault, [
            NotOurs => M::NotOurs,
            Form => M::Form(2),
            Torn => M::Torn,
            Foreign => M::Foreign(text("NAME")),
        ]);
    }
    {
        use leverproxy::persistence::hot_restart::Fault as E;
        let form = || serde_json::from_str::<u8>("").expect_err("nothing is no number");
        rows!(table, "leverproxy: `hot_restart::Fault`", leverproxy::persistence::hot_restart::Fault, [
            Read => E::Read(cause()),
            CutShort => E::CutShort,
            Long => E::Long,
            Form => E::Form(form()),
            Version => E::Version(N),
            NoListener => E::NoListener,
        ]);
    }
    // One type for all keys: the advice goes by the key.
    for key in [
        "LB_CONFIG",
        "LB_OPERATORS",
        "members",
        "members.key-file",
        "rollout.candidates",
        "KEY",
    ] {
        let faults = if key == "LB_OPERATORS" {
            vec![text("FAULT")]
        } else {
            Vec::new()
        };
        let error = ConfigError {
            key: text(key),
            problem: text("PROBLEM"),
            faults,
        };
        row(
            &mut table,
            "leverproxy: `ConfigError`",
            &error.to_string(),
            error.advice(),
        );
    }
    table
}

#[test]
fn the_page_of_errors_is_what_the_types_say() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(PAGE);
    let page = std::fs::read_to_string(&path).unwrap();
    let (before, _) = page
        .split_once(HEAD)
        .expect("the page has the table's head");
    let anew = format!("{before}{}", table());
    if std::env::var_os("WRITE_PAGES").is_some() {
        std::fs::write(&path, anew).unwrap();
    } else {
        assert!(
            page == anew,
            "{PAGE}: WRITE_PAGES=1 cargo test -p leverproxy --test errors"
        );
    }
}
