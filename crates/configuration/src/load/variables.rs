//! Variables: the directive `define`, and the words in which variables are replaced.

use super::{Loading, EXPANDED_LIMIT};
use crate::diagnostic::{nearest, Diagnostic};
use crate::document::Argument;
use crate::source::Span;
use crate::syntax::{is_name, is_name_char, Quote, Word};

/// A variable.
pub(super) struct Define {
    pub values: Vec<String>,
    /// Where its name stands.
    pub span: Span,
    pub used: bool,
}

impl Loading<'_> {
    /// The directive `define`; `words` begin with its keyword.
    pub(super) fn define(&mut self, words: &[Word], text: &str) {
        let (name, place, values) = match self.check_define(words, text) {
            Ok(parts) => parts,
            Err(fault) => return self.fail(*fault),
        };
        // A variable whose value is faulty is defined all the same, so that its uses are not reported as well.
        let values = self.expand(values, text).unwrap_or_default();
        let define = Define {
            values: values.into_iter().map(|arg| arg.text).collect(),
            span: place,
            used: false,
        };
        self.defines.insert(name, define);
    }

    /// The variable's name, where it stands, and the words of its value.
    fn check_define<'w>(
        &self,
        words: &'w [Word],
        text: &str,
    ) -> Result<(String, Span, &'w [Word]), Box<Diagnostic>> {
        let span = words[0].span.to(words[words.len() - 1].span);
        let [_, name, values @ ..] = words else {
            let fault = Diagnostic::error("define-form", span, "define needs a name and a value");
            return Err(fault.label("define NAME VALUE ...").into());
        };
        let place = name.span;
        let name = text[place.range()].to_owned();
        if values.is_empty() {
            let message = format!("the variable {name} gets no value");
            let fault = Diagnostic::error("define-form", span, message);
            return Err(fault.label("define NAME VALUE ...").into());
        }
        if !is_name(&name) {
            let message = format!("{name} can't name a variable");
            let fault = Diagnostic::error("define-form", place, message).label("not a name");
            let help = "a name begins with a letter and holds letters, digits, - and _";
            return Err(fault.help(help).into());
        }
        if let Some(first) = self.defines.get(&name) {
            let message = format!("the variable {name} is defined a second time");
            let fault = Diagnostic::error("define-twice", place, message).label("again here");
            return Err(fault.related(first.span, "first defined here").into());
        }
        Ok((name, place, values))
    }

    /// Words with their variables replaced; none if one of them is faulty, which is reported.
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

    /// A variable that stands alone brings all its words.
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

    /// A word with the variables inside it replaced; `escapes`: a backslash stands before a character.
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
                    format!("\\{next} stands for nothing"),
                );
                self.fail(
                    fault
                        .label("in this text")
                        .help(r#"known are \n \t \" \\ and \$"#),
                );
                None
            }
        }
    }

    /// The value of a variable inside a word, which has to be one word.
    fn single_word(&mut self, name: &str, span: Span) -> Option<String> {
        if !is_name(name) {
            let fault = Diagnostic::error(
                "variable-form",
                span,
                "a $ stands before no variable's name",
            );
            self.fail(
                fault
                    .label("in this word")
                    .help("inside double quotes \\$ stands for the character itself"),
            );
            return None;
        }
        let mut values = self.variable(name, span)?;
        if values.len() == 1 {
            return values.pop();
        }
        let message = format!(
            "the variable {name} holds {} words and can't be part of one",
            values.len()
        );
        let fault = Diagnostic::error("variable-form", span, message);
        let defined = self.defines[name].span;
        self.fail(
            fault
                .label("used here as part of a word")
                .related(defined, "defined here"),
        );
        None
    }

    fn variable(&mut self, name: &str, span: Span) -> Option<Vec<String>> {
        let Some(define) = self.defines.get_mut(name) else {
            self.fail_unknown(name, span);
            return None;
        };
        define.used = true;
        let values = define.values.clone();
        let bytes = values.iter().map(String::len).sum::<usize>();
        self.expanded += bytes;
        if self.expanded <= EXPANDED_LIMIT {
            return Some(values);
        }
        // Reported once, where the limit was crossed.
        if self.expanded - EXPANDED_LIMIT <= bytes {
            let message = format!("variables bring more than {EXPANDED_LIMIT} bytes");
            self.fail(Diagnostic::error("expansion", span, message).label("one too many"));
        }
        None
    }

    fn fail_unknown(&mut self, name: &str, span: Span) {
        let hint = match nearest(name, self.defines.keys().map(String::as_str)) {
            Some(other) => format!("did you mean ${other}?"),
            None => "a variable is defined before the line that uses it".into(),
        };
        let message = format!("the variable {name} is not defined");
        let fault = Diagnostic::error("unknown-variable", span, message).label("used here");
        self.fail(fault.help(hint));
    }
}

/// The name behind a `$`, in braces or not, and what stands behind it.
fn split_name(after: &str) -> (&str, &str) {
    if let Some(parts) = after.strip_prefix('{').and_then(|n| n.split_once('}')) {
        return parts;
    }
    let end = after
        .find(|c: char| !is_name_char(c))
        .unwrap_or(after.len());
    after.split_at(end)
}
