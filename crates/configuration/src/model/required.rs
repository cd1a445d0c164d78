//! Sections and directives that have to be there.

use crate::check::Section;
use crate::diagnostic::Diagnostic;

/// Reports a section that has no effect without the section `members`.
pub(super) fn require_members(
    sections: &[Section],
    section: &Section,
    what: &str,
    label: &str,
    faults: &mut Vec<Diagnostic>,
) {
    if !sections.iter().any(|s| s.spec.keyword == "members") {
        let message = format!("{what} is stated, but no section members");
        let fault = Diagnostic::error("missing", section.span, message).label(label);
        faults.push(fault.help("write a section members { ... } and the roster"));
    }
}

/// Reports a section without one of its directives; `whose`: the section, as the message names it.
pub(super) fn require_directive(
    section: &Section,
    keyword: &'static str,
    whose: &str,
    faults: &mut Vec<Diagnostic>,
) {
    // A line of a section that could not be read may have stated it.
    if section.partial || section.setting(keyword).is_some() {
        return;
    }
    let example = section.spec.directive(keyword).map_or("", |d| d.example);
    let fault = Diagnostic::error("missing", section.span, format!("{whose} has no {keyword}"));
    faults.push(
        fault
            .label(format!("{keyword} is missing here"))
            .help(format!("for example: {example}")),
    );
}
