//! Hashes the sources that decide how a run goes, so that stored results are not taken for those of another version.

use sha2::{Digest, Sha256};
use std::path::{Path, PathBuf};

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    let Ok(entries) = std::fs::read_dir(folder) else {
        return;
    };
    for path in entries.flatten().map(|e| e.path()) {
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

fn main() {
    let own = PathBuf::from(std::env::var("CARGO_MANIFEST_DIR").unwrap_or_default());
    let mut found = Vec::new();
    for package in [
        "simulation-engine",
        "invariant-checkers",
        "routing",
        "quota",
        "site-failover",
        "server-model",
    ] {
        let folder = own.join("..").join(package).join("src");
        println!("cargo:rerun-if-changed={}", folder.display());
        sources(&folder, &mut found);
    }
    // Of this package what plays; not what shows.
    for part in ["planned.rs", "play", "policy.rs", "tally.rs", "scenario.rs"] {
        let path = own.join("src").join(part);
        println!("cargo:rerun-if-changed={}", path.display());
        if path.is_dir() {
            sources(&path, &mut found);
        } else {
            found.push(path);
        }
    }
    found.sort();
    let mut hash = Sha256::new();
    for path in found {
        hash.update(std::fs::read(&path).unwrap_or_default());
    }
    let hash: String = hash
        .finalize()
        .iter()
        .take(8)
        .map(|byte| format!("{byte:02x}"))
        .collect();
    println!("cargo:rustc-env=EXPERIMENT_SOURCES={hash}");
}
