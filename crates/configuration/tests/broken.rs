//! The corpus of invalid files: each file gives exactly one message, which is compared with its snapshot.

use configuration::diagnostic::{json, render};
use configuration::load::Loader;
use configuration::{read, shadow, Reading};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Reads the files of the corpus by their names alone, so that messages do not depend on the directory.
struct Corpus(PathBuf);

impl Loader for Corpus {
    fn read(&self, path: &Path) -> Result<Vec<u8>, String> {
        std::fs::read(self.0.join(path)).map_err(|e| e.kind().to_string())
    }

    fn identity(&self, path: &Path) -> Result<PathBuf, String> {
        self.0
            .join(path)
            .canonicalize()
            .map_err(|e| e.kind().to_string())
    }

    fn names(&self, folder: &Path) -> Result<Vec<String>, String> {
        let entries = std::fs::read_dir(self.0.join(folder)).map_err(|e| e.kind().to_string())?;
        Ok(entries
            .flatten()
            .map(|e| e.file_name().to_string_lossy().into_owned())
            .collect())
    }
}

fn corpus() -> Corpus {
    Corpus(Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/broken"))
}

fn checked(name: &str, loader: &dyn Loader) -> Reading {
    let mut reading = read(Path::new(name), loader);
    if reading.is_valid() {
        let warnings = shadow::check(&reading.model, None);
        reading.add(warnings);
    }
    reading
}

#[test]
fn each_broken_file_gives_one_clear_message() {
    let corpus = corpus();
    let names: BTreeSet<String> = corpus.names(Path::new("")).unwrap().into_iter().collect();
    assert!(names.len() >= 80, "{} files", names.len());
    let mut wrong = Vec::new();
    for name in &names {
        let reading = checked(name, &corpus);
        let text = render(&reading.sources, &reading.diagnostics);
        if reading.diagnostics.len() != 1 {
            wrong.push(format!(
                "{name}: {} messages\n{text}",
                reading.diagnostics.len()
            ));
        }
        insta::assert_snapshot!(name.trim_end_matches(".conf"), text);
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Every message names its file, line and column.
#[test]
fn messages_name_their_place() {
    let corpus = corpus();
    let names: BTreeSet<String> = corpus.names(Path::new("")).unwrap().into_iter().collect();
    for name in &names {
        let reading = checked(name, &corpus);
        let parsed: serde_json::Value =
            serde_json::from_str(&json(&reading.sources, &reading.diagnostics)).unwrap();
        let one = &parsed[0];
        assert!(
            one["file"].as_str().unwrap().ends_with(".conf"),
            "{name}: {one}"
        );
        assert!(
            one["line"].as_u64().unwrap() >= 1 && one["column"].as_u64().unwrap() >= 1,
            "{name}: {one}"
        );
        assert!(!one["message"].as_str().unwrap().is_empty());
    }
}
