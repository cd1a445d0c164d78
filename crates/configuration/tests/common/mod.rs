//! Random configurations and requests, generated from a seed.
#![allow(dead_code)]

use configuration::calendar::Moment;
use configuration::index::{Index, IndexedRequest, NameTable};
use configuration::load::MemoryFiles;
use configuration::model::Model;
use configuration::space::Example;
use configuration::{read, Reading};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::path::Path;

pub const CLASSES: [&str; 4] = ["nearby-cabs", "my-booking", "trip-history", "confirm-ride"];
pub const TENANTS: [&str; 3] = ["ratna-park", "koteshwor", "patan-dhoka"];
pub const STATEMENTS: [&str; 6] = [
    "select",
    "SELECT doc",
    "select doc from items",
    "insert",
    "INSERT INTO items (id",
    "with",
];
const NETWORKS: [&str; 8] = [
    "10.0.0.0/8",
    "10.1.0.0/16",
    "10.1.2.0/24",
    "10.1.2.3",
    "10.128.0.0/9",
    "0.0.0.0/0",
    "2001:db8::/32",
    "2001:db8:1::/48",
];
const WINDOWS: [&str; 6] = [
    "dates 10-17..11-02",
    "weekdays fri-sun",
    "hours 22:00-02:00",
    "dates 12-30..01-02\n    hours 06:00-10:00",
    "weekdays sat\n    hours 18:00-24:00 00:00-03:00",
    "dates 2026-10-17..2026-10-31 2027-04-13",
];

pub fn rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

fn random_subset<'a>(rng: &mut StdRng, words: &[&'a str], most: usize) -> Vec<&'a str> {
    let number = rng.random_range(1..=most);
    words.choose_multiple(rng, number).copied().collect()
}

fn quoted(words: Vec<&str>) -> String {
    words
        .iter()
        .map(|w| format!("\"{w}\""))
        .collect::<Vec<_>>()
        .join(" ")
}

/// Random lines of a section `route`.
pub fn route_lines(rng: &mut StdRng) -> Vec<String> {
    let mut lines = Vec::new();
    if rng.random_bool(0.5) {
        lines.push(format!(
            "class {}",
            random_subset(rng, &CLASSES, 2).join(" ")
        ));
    }
    if rng.random_bool(0.4) {
        lines.push(format!(
            "tenant {}",
            random_subset(rng, &TENANTS, 2).join(" ")
        ));
    }
    if rng.random_bool(0.3) {
        let from = rng.random_range(0..6);
        lines.push(format!(
            "group {from}-{} {}",
            from + rng.random_range(0..200),
            rng.random_range(0..9)
        ));
    }
    if rng.random_bool(0.4) {
        lines.push(format!(
            "network {}",
            random_subset(rng, &NETWORKS, 3).join(" ")
        ));
    }
    if rng.random_bool(0.3) {
        lines.push(format!(
            "statement {}",
            quoted(random_subset(rng, &STATEMENTS, 2))
        ));
    }
    if rng.random_bool(0.3) {
        let number = rng.random_range(0..WINDOWS.len());
        lines.push(format!("during w{number}"));
    }
    match rng.random_range(0..6) {
        0 => lines.push("refuse".into()),
        1 => lines.push(format!("refuse {}ms", rng.random_range(1..4) * 100)),
        2 => lines.push(format!("deadline {}ms", rng.random_range(1..4) * 100)),
        3 => lines.push(format!("tries {}", rng.random_range(1..4))),
        4 => {
            lines.push(format!("pool p{}", rng.random_range(0..2)));
            lines.push("priority high".into());
        }
        _ => {}
    }
    lines
}

/// Random sections, each as its keyword with name and the lines inside.
pub fn sections(rng: &mut StdRng, routes: usize) -> Vec<(String, Vec<String>)> {
    let mut all = vec![("calendar".to_owned(), vec!["offset +05:45".to_owned()])];
    for (at, window) in WINDOWS.iter().enumerate() {
        all.push((
            format!("window w{at}"),
            window.lines().map(|l| l.trim().to_owned()).collect(),
        ));
    }
    all.push((
        "pool p0".into(),
        vec!["requests 20".into(), "groups 0-4294967295".into()],
    ));
    all.push((
        "pool p1".into(),
        vec!["rate 100/s".into(), "burst 20".into()],
    ));
    for at in 0..routes {
        all.push((format!("route r{at}"), route_lines(rng)));
    }
    all.push((
        "limits".into(),
        vec![
            format!("pipeline {}", rng.random_range(1..9)),
            "unsent 64KiB".into(),
        ],
    ));
    all
}

pub fn tidy_text(sections: &[(String, Vec<String>)]) -> String {
    let mut out = String::new();
    for (head, lines) in sections {
        writeln!(out, "{head} {{").unwrap();
        lines
            .iter()
            .for_each(|line| writeln!(out, "    {line}").unwrap());
        out.push_str("}\n");
    }
    out
}

/// The same sections with random blanks, comments, continued lines and unnecessary quotes.
pub fn untidy_text(rng: &mut StdRng, sections: &[(String, Vec<String>)]) -> String {
    let mut out = String::new();
    let blank = |rng: &mut StdRng| {
        [" ", "  ", "\t", " \t "]
            .choose(rng)
            .copied()
            .unwrap_or(" ")
    };
    for (head, lines) in sections {
        for _ in 0..rng.random_range(0..3) {
            out.push_str(
                ["\n", "  # a remark \n", "\r\n", "#\n"]
                    .choose(rng)
                    .unwrap(),
            );
        }
        write!(out, "{}{head}{}{{", blank(rng), blank(rng)).unwrap();
        out.push_str([" # begins\n", "\n", "\r\n"].choose(rng).unwrap());
        for line in lines {
            let quotes = line.contains('"');
            for (at, word) in line.split(' ').enumerate() {
                let gap = match (quotes && at > 0, at > 0 && rng.random_bool(0.1)) {
                    (true, _) => " ",
                    (false, true) => " \\\n ",
                    (false, false) => blank(rng),
                };
                out.push_str(gap);
                match rng.random_range(0..6) {
                    0 if !quotes && at > 0 => write!(out, "'{word}'").unwrap(),
                    1 if !quotes && at > 0 => write!(out, "\"{word}\"").unwrap(),
                    _ => out.push_str(word),
                }
            }
            out.push_str(["\n", "# why\n", "  \n\n\n", "\r\n"].choose(rng).unwrap());
        }
        out.push_str(["}\n", " }  # ends\n", "\n\n}\n"].choose(rng).unwrap());
    }
    out
}

pub fn parsed(text: &str) -> Reading {
    read(Path::new("x.conf"), &MemoryFiles::from([("x.conf", text)]))
}

/// The content of a configuration, without places in the text.
pub fn meaning(reading: &Reading) -> impl PartialEq + std::fmt::Debug {
    let model = &reading.model;
    let entries: Vec<_> = configuration::model::entries(&reading.sections)
        .into_iter()
        .map(|e| (e.section, e.directive, e.value))
        .collect();
    let routes: Vec<_> = model
        .routes
        .iter()
        .map(|r| (r.name.clone(), r.conditions.clone(), r.outcome.clone()))
        .collect();
    let codes: Vec<_> = reading
        .diagnostics
        .iter()
        .map(|d| (d.code, d.message.clone()))
        .collect();
    (entries, routes, codes)
}

pub fn request(rng: &mut StdRng) -> Example {
    let class = if rng.random_bool(0.9) {
        CLASSES.choose(rng).copied().unwrap()
    } else {
        "other"
    };
    let tenant = if rng.random_bool(0.8) {
        TENANTS.choose(rng).copied().unwrap()
    } else {
        ""
    };
    let client = match rng.random_range(0..5) {
        0 => IpAddr::V4(Ipv4Addr::from(rng.random::<u32>())),
        1 => IpAddr::V6(Ipv6Addr::from(
            0x2001_0db8_u128 << 96 | rng.random_range(0..3_u128) << 80 | 1,
        )),
        2 => IpAddr::V4(Ipv4Addr::new(10, 1, 2, rng.random_range(1..5))),
        _ => IpAddr::V4(Ipv4Addr::new(
            10,
            *[1, 2, 200].choose(rng).unwrap(),
            rng.random_range(0..4),
            9,
        )),
    };
    let mut statement = STATEMENTS.choose(rng).copied().unwrap().to_owned();
    if rng.random_bool(0.5) {
        statement.push_str(" and more");
    }
    if rng.random_bool(0.3) {
        statement.truncate(rng.random_range(0..=statement.len()));
    }
    if rng.random_bool(0.3) {
        statement = format!("  {}", statement.to_uppercase());
    }
    // Days from 2026 to 2029, which include those of the windows with a year.
    let at = Moment {
        day: rng.random_range(20_600..21_600),
        second: rng.random_range(0..86_400),
    };
    Example {
        class: class.to_owned(),
        tenant: tenant.to_owned(),
        group: if rng.random_bool(0.8) {
            rng.random_range(0..10)
        } else {
            rng.random_range(0..400)
        },
        statement: statement.into_bytes(),
        client,
        at,
        offset: 20_700,
    }
}

/// The index of the model's routes, and its table of names.
pub fn compiled(model: &Model) -> (Index, NameTable) {
    let names = NameTable::default().with_routes(&model.routes);
    (Index::new(&model.routes, &model.windows, &names), names)
}

pub fn find(index: &Index, names: &NameTable, example: &Example) -> Option<usize> {
    let place = |list: &[String], name: &str| {
        list.iter()
            .position(|n| n == name)
            .map_or(u32::MAX - 1, |n| n as u32)
    };
    index.find(&IndexedRequest {
        class: place(&names.classes, &example.class),
        tenant: place(&names.tenants, &example.tenant),
        group: example.group,
        statement: &example.statement,
        client: example.client,
        at: example.at,
    })
}
