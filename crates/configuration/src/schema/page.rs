//! Formats a table in Markdown, for the operators' page.

use super::types::{Args, Directive, Naming, Section, Table, TakesEffect};

/// A table in Markdown; `takes_effect`: whether to include a column with the time at which a change takes effect.
pub fn markdown_of(table: Table, takes_effect: bool) -> String {
    let mut page = String::new();
    for section in table {
        write_section(&mut page, section, takes_effect);
    }
    page
}

fn write_section(page: &mut String, section: &Section, takes_effect: bool) {
    let head = match section.naming {
        Naming::Unnamed => format!("{} {{", section.keyword),
        Naming::Named | Naming::ExternalName => format!("{} NAME {{", section.keyword),
    };
    page.push_str(&format!("### `{head}`\n\n{}\n\n", section.help));
    let (title, rule) = match takes_effect {
        true => (" takes effect |", " --- |"),
        false => ("", ""),
    };
    page.push_str(&format!(
        "| directive | value | range | default |{title} description |\n"
    ));
    page.push_str(&format!("| --- | --- | --- | --- |{rule} --- |\n"));
    for directive in section.directives {
        write_directive(page, directive, takes_effect);
    }
    page.push('\n');
}

fn write_directive(page: &mut String, directive: &Directive, takes_effect: bool) {
    let (kind, many) = match directive.args {
        Args::One(kind) => (kind, ""),
        Args::Optional(kind) => (kind, ", or nothing"),
        Args::Many(kind) => (kind, ", one or more"),
    };
    let when = match directive.takes_effect {
        TakesEffect::OnReload => "reload",
        TakesEffect::OnStart => "start",
    };
    let when = match takes_effect {
        true => format!(" {when} |"),
        false => String::new(),
    };
    let default = if directive.default.is_empty() {
        "-".to_owned()
    } else {
        format!("`{}`", directive.default)
    };
    let range = if kind.range().is_empty() {
        "-".to_owned()
    } else {
        kind.range()
    };
    page.push_str(&format!(
        "| `{}` | {}{many} | {range} | {default} |{when} {}; `{}` |\n",
        directive.keyword,
        kind.name(),
        directive.help,
        directive.example
    ));
}
