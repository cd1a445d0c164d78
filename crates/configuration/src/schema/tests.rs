use super::{table_errors, SECTIONS};

/// Defaults and examples are valid values of their directives.
#[test]
fn the_table_keeps_its_own_rules() {
    assert_eq!(table_errors(SECTIONS), Vec::<String>::new());
}
