//! Checks a document against the table of directives: sections and directives must be known, and their values of the
//! right type and in range.

use crate::diagnostic::{nearest, Diagnostic};
use crate::document::{Argument, Document, RawDirective, RawSection};
use crate::schema::{self, Args, Naming, Table, VALUES_LIMIT};
use crate::source::Span;
use crate::syntax::is_name;
use crate::value::{ParseError, Type, Value};
use std::collections::HashMap;

/// A section that was checked against the table.
#[derive(Debug)]
pub struct Section {
    /// The table's entry for the section.
    pub spec: &'static schema::Section,
    /// Place of its keyword and name.
    pub span: Span,
    /// Its name; empty for an unnamed section.
    pub name: String,
    /// Its valid directives.
    pub settings: Vec<Setting>,
    /// One of its lines was invalid and may have set a directive that seems to be missing.
    pub partial: bool,
}

/// A valid directive with its values.
#[derive(Debug)]
pub struct Setting {
    /// The table's entry for the directive.
    pub spec: &'static schema::Directive,
    /// Place of the directive.
    pub span: Span,
    /// Its values, each with its place.
    pub values: Vec<(Value, Span)>,
}

impl Section {
    /// The directive with this keyword.
    pub fn setting(&self, keyword: &str) -> Option<&Setting> {
        self.settings.iter().find(|s| s.spec.keyword == keyword)
    }

    /// The values of a directive; empty if it is not set.
    pub fn values(&self, keyword: &str) -> &[(Value, Span)] {
        self.setting(keyword).map_or(&[], |s| s.values.as_slice())
    }

    /// The first value of a directive.
    pub fn value(&self, keyword: &str) -> Option<&Value> {
        self.values(keyword).first().map(|(value, _)| value)
    }
}

/// Returns the valid sections and directives; reports each of the others once to `faults`.
pub fn check(document: Document, table: Table, faults: &mut Vec<Diagnostic>) -> Vec<Section> {
    let mut sections = Vec::with_capacity(document.sections.len());
    let mut seen: HashMap<(&'static str, String), Span> = HashMap::new();
    for raw in document.sections {
        // The invalid keyword was reported when the file was loaded.
        if raw.keyword.text.is_empty() {
            continue;
        }
        let Some(spec) = table.iter().find(|s| s.keyword == raw.keyword.text) else {
            faults.push(unknown_section(&raw.keyword, table));
            continue;
        };
        let Some(name) = section_name(spec, &raw, faults) else {
            continue;
        };
        let span = raw
            .names
            .last()
            .map_or(raw.keyword.span, |n| raw.keyword.span.to(n.span));
        if let Some(first) = seen.get(&(spec.keyword, name.clone())) {
            faults.push(repeated_section(spec, &name, span, *first));
            continue;
        }
        seen.insert((spec.keyword, name.clone()), span);
        let mut section = Section {
            spec,
            span,
            name,
            settings: Vec::new(),
            partial: raw.partial,
        };
        for directive in raw.directives {
            match setting(spec, directive, table, faults) {
                Some(setting) => add_setting(&mut section, setting, faults),
                None => section.partial = true,
            }
        }
        sections.push(section);
    }
    sections
}

fn repeated_section(spec: &schema::Section, name: &str, span: Span, first: Span) -> Diagnostic {
    let title = match name {
        "" => spec.keyword.to_owned(),
        _ => format!("{} {name}", spec.keyword),
    };
    let message = format!("the section {title} is defined a second time");
    Diagnostic::error("section-twice", span, message)
        .label("defined again here")
        .related(first, "first defined here")
}

/// Reports references to undefined sections, unless `partial`: files that could not be read may define them.
pub fn references(sections: &[Section], partial: bool, faults: &mut Vec<Diagnostic>) {
    for setting in sections
        .iter()
        .flat_map(|s| &s.settings)
        .filter(|_| !partial)
    {
        let (Args::One(kind) | Args::Optional(kind) | Args::Many(kind)) = setting.spec.args;
        let Type::Reference(wanted) = kind else {
            continue;
        };
        let known = || {
            sections
                .iter()
                .filter(|s| s.spec.keyword == wanted)
                .map(|s| s.name.as_str())
        };
        for (value, span) in &setting.values {
            let Value::Name(name) = value else { continue };
            if known().any(|n| n == name) {
                continue;
            }
            faults.push(unknown_name(
                wanted,
                name,
                *span,
                &known().collect::<Vec<_>>(),
            ));
        }
    }
}

/// A reference to an undefined section. `wanted`: the keyword of the section; `known`: the defined names.
pub(crate) fn unknown_name(wanted: &str, name: &str, span: Span, known: &[&str]) -> Diagnostic {
    let fault = Diagnostic::error("unknown-name", span, format!("there is no {wanted} {name}"))
        .label("not defined in any of the files read");
    match nearest(name, known.iter().copied()) {
        Some(near) => fault.help(format!("did you mean {near}?")),
        None if known.is_empty() => fault.help(format!("the configuration defines no {wanted}")),
        None => fault,
    }
}

fn unknown_section(keyword: &Argument, table: Table) -> Diagnostic {
    let fault = Diagnostic::error(
        "unknown-section",
        keyword.span,
        format!("unknown section {:?}", keyword.text),
    )
    .label("not a known section");
    match nearest(&keyword.text, table.iter().map(|s| s.keyword)) {
        Some(near) => fault.help(format!("did you mean {near}?")),
        None => {
            let known: Vec<&str> = table.iter().map(|s| s.keyword).collect();
            fault.help(format!("the known sections are {}", known.join(", ")))
        }
    }
}

fn section_name(
    spec: &'static schema::Section,
    stated: &RawSection,
    faults: &mut Vec<Diagnostic>,
) -> Option<String> {
    let keyword = spec.keyword;
    let fault = match (spec.naming, stated.names.as_slice()) {
        (Naming::Unnamed, []) => return Some(String::new()),
        (Naming::Unnamed, [name, ..]) => Diagnostic::error(
            "section-name",
            name.span,
            format!("the section {keyword} takes no name"),
        )
        .label("remove this name"),
        (Naming::Named | Naming::ExternalName, []) => Diagnostic::error(
            "section-name",
            stated.keyword.span,
            format!("the section {keyword} requires a name"),
        )
        .label(format!("write {keyword} NAME {{")),
        (naming @ (Naming::Named | Naming::ExternalName), [name]) => {
            if naming == Naming::ExternalName && !name.text.is_empty() || is_name(&name.text) {
                return Some(name.text.clone());
            }
            Diagnostic::error(
                "section-name",
                name.span,
                format!("{:?} is not a valid name", name.text),
            )
            .label("invalid name")
            .help("a name begins with a letter and contains only letters, digits, - and _")
        }
        (Naming::Named | Naming::ExternalName, [_, second, ..]) => Diagnostic::error(
            "section-name",
            second.span,
            format!("the section {keyword} takes exactly one name"),
        )
        .label("unexpected second name"),
    };
    faults.push(fault);
    None
}

/// A directive with its values; `None` if it is invalid, which is reported.
fn setting(
    section: &'static schema::Section,
    directive: RawDirective,
    table: Table,
    faults: &mut Vec<Diagnostic>,
) -> Option<Setting> {
    let Some(spec) = section.directive(&directive.keyword.text) else {
        faults.push(unknown_directive(section, &directive.keyword, table));
        return None;
    };
    if let Some(fault) = check_count(spec, &directive) {
        faults.push(fault);
        return None;
    }
    let (Args::One(kind) | Args::Optional(kind) | Args::Many(kind)) = spec.args;
    let span = directive.span();
    let mut values = Vec::with_capacity(directive.args.len());
    for arg in directive.args {
        match kind.parse(&arg.text) {
            Ok(value) => values.push((value, arg.span)),
            Err(error) => {
                faults.push(bad_value(kind, arg.span, error));
                return None;
            }
        }
    }
    Some(Setting { spec, span, values })
}

/// A fault if the directive has too many or too few values.
fn check_count(spec: &schema::Directive, directive: &RawDirective) -> Option<Diagnostic> {
    let given = directive.args.len();
    let (fits, wanted) = match spec.args {
        Args::One(_) => (given == 1, "one value"),
        Args::Optional(_) => (given <= 1, "at most one value"),
        Args::Many(_) => (given >= 1, "one or more values"),
    };
    let (keyword, place) = (spec.keyword, directive.keyword.span);
    if !fits {
        let fault = match directive.args.as_slice() {
            [_, second, rest @ ..] => {
                let last = rest.last().unwrap_or(second);
                let message = format!("{keyword} takes {wanted}, but {given} are given");
                Diagnostic::error("value-count", second.span.to(last.span), message)
                    .label("too many values")
            }
            _ => {
                let message = format!("{keyword} takes {wanted}, but none is given");
                Diagnostic::error("value-count", place, message).label("value missing")
            }
        };
        return Some(fault.help(format!("for example: {}", spec.example)));
    }
    (given > VALUES_LIMIT).then(|| {
        let message = format!("{keyword} has {given} values; the maximum is {VALUES_LIMIT}");
        Diagnostic::error("value-count", place, message).label("too many values")
    })
}

fn bad_value(kind: Type, span: Span, error: ParseError) -> Diagnostic {
    let label = match kind {
        Type::Choice(_) => "not an allowed value".to_owned(),
        _ => format!("expected {} here", kind.name()),
    };
    let fault = Diagnostic::error("bad-value", span, error.message).label(label);
    match error.help {
        Some(help) => fault.help(help),
        None => fault,
    }
}

fn unknown_directive(
    section: &'static schema::Section,
    keyword: &Argument,
    table: Table,
) -> Diagnostic {
    let (name, here) = (&keyword.text, section.keyword);
    let fault = Diagnostic::error(
        "unknown-directive",
        keyword.span,
        format!("unknown directive {name:?} in the section {here}"),
    )
    .label("unknown directive");
    if let Some(near) = nearest(name, section.directives.iter().map(|d| d.keyword)) {
        return fault.help(format!("did you mean {near}?"));
    }
    let elsewhere: Vec<&str> = table
        .iter()
        .filter(|s| s.directive(name).is_some())
        .map(|s| s.keyword)
        .collect();
    if !elsewhere.is_empty() {
        return fault.help(format!(
            "{name} is a directive of the section {}",
            elsewhere.join(" or ")
        ));
    }
    let known: Vec<&str> = section.directives.iter().map(|d| d.keyword).collect();
    fault.help(format!(
        "the directives of this section are {}",
        known.join(", ")
    ))
}

/// Adds a directive. A list may be continued by repeating its directive; a single value may be set only once.
fn add_setting(section: &mut Section, setting: Setting, faults: &mut Vec<Diagnostic>) {
    let Some(first) = section
        .settings
        .iter_mut()
        .find(|s| s.spec.keyword == setting.spec.keyword)
    else {
        section.settings.push(setting);
        return;
    };
    match setting.spec.args {
        Args::Many(_) => first.values.extend(setting.values),
        Args::One(_) | Args::Optional(_) => {
            let message = format!(
                "{} is set a second time in this section",
                setting.spec.keyword
            );
            let fault = Diagnostic::error("directive-twice", setting.span, message);
            faults.push(
                fault
                    .label("set again here")
                    .related(first.span, "first set here"),
            );
        }
    }
}
