//! Variables: the directive `define`, and the replacement of variables in words.

use super::{Loading, EXPANDED_LIMIT};
use crate::diagnostic::{nearest, Diagnostic};
use crate::document::Argument;
use crate::source::Span;
use crate::syntax::{is_name, is_name_char, Quote, Word};

/// The definition of a variable.
pub(super) struct Define {
    pub values: Vec<String>,
    /// Place of the variable's name.
    pub span: Span,
    pub used: bool,
}

impl Loading<'_> {
    /// The directive `define`; `words` begin with its keyword.
    pub(super) fn define(&mut self, words: &[Word], text: &str) {
        let (name, place, values) = match self.check_define(words, text) {
            Ok(parts) => parts,
            Err(fault) => return self.report(*fault),
        };
        // A variable with an invalid value is defined nevertheless, so that its uses are not reported as well.
        let values = self.expand(values, text).unwrap_or_default();
        let define = Define {
            values: values.into_iter().map(|arg| arg.text).collect(),
            span: place,
            used: false,
        };
        self.defines.insert(name, define);
    }

    /// The variable's name, the place of the name, and the words of its value.
    fn check_define<'w>(
        &self,
        words: &'w [Word],
        text: &str,
    ) -> Result<(String, Span, &'w [Word]), Box<Diagnostic>> {
        let span = words[0].span.to(words[words.len() - 1].span);
        let [_, name, values @ ..] = words else {
            let fault =
                Diagnostic::error("define-form", span, "define requires a name and a value");
            return Err(fault.label("expected define NAME VALUE ...").into());
        };
        let place = name.span;
        let name = text[place.range()].to_owned();
        if values.is_empty() {
            let message = format!("the variable {name} is defined without a value");
            let fault = Diagnostic::error("define-form", span, message);
            return Err(fault.label("expected define NAME VALUE ...").into());
        }
        if !is_name(&name) {
            let message = format!("{name} is not a valid name of a variable");
            let fault = Diagnostic::error("define-form", place, message).label("invalid name");
            let help = "a name begins with a letter and contains only letters, digits, - and _";
            return Err(fault.help(help).into());
        }
        if let Some(first) = self.defines.get(&name) {
            let message = format!("the variable {name} is defined a second time");
            let fault =
                Diagnostic::error("define-twice", place, message).label("defined again here");
            return Err(fault.related(first.span, "first defined here").into());
        }
        Ok((name, place, values))
    }

    /// Words with their variables replaced; `None` if one of them is invalid, which is reported.
    pub(super) fn expand(&mut self, words: &[Word], text: &str) -> Option<Vec<Argument>> {
        let mut args = Vec::with_capacity(words.len());
        for word in words {
            let written = &text[word.span.range()];
            let span = word.span;
            match word.quote {
                Quote::Single => args.push(Argument {
                    text: written[1..written.len() - 1].to_owned(),
                    span,
                }),
                Quote::Bare if !written.contains('$') => args.push(Argument {
                    text: written.to_owned(),
                    span,
                }),
                Quote::Bare => self.expand_bare(written, span, &mut args)?,
                Quote::Double => {
                    let text = self.interpolate(&written[1..written.len() - 1], span, true)?;
                    args.push(Argument { text, span });
                }
            }
        }
        Some(args)
    }

    /// A variable that is a whole word expands to all words of its value.
    fn expand_bare(&mut self, written: &str, span: Span, args: &mut Vec<Argument>) -> Option<()> {
        let alone = written.strip_prefix('$').map(|n| {
            n.strip_prefix('{')
                .and_then(|n| n.strip_suffix('}'))
                .unwrap_or(n)
        });
        if let Some(name) = alone.filter(|name| is_name(name)) {
            let values = self.variable(name, span)?;
            args.extend(values.into_iter().map(|text| Argument { text, span }));
        } else {
            let text = self.interpolate(written, span, false)?;
            args.push(Argument { text, span });
        }
        Some(())
    }

    /// A word with the variables inside it replaced; `escapes`: backslashes begin escape sequences.
    fn interpolate(&mut self, written: &str, span: Span, escapes: bool) -> Option<String> {
        let mut out = String::with_capacity(written.len());
        let mut rest = written;
        while let Some(at) = rest.find(['$', '\\']) {
            out.push_str(&rest[..at]);
            let (special, after) = rest[at..].split_at(1);
            if special == "$" {
                let (name, behind) = split_name(after);
                out.push_str(&self.single_word(name, span)?);
                rest = behind;
            } else if escapes {
                let next = after.chars().next()?;
                out.push(self.unescape(next, span)?);
                rest = &after[next.len_utf8()..];
            } else {
                out.push('\\');
                rest = after;
            }
        }
        out.push_str(rest);
        Some(out)
    }

    fn unescape(&mut self, next: char, span: Span) -> Option<char> {
        match next {
            'n' => Some('\n'),
            't' => Some('\t'),
            '"' | '\\' | '$' => Some(next),
            _ => {
                let fault = Diagnostic::error(
                    "unknown-escape",
                    span,
                    format!("unknown escape sequence \\{next}"),
                );
                self.report(
                    fault
                        .label("in this quoted text")
                        .help(r#"the known escape sequences are \n \t \" \\ and \$"#),
                );
                None
            }
        }
    }

    /// The value of a variable inside a word; it must be a single word.
    fn single_word(&mut self, name: &str, span: Span) -> Option<String> {
        if !is_name(name) {
            let fault = Diagnostic::error(
                "variable-form",
                span,
                "the character $ is not followed by the name of a variable",
            );
            self.report(
                fault
                    .label("in this word")
                    .help("to write the character $ itself, use \\$ inside double quotes"),
            );
            return None;
        }
        let mut values = self.variable(name, span)?;
        if values.len() == 1 {
            return values.pop();
        }
        let message = format!(
            "the variable {name} has {} words and can't be part of a single word",
            values.len()
        );
        let fault = Diagnostic::error("variable-form", span, message);
        let defined = self.defines[name].span;
        self.report(
            fault
                .label("used here as part of a word")
                .related(defined, "defined here"),
        );
        None
    }

    fn variable(&mut self, name: &str, span: Span) -> Option<Vec<String>> {
        let Some(define) = self.defines.get_mut(name) else {
            self.report_unknown(name, span);
            return None;
        };
        define.used = true;
        let values = define.values.clone();
        let bytes = values.iter().map(String::len).sum::<usize>();
        self.expanded += bytes;
        if self.expanded <= EXPANDED_LIMIT {
            return Some(values);
        }
        // Reported only once, at the use that crosses the limit.
        if self.expanded - EXPANDED_LIMIT <= bytes {
            let message = format!("variables expand to more than {EXPANDED_LIMIT} bytes in total");
            self.report(Diagnostic::error("expansion", span, message).label("limit exceeded here"));
        }
        None
    }

    fn report_unknown(&mut self, name: &str, span: Span) {
        let hint = match nearest(name, self.defines.keys().map(String::as_str)) {
            Some(other) => format!("did you mean ${other}?"),
            None => "define the variable before the line that uses it".into(),
        };
        let message = format!("the variable {name} is not defined");
        let fault = Diagnostic::error("unknown-variable", span, message).label("used here");
        self.report(fault.help(hint));
    }
}

/// Splits the text after a `$` into the variable's name, with or without braces, and the rest.
fn split_name(after: &str) -> (&str, &str) {
    if let Some(parts) = after.strip_prefix('{').and_then(|n| n.split_once('}')) {
        return parts;
    }
    let end = after
        .find(|c: char| !is_name_char(c))
        .unwrap_or(after.len());
    after.split_at(end)
}
