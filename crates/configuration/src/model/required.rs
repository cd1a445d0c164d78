//! Checks for required sections and directives.

use crate::check::Section;
use crate::diagnostic::Diagnostic;

/// Reports a section that has no effect without the section `members`.
pub(super) fn require_members(
    sections: &[Section],
    section: &Section,
    feature: &str,
    label: &str,
    faults: &mut Vec<Diagnostic>,
) {
    if !sections.iter().any(|s| s.spec.keyword == "members") {
        let message = format!("{feature} is configured without a section members");
        let fault = Diagnostic::error("missing", section.span, message).label(label);
        faults.push(fault.help(
            "add a section members { ... } and a section member NAME { ... } for each proxy",
        ));
    }
}

/// Reports a section without one of its required directives; `owner`: the section's name in the message.
pub(super) fn require_directive(
    section: &Section,
    keyword: &'static str,
    owner: &str,
    faults: &mut Vec<Diagnostic>,
) {
    // An invalid line of the section may have set the directive.
    if section.partial || section.setting(keyword).is_some() {
        return;
    }
    let example = section.spec.directive(keyword).map_or("", |d| d.example);
    let fault = Diagnostic::error(
        "missing",
        section.span,
        format!("{owner} requires the directive {keyword}"),
    );
    faults.push(
        fault
            .label(format!("{keyword} is missing here"))
            .help(format!("for example: {example}")),
    );
}
