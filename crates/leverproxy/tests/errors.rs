//! Compares the operators' page of errors with the messages and advice of the error types, by one sample of each variant. A
//! variant without a sample or without advice does not compile. Regenerate the page with
//! `WRITE_PAGES=1 cargo test -p leverproxy --test errors`.

use std::fmt::Write;
use std::io;
use std::path::Path;
use std::time::Duration;

use leverproxy::config::ConfigError;

const PAGE: &str = "docs/operators/errors.md";
const HEAD: &str = "| where | what happened | what to do |\n| --- | --- | --- |\n";
/// Sample values that differ from every constant in the messages. [`PLACES`] maps each to its placeholder on the page.
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

/// Adds the rows of an error type, one sample for each variant. The match does not compile if a variant is missing.
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
            TooManyKeys => E::TooManyKeys { line },
            WrongLength => E::WrongLength { line, found: N as usize },
            NotHex => E::NotHex { line },
            DuplicateKey => E::DuplicateKey { line },
        ]);
    }
    {
        use datagram_auth::OpenError as E;
        rows!(table, "datagram-auth: `OpenError`", datagram_auth::OpenError, [
            TooLong => E::TooLong(N as usize),
            WrongMagic => E::WrongMagic(ID),
            UnsupportedVersion => E::UnsupportedVersion { min_version: SMALL },
            UnknownKey => E::UnknownKey(ID),
            InvalidMac => E::InvalidMac,
            Malformed => E::Malformed,
            OwnName => E::OwnName,
            UnknownSender => E::UnknownSender(text("NAME")),
            StaleIncarnation => E::StaleIncarnation { incarnation: N.into(), known: M.into() },
            Replayed => E::Replayed,
        ]);
    }
    {
        use datagram_auth::SealError as E;
        rows!(table, "datagram-auth: `SealError`", datagram_auth::SealError, [
            InvalidName => E::InvalidName(N as usize),
            PayloadTooLong => E::PayloadTooLong(N as usize),
            SequenceExhausted => E::SequenceExhausted,
            Encoding => E::Encoding(postcard::Error::SerializeBufferFull),
        ]);
    }
    {
        use membership::RosterError as E;
        rows!(table, "membership: `RosterError`", membership::RosterError, [
            MissingSelf => E::MissingSelf(text("NAME")),
            DuplicateName => E::DuplicateName(text("NAME")),
            IdCollision => E::IdCollision(text("NAME"), text("OTHER")),
        ]);
    }
    {
        use membership::PublishError as E;
        rows!(table, "membership: `PublishError`", membership::PublishError, [
            KeyTooLong => E::KeyTooLong(N as usize),
            BodyTooLong => E::BodyTooLong(N as usize),
            TtlTooLong => E::TtlTooLong(Duration::from_secs(N.into()), Duration::from_secs(M.into())),
            CapacityExceeded => E::CapacityExceeded,
        ]);
    }
    {
        use membership::OperationDenied as E;
        let few = |region| E::NoQuorum {
            state: membership::QuorumState::Minority,
            alive: N as usize,
            total: M as usize,
            region,
        };
        rows!(table, "membership: `OperationDenied`", membership::OperationDenied, [
            NoQuorum => few(Some(text("REGION"))),
            SelfSuspected => E::SelfSuspected,
            RosterDiffers => E::RosterDiffers(N as usize),
            UnknownRegion => E::UnknownRegion(text("REGION")),
            Left => E::Left,
        ]);
    }
    {
        use rollout::CommandRejected as E;
        rows!(table, "rollout: `CommandRejected`", rollout::CommandRejected, [
            InProgress => E::InProgress(N.into()),
            HaltedBefore => E::HaltedBefore(N.into()),
            AlreadyRunning => E::AlreadyRunning,
            NoRollout => E::NoRollout,
            InvalidOrder => E::InvalidOrder(vec![text("REGION")]),
            OrderTooLong => E::OrderTooLong(N as usize),
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
        use leverproxy::cluster::members::MembersError as E;
        rows!(table, "leverproxy: `MembersError`", leverproxy::cluster::members::MembersError, [
            Roster => E::Roster(membership::RosterError::MissingSelf(text("NAME"))),
            NoKeys => E::NoKeys,
        ]);
    }
    {
        use leverproxy::cluster::rollout::RolloutError as E;
        let path = || "PATH".into();
        rows!(table, "leverproxy: `RolloutError`", leverproxy::cluster::rollout::RolloutError, [
            Unreadable => E::Unreadable(path(), text("CAUSE")),
            TooLarge => E::TooLarge(path()),
            NotAVersion => E::NotAVersion(text("TEXT"), Box::new(E::Unreadable(path(), text("CAUSE")))),
            VersionMissing => E::VersionMissing(path(), text("HASH")),
            StateUnreadable => E::StateUnreadable(path(), cause()),
            StateMalformed => E::StateMalformed(path()),
            PersistFailed => E::PersistFailed(path(), cause()),
        ]);
    }
    {
        use leverproxy::cluster::quota_lending::StartError as E;
        rows!(table, "leverproxy: `quota_lending::StartError`", leverproxy::cluster::quota_lending::StartError, [
            Lock => E::Lock(leverproxy::persistence::directory_lock::LockError::Io("DIRECTORY".into(), cause())),
            Thread => E::Thread(cause()),
        ]);
        use leverproxy::persistence::directory_lock::LockError as L;
        rows!(table, "leverproxy: `directory_lock::LockError`", leverproxy::persistence::directory_lock::LockError, [
            Held => L::Held("DIRECTORY".into()),
            Io => L::Io("DIRECTORY".into(), cause()),
        ]);
    }
    {
        use leverproxy::persistence::saved_state::PersistenceError as E;
        rows!(table, "leverproxy: `saved_state::PersistenceError`", leverproxy::persistence::saved_state::PersistenceError, [
            Lock => E::Lock(leverproxy::persistence::directory_lock::LockError::Io("DIRECTORY".into(), cause())),
            Read => E::Read("PATH".into(), cause()),
            Unusable => E::Unusable("PATH".into(), persistent_state::SnapshotError::Corrupt),
            Write => E::Write("PATH".into(), cause()),
            TooLong => E::TooLong(N as usize),
            IndexRegressed => E::IndexRegressed { saved: 2, received: 1 },
        ]);
        use persistent_state::SnapshotError as M;
        rows!(table, "persistent-state: `SnapshotError`", persistent_state::SnapshotError, [
            WrongMagic => M::WrongMagic,
            UnsupportedVersion => M::UnsupportedVersion(2),
            Corrupt => M::Corrupt,
            WrongProxy => M::WrongProxy(text("NAME")),
        ]);
    }
    {
        use leverproxy::persistence::hot_restart::handover::HandoverError as E;
        let malformed = || serde_json::from_str::<u8>("").expect_err("nothing is no number");
        rows!(table, "leverproxy: `handover::HandoverError`", leverproxy::persistence::hot_restart::handover::HandoverError, [
            Read => E::Read(cause()),
            Truncated => E::Truncated,
            TooLong => E::TooLong,
            Malformed => E::Malformed(malformed()),
            UnsupportedVersion => E::UnsupportedVersion(N),
            NoListener => E::NoListener,
        ]);
    }
    // One type covers all keys, and its advice depends on the key.
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
