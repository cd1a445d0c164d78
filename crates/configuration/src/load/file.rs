//! Reads one file: checks whether it may be included here, and converts its bytes to text.

use super::files::file_name;
use super::{Loading, DEPTH_LIMIT, FILES_LIMIT, FILE_LIMIT};
use crate::diagnostic::Diagnostic;
use crate::source::{FileId, Span};
use crate::syntax;
use std::path::{Path, PathBuf};

/// Number of bytes shown of a line that is too long.
const SHOWN_OF_LONG_LINE: usize = 80;

impl Loading<'_> {
    /// Reads a file and all files that it includes. `from`: the place of the include; `None` for the main file.
    pub(super) fn file(&mut self, path: &Path, from: Option<Span>) {
        let name = path.display().to_string();
        let identity = match self.loader.identity(path) {
            Ok(identity) => identity,
            Err(problem) => return self.report_unreadable(&name, from, &problem),
        };
        if self.report_repeated(&name, &identity, from) || self.report_too_many(&name, from) {
            return;
        }
        let bytes = match self.loader.read(path) {
            Ok(bytes) => bytes,
            Err(problem) => return self.report_unreadable(&name, from, &problem),
        };
        self.first_includes.insert(identity.clone(), from);
        let Some(file) = self.text(&name, bytes) else {
            return;
        };
        self.stack.push(identity);
        self.lines(file, path);
        self.stack.pop();
    }

    /// The place at which a fault of a file that was not read is reported: its include, or an empty text with its name.
    fn place_of(&mut self, name: &str, from: Option<Span>) -> Span {
        from.unwrap_or_else(|| Span::new(self.sources.add(name.to_owned(), String::new()), 0..0))
    }

    fn report_unreadable(&mut self, name: &str, from: Option<Span>, problem: &str) {
        let at = self.place_of(name, from);
        let message = format!("cannot read {name}: {problem}");
        self.report(Diagnostic::error("unreadable-file", at, message).label("file named here"));
    }

    /// Reports a file that is being read or was read already. Returns whether it was.
    fn report_repeated(&mut self, name: &str, identity: &PathBuf, from: Option<Span>) -> bool {
        if let Some(first) = self.stack.iter().position(|open| open == identity) {
            let chain: Vec<String> = self.stack[first..]
                .iter()
                .chain([identity])
                .map(|p| file_name(p))
                .collect();
            let at = self.place_of(name, from);
            let fault = Diagnostic::error("include-loop", at, format!("{name} includes itself"))
                .label("this include closes the cycle")
                .help(format!("the include cycle is {}", chain.join(" -> ")));
            self.report(fault);
            return true;
        }
        let Some(first) = self.first_includes.get(identity).copied() else {
            return false;
        };
        let at = self.place_of(name, from);
        let message = format!("{name} is included a second time");
        let mut fault =
            Diagnostic::error("include-twice", at, message).label("included again here");
        if let Some(first) = first {
            fault = fault.related(first, "first included here");
        }
        self.report(fault);
        true
    }

    /// Reports an include beyond the limits of depth or number. Returns whether it was.
    fn report_too_many(&mut self, name: &str, from: Option<Span>) -> bool {
        let message = if self.stack.len() >= DEPTH_LIMIT {
            format!("includes are nested more than {DEPTH_LIMIT} levels deep")
        } else if self.first_includes.len() >= FILES_LIMIT {
            format!("the configuration has more than {FILES_LIMIT} files")
        } else {
            return false;
        };
        let at = self.place_of(name, from);
        self.report(Diagnostic::error("include-depth", at, message).label("limit exceeded here"));
        true
    }

    /// Adds the bytes to the sources if they are UTF-8 text within the limits.
    fn text(&mut self, name: &str, bytes: Vec<u8>) -> Option<FileId> {
        if bytes.len() > FILE_LIMIT {
            let file = self.sources.add(name.to_owned(), String::new());
            let length = bytes.len();
            let message = format!("{name} has {length} bytes; the maximum is {FILE_LIMIT}");
            let span = Span::new(file, 0..0);
            self.report(Diagnostic::error("large-file", span, message));
            return None;
        }
        if let Some(range) = syntax::find_long_line(&bytes) {
            // The snippet shows only the start of the line.
            let shown = &bytes[..range.start + SHOWN_OF_LONG_LINE];
            let shown = String::from_utf8_lossy(shown).into_owned();
            let end = shown.len();
            let file = self.sources.add(name.to_owned(), shown);
            let (length, limit) = (range.len(), syntax::LINE_LIMIT);
            let message = format!("a line has {length} bytes; the maximum is {limit}");
            let span = Span::new(file, range.start.min(end)..end);
            self.report(
                Diagnostic::error("long-line", span, message).label("the line begins here"),
            );
            return None;
        }
        match String::from_utf8(bytes) {
            Ok(text) => Some(self.sources.add(name.to_owned(), text)),
            Err(error) => {
                self.report_not_text(name, &error);
                None
            }
        }
    }

    fn report_not_text(&mut self, name: &str, error: &std::string::FromUtf8Error) {
        let at = error.utf8_error().valid_up_to();
        let byte = error.as_bytes()[at];
        let shown = String::from_utf8_lossy(error.as_bytes()).into_owned();
        let file = self.sources.add(name.to_owned(), shown);
        let span = Span::new(file, at..at + char::REPLACEMENT_CHARACTER.len_utf8());
        let message = format!("the byte 0x{byte:02x} is not valid UTF-8 text");
        self.report(Diagnostic::error("not-utf8", span, message).label("invalid byte"));
    }
}
