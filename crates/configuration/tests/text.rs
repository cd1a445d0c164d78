//! Properties of parsing: canonical form, robustness, limits, includes.

mod common;
use common::{meaning, parsed, rng, sections, tidy_text, untidy_text};
use configuration::diagnostic::render;
use configuration::diff::diff;
use configuration::format::format;
use configuration::load::{Loader, MemoryFiles, DEPTH_LIMIT};
use configuration::read;
use proptest::prelude::*;
use std::path::{Path, PathBuf};

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_canonical_form_means_the_same_and_is_final(seed in any::<u64>()) {
        let mut rng = rng(seed);
        let all = sections(&mut rng, 6);
        let text = untidy_text(&mut rng, &all);
        let (as_written, as_meant) = (parsed(&text), parsed(&tidy_text(&all)));
        prop_assert_eq!(meaning(&as_written), meaning(&as_meant), "{}", text);
        let tidy = format(&text).expect("no syntax faults");
        let again = parsed(&tidy);
        prop_assert_eq!(meaning(&as_written), meaning(&again), "{}", tidy);
        prop_assert_eq!(format(&tidy), Some(tidy.clone()));
        prop_assert!(diff(&as_written, &again, None).is_empty());
    }

    #[test]
    fn no_text_makes_it_panic(text in "([a-z]{1,4}|[ \t\r\n{}#$\"'\\\\=,.:/%-]|[0-9]{1,3}(ms|s|%)?|route |limits |\\PC){0,120}") {
        let reading = parsed(&text);
        _ = render(&reading.sources, &reading.diagnostics);
        if let Some(tidy) = format(&text) {
            prop_assert_eq!(format(&tidy), Some(tidy.clone()), "from {:?}", text);
        }
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut files = MemoryFiles::default();
        files.add("x.conf", bytes);
        let reading = read(Path::new("x.conf"), &files);
        _ = render(&reading.sources, &reading.diagnostics);
    }
}

fn codes(path: &str, files: &dyn Loader) -> Vec<&'static str> {
    read(Path::new(path), files)
        .diagnostics
        .iter()
        .map(|d| d.code)
        .collect()
}

#[test]
fn include_cycles_are_reported_by_path_link_and_pattern() {
    let three = MemoryFiles::from([
        ("a.conf", "include b.conf\n"),
        ("b.conf", "include sub/c.conf\n"),
        ("sub/c.conf", "include ../a.conf\n"),
    ]);
    assert_eq!(codes("a.conf", &three), ["include-loop"]);
    let link = MemoryFiles::from([
        ("a.conf", "include other.conf\n"),
        ("other.conf", "link:a.conf"),
    ]);
    assert_eq!(codes("a.conf", &link), ["include-loop"]);
    let pattern = MemoryFiles::from([("conf.d/a.conf", "include *.conf\n"), ("conf.d/b.conf", "")]);
    assert_eq!(codes("conf.d/a.conf", &pattern), ["include-loop"]);
    let reading = read(Path::new("a.conf"), &three);
    let help = reading.diagnostics[0].help.as_ref().unwrap();
    assert!(
        help.contains("a.conf -> b.conf -> c.conf -> a.conf"),
        "{help}"
    );
}

#[test]
fn a_file_included_twice_is_reported_once() {
    let files = MemoryFiles::from([
        ("a.conf", "include b.conf\ninclude b.conf\n"),
        ("b.conf", "limits {\n    pipeline 8\n}\n"),
    ]);
    assert_eq!(codes("a.conf", &files), ["include-twice"]);
}

/// Any number of files, each of which includes the next.
struct EndlessIncludes;

impl Loader for EndlessIncludes {
    fn read(&self, path: &Path) -> Result<Vec<u8>, String> {
        let number: u32 = path
            .to_string_lossy()
            .parse()
            .map_err(|_| "no number".to_owned())?;
        Ok(format!("include {}\n", number + 1).into_bytes())
    }

    fn identity(&self, path: &Path) -> Result<PathBuf, String> {
        Ok(path.to_owned())
    }

    fn names(&self, _: &Path) -> Result<Vec<String>, String> {
        Err("no folder".into())
    }
}

#[test]
fn include_depth_is_bounded() {
    let reading = read(Path::new("1"), &EndlessIncludes);
    assert_eq!(reading.diagnostics.len(), 1);
    assert_eq!(reading.diagnostics[0].code, "include-depth");
    assert_eq!(reading.sources.files().count(), DEPTH_LIMIT);
}

#[test]
fn includes_are_relative_to_their_file_and_share_names() {
    let files = MemoryFiles::from([
        (
            "etc/main.conf",
            "define most 20\ninclude pools.d/*.conf\nroute r {\n    pool feast\n}\n",
        ),
        (
            "etc/pools.d/b.conf",
            "pool calm {\n    requests 5\n}\nroute s {\n    class x\n    pool calm\n}\n",
        ),
        (
            "etc/pools.d/a.conf",
            "pool feast {\n    requests $most\n}\n",
        ),
        ("etc/pools.d/.hidden.conf", "no such thing\n"),
        ("etc/pools.d/a.conf~", "no such thing\n"),
    ]);
    let reading = read(Path::new("etc/main.conf"), &files);
    assert!(
        reading.diagnostics.is_empty(),
        "{}",
        render(&reading.sources, &reading.diagnostics)
    );
    let names: Vec<&str> = reading
        .model
        .routes
        .iter()
        .map(|r| r.name.as_str())
        .collect();
    assert_eq!(names, ["s", "r"]);
    assert_eq!(reading.model.pools[0].requests, Some(20));
}

#[test]
fn a_section_name_is_unique_in_all_files() {
    let files = MemoryFiles::from([
        (
            "a.conf",
            "include b.conf\npool p {\n    requests 5\n}\nroute r {\n    pool p\n}\n",
        ),
        ("b.conf", "pool p {\n    requests 6\n}\n"),
    ]);
    let reading = read(Path::new("a.conf"), &files);
    assert_eq!(reading.diagnostics.len(), 1);
    let text = render(&reading.sources, &reading.diagnostics);
    assert!(
        text.contains("a.conf:2:1") && text.contains("b.conf:1:1"),
        "{text}"
    );
}

/// A line of 10 MiB is rejected without being printed in full.
#[test]
fn a_very_long_line_is_one_short_message() {
    let mut files = MemoryFiles::default();
    files.add(
        "x.conf",
        format!("limits {{\n    # {}\n}}\n", "x".repeat(10 << 20)),
    );
    let reading = read(Path::new("x.conf"), &files);
    assert_eq!(reading.diagnostics.len(), 1);
    let text = render(&reading.sources, &reading.diagnostics);
    assert!(
        text.contains("x.conf:2:1") && text.len() < 1_000,
        "{} bytes",
        text.len()
    );
}

/// Large texts that trigger slow paths: if the work grew faster than the text, the test would not end in reasonable time.
#[test]
fn work_is_linear_in_the_length_of_the_text() {
    let lines = 150_000;
    let name = |n: usize| format!("route r{n} {{\n class c{n}\n refuse\n}}\n");
    let many: String = (0..lines / 4).map(name).collect();
    let defines: String = (0..lines).map(|n| format!("define d{n} x\n")).collect();
    for (what, text) in [
        ("backslashes", "\\ ".repeat(lines)),
        ("quotes", "\"\n'\n".repeat(lines)),
        ("braces", "{\n}\n".repeat(lines)),
        ("sections open", "a {\n".repeat(lines)),
        ("blanks", " \n".repeat(lines)),
        ("continued", "a \\\n".repeat(lines)),
        (
            "dollars",
            "limits {\n pipeline $$$$$$$$\n}\n".repeat(lines / 3),
        ),
        ("routes", many),
        ("defines", defines),
    ] {
        let reading = parsed(&text);
        assert!(
            reading.diagnostics.len() <= lines * 2 + 1,
            "{what}: {}",
            reading.diagnostics.len()
        );
        _ = format(&text);
    }
}

#[test]
fn crlf_and_lf_are_equivalent() {
    let text = tidy_text(&sections(&mut rng(3), 5));
    assert_eq!(
        meaning(&parsed(&text)),
        meaning(&parsed(&text.replace('\n', "\r\n")))
    );
    assert_eq!(format(&text.replace('\n', "\r\n")), format(&text));
}

/// Each variable repeats the one before twice, so that unlimited expansion would use any amount of memory.
#[test]
fn expansion_of_variables_is_bounded() {
    let mut text = "define a0 xxxxxxxxxxxxxxxx\n".to_owned();
    for n in 1..60 {
        text.push_str(&format!("define a{n} $a{} $a{}\n", n - 1, n - 1));
    }
    text.push_str("route r {\n    class $a59\n    refuse\n}\n");
    let reading = parsed(&text);
    assert!(
        reading.diagnostics.iter().any(|d| d.code == "expansion"),
        "{:?}",
        reading.diagnostics
    );
    assert!(
        reading.diagnostics.len() <= 2,
        "{} messages",
        reading.diagnostics.len()
    );
}
