//! The directive `include`: reads one file, or all files that match a pattern.

use super::Loading;
use crate::diagnostic::Diagnostic;
use crate::document::{Argument, RawDirective};
use glob::Pattern;
use std::path::{Component, Path, PathBuf};

/// Characters that make a path a pattern.
const WILDCARDS: [char; 3] = ['*', '?', '['];

impl Loading<'_> {
    /// Reads the files that the directive names. `path`: the file that contains the directive.
    pub(super) fn include(&mut self, directive: &RawDirective, path: &Path) {
        let [target] = directive.args.as_slice() else {
            let fault = Diagnostic::error(
                "include-form",
                directive.span(),
                "include takes exactly one file name or pattern",
            );
            return self.report(fault.label(format!("{} are given", directive.args.len())));
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
            Err(fault) => return self.report(*fault),
        };
        let mut names = match self.loader.names(&parent) {
            Ok(names) => names,
            Err(problem) => {
                let shown = parent.display();
                let fault = Diagnostic::error(
                    "unreadable-file",
                    target.span,
                    format!("cannot read the directory {shown}: {problem}"),
                );
                return self.report(fault.label("directory named here"));
            }
        };
        names.retain(|name| pattern.matches(name) && !name.starts_with('.'));
        names.sort();
        if names.is_empty() {
            let fault = Diagnostic::warning(
                "empty-include",
                target.span,
                "the include pattern matches no file",
            );
            self.faults.push(fault.label("nothing is included"));
        }
        for name in names {
            self.file(&parent.join(name), Some(target.span));
        }
    }
}

/// Splits a path into its directory and the pattern for file names in it.
fn split_pattern(
    target: &Argument,
    full_path: &Path,
) -> Result<(PathBuf, Pattern), Box<Diagnostic>> {
    let (Some(parent), Some(last)) = (full_path.parent(), full_path.file_name()) else {
        let fault = Diagnostic::error(
            "include-form",
            target.span,
            "the include pattern does not name a file",
        );
        return Err(Box::new(fault.label("file name missing at the end")));
    };
    let has_wildcard = |c: Component<'_>| c.as_os_str().to_string_lossy().contains(WILDCARDS);
    let pattern = Pattern::new(&last.to_string_lossy());
    match pattern {
        Ok(pattern) if !parent.components().any(has_wildcard) => {
            Ok((parent.to_path_buf(), pattern))
        }
        _ => {
            let fault = Diagnostic::error("include-form", target.span, "invalid include pattern");
            let fault = fault.label("invalid pattern");
            Err(Box::new(fault.help(
                "*, ? and [...] are allowed only in the last component of the path",
            )))
        }
    }
}
