//! Collects the sections of one file, and the directives inside and outside of sections.

use super::Loading;
use crate::diagnostic::{nearest, Diagnostic};
use crate::document::{Argument, RawDirective, RawSection};
use crate::source::{FileId, Span};
use crate::syntax::{self, Entry, Word};
use std::path::Path;

/// Position relative to the sections of a file.
#[derive(Default)]
struct Nesting {
    open: Option<RawSection>,
    /// Depth of sections nested in the open one; only the first is reported.
    nested: usize,
}

impl Loading<'_> {
    pub(super) fn lines(&mut self, file: FileId, path: &Path) {
        let text = self
            .sources
            .get(file)
            .map(|f| f.text.clone())
            .unwrap_or_default();
        let parsed = syntax::parse(file, &text);
        if !parsed.faults.is_empty() {
            self.document.partial = true;
            self.faults.extend(parsed.faults);
        }
        let mut nesting = Nesting::default();
        for line in parsed.lines {
            match line.entry {
                Entry::Comment => {}
                Entry::Open(words, brace) => self.open(&mut nesting, &words, brace, &text),
                Entry::Close(span) => self.close(&mut nesting, span),
                Entry::Directive(_) if nesting.nested > 0 => {}
                Entry::Directive(words) => {
                    self.directive(&words, &text, path, &mut nesting.open);
                }
            }
        }
        if let Some(section) = nesting.open {
            self.end_unclosed(section);
        }
    }

    fn open(&mut self, nesting: &mut Nesting, words: &[Word], brace: Span, text: &str) {
        if let Some(outer) = &nesting.open {
            nesting.nested += 1;
            if nesting.nested == 1 {
                let at = words.first().map_or(brace, |w| w.span);
                let fault = Diagnostic::error("nested-section", at, "sections cannot be nested")
                    .label("a section begins inside another one")
                    .related(outer.keyword.span, "this section is still open");
                self.report(fault);
            }
            return;
        }
        // A section without a valid keyword is kept with an empty one, so that its lines are skipped; its fault was reported.
        let mut args = self.expand(words, text).unwrap_or_default();
        if args.is_empty() {
            args.push(Argument {
                text: String::new(),
                span: brace,
            });
        }
        let keyword = args.remove(0);
        nesting.open = Some(RawSection {
            keyword,
            names: args,
            directives: Vec::new(),
            partial: false,
        });
    }

    fn close(&mut self, nesting: &mut Nesting, span: Span) {
        if nesting.nested > 0 {
            nesting.nested -= 1;
            return;
        }
        match nesting.open.take() {
            Some(section) => self.document.sections.push(section),
            None => {
                let fault = Diagnostic::error("stray-brace", span, "unexpected closing brace");
                self.report(fault.label("no section is open here"));
            }
        }
    }

    /// Reports a section that is still open at the end of the file, and keeps it.
    fn end_unclosed(&mut self, section: RawSection) {
        let keyword = &section.keyword;
        if keyword.text.is_empty() {
            return;
        }
        let message = format!("the section {} is not closed", keyword.text);
        let fault =
            Diagnostic::error("open-section", keyword.span, message).label("section begins here");
        self.report(fault.help("add a line with a closing brace at its end"));
        self.document.sections.push(section);
    }

    fn directive(
        &mut self,
        words: &[Word],
        text: &str,
        path: &Path,
        open: &mut Option<RawSection>,
    ) {
        let word = &text[words[0].span.range()];
        if open.is_none() && word == "define" {
            return self.define(words, text);
        }
        if let Some(section) = open
            .as_ref()
            .filter(|_| word == "include" || word == "define")
        {
            let message = format!("{word} is not allowed inside a section");
            let fault = Diagnostic::error("misplaced-directive", words[0].span, message)
                .label("move this outside of all sections")
                .related(section.keyword.span, "this section is open");
            return self.report(fault);
        }
        let Some(mut args) = self.expand(words, text).filter(|args| !args.is_empty()) else {
            if let Some(section) = open {
                section.partial = true;
            }
            return;
        };
        let keyword = args.remove(0);
        let directive = RawDirective { keyword, args };
        match open {
            Some(section) => section.directives.push(directive),
            None if directive.keyword.text == "include" => self.include(&directive, path),
            None => self.report_outside(&directive.keyword),
        }
    }

    /// Reports a directive outside of all sections that is neither define nor include.
    fn report_outside(&mut self, keyword: &Argument) {
        let known = self.table.iter().map(|s| s.keyword);
        let hint = if let Some(name) = known.clone().find(|k| *k == keyword.text) {
            format!("the first line of a section ends with an opening brace: {name} NAME {{")
        } else if let Some(name) = nearest(&keyword.text, known.chain(["include", "define"])) {
            format!("did you mean {name}?")
        } else {
            "only define, include and sections are allowed at the top level".into()
        };
        let message = format!("{:?} is not allowed outside of a section", keyword.text);
        let fault = Diagnostic::error("outside-section", keyword.span, message);
        self.report(fault.label("not allowed here").help(hint));
    }
}
