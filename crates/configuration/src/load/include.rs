//! The directive `include`: one file, or all that match a pattern.

use super::Loading;
use crate::diagnostic::Diagnostic;
use crate::document::{Argument, RawDirective};
use glob::Pattern;
use std::path::{Component, Path, PathBuf};

/// Characters of which a pattern has at least one.
const WILDCARDS: [char; 3] = ['*', '?', '['];

impl Loading<'_> {
    /// `path`: the file in which the directive stands.
    pub(super) fn include(&mut self, directive: &RawDirective, path: &Path) {
        let [target] = directive.args.as_slice() else {
            let fault = Diagnostic::error(
                "include-form",
                directive.span(),
                "include takes one file or pattern",
            );
            return self.fail(fault.label(format!("{} are given", directive.args.len())));
        };
        let folder = path.parent().unwrap_or(Path::new(""));
        let full_path = folder.join(&target.text);
        if target.text.contains(WILDCARDS) {
            self.include_pattern(target, &full_path);
        } else {
            self.file(&full_path, Some(target.span));
        }
    }

    fn include_pattern(&mut self, target: &Argument, full_path: &Path) {
        let (parent, pattern) = match split_pattern(target, full_path) {
            Ok(parts) => parts,
            Err(fault) => return self.fail(*fault),
        };
        let mut names = match self.loader.names(&parent) {
            Ok(names) => names,
            Err(problem) => {
                let shown = parent.display();
                let fault = Diagnostic::error(
                    "unreadable-file",
                    target.span,
                    format!("the folder {shown} can't be read: {problem}"),
                );
                return self.fail(fault.label("named here"));
            }
        };
        names.retain(|name| pattern.matches(name) && !name.starts_with('.'));
        names.sort();
        if names.is_empty() {
            let fault =
                Diagnostic::warning("empty-include", target.span, "the pattern matches no file");
            self.faults.push(fault.label("nothing is included"));
        }
        for name in names {
            self.file(&parent.join(name), Some(target.span));
        }
    }
}

/// The folder, and the pattern that names in it have to match.
fn split_pattern(
    target: &Argument,
    full_path: &Path,
) -> Result<(PathBuf, Pattern), Box<Diagnostic>> {
    let (Some(parent), Some(last)) = (full_path.parent(), full_path.file_name()) else {
        let fault = Diagnostic::error("include-form", target.span, "the pattern names no file");
        return Err(Box::new(fault.label("ends in no name")));
    };
    let has_wildcard = |c: Component<'_>| c.as_os_str().to_string_lossy().contains(WILDCARDS);
    let pattern = Pattern::new(&last.to_string_lossy());
    match pattern {
        Ok(pattern) if !parent.components().any(has_wildcard) => {
            Ok((parent.to_path_buf(), pattern))
        }
        _ => {
            let fault = Diagnostic::error("include-form", target.span, "the pattern can't be read");
            let fault = fault.label("not a pattern");
            Err(Box::new(fault.help(
                "*, ? and [...] stand in the last part of the path only",
            )))
        }
    }
}
