//! Arbitrary bytes as a configuration: no panic, and formatting is idempotent and keeps the meaning.
#![no_main]

use configuration::diagnostic::render;
use configuration::diff::diff;
use configuration::format::format;
use configuration::load::MemoryFiles;
use configuration::{read, shadow};
use std::path::Path;

fn reading(bytes: &[u8]) -> configuration::Reading {
    let mut files = MemoryFiles::default();
    files.add("x.conf", bytes);
    read(Path::new("x.conf"), &files)
}

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let first = reading(bytes);
    _ = render(&first.sources, &first.diagnostics);
    if first.is_valid() {
        _ = shadow::check(&first.model, None);
    }
    let Ok(text) = std::str::from_utf8(bytes) else {
        return;
    };
    if let Some(formatted) = format(text) {
        assert_eq!(format(&formatted).as_ref(), Some(&formatted));
        if first.is_valid() {
            let second = reading(formatted.as_bytes());
            assert!(second.is_valid() && diff(&first, &second, None).is_empty());
        }
    }
});
