//! Lookup of line numbers by key path, in complete, incomplete and truncated JSON texts.

use super::line_of;

const TEXT: &str = r#"{
  "name": "a\"b: {[",
  "settings": {"Zones": ["a", "b"],
    "Classes": [
      {"Name": "x", "Deadline": 1},
      {"Name": "y",
       "Deadline": -1}
    ],
    "Rules": {}
  }
}"#;

#[test]
fn keys_are_found_at_their_lines() {
    for (path, line) in [
        ("name", 2),
        ("settings", 3),
        ("settings.Zones[1]", 3),
        ("settings.Classes[0].Deadline", 5),
        ("settings.Classes[1]", 6),
        ("settings.Classes[1].Deadline", 7),
        ("settings.Rules", 9),
    ] {
        assert_eq!(line_of(TEXT.as_bytes(), path), Some(line), "{path}");
    }
}

/// The line of a missing key is that of the innermost value on its path that exists.
#[test]
fn a_missing_key_is_located_at_the_value_that_should_hold_it() {
    assert_eq!(
        line_of(TEXT.as_bytes(), "settings.Classes[1].Effect"),
        Some(6)
    );
    assert_eq!(line_of(TEXT.as_bytes(), "settings.RegistryMode"), Some(3));
    assert_eq!(
        line_of(TEXT.as_bytes(), "settings.Classes[7].Name"),
        Some(4)
    );
    assert_eq!(line_of(TEXT.as_bytes(), "seed"), None);
}

#[test]
fn text_truncated_anywhere_does_not_panic() {
    for end in 0..TEXT.len() {
        _ = line_of(&TEXT.as_bytes()[..end], "settings.Classes[1].Deadline");
    }
    assert_eq!(line_of(b"", "settings"), None);
}
