use super::{table_errors, SECTIONS};

/// Defaults and examples are values that the directive itself takes.
#[test]
fn the_table_keeps_its_own_rules() {
    assert_eq!(table_errors(SECTIONS), Vec::<String>::new());
}
