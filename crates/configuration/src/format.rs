//! The canonical form of a file. Words, comments and groups of lines are kept; indentation and blanks are normalized and
//! unnecessary quotes removed.

use crate::source::FileId;
use crate::syntax::{self, Entry, Quote, Word};

const INDENT: &str = "    ";
/// Maximum depth of the indentation. Sections don't nest, but the lines of an invalid file may look as if they did, and
/// their indentation would become longer than the text.
const MAX_INDENT_DEPTH: usize = 4;

/// The canonical form of a text; `None` if the text has syntax faults, since a text that can't be parsed must not be
/// rewritten.
pub fn format(text: &str) -> Option<String> {
    let syntax = syntax::parse(FileId(0), text);
    if !syntax.faults.is_empty() {
        return None;
    }
    // The offsets of `syntax` refer to the text with its byte order mark replaced by blanks.
    let text = match text.strip_prefix('\u{feff}') {
        Some(_) => &text.replacen('\u{feff}', "   ", 1),
        None => text,
    };
    let mut out = String::with_capacity(text.len());
    let mut depth = 0_usize;
    let mut at_section_start = true;
    for line in &syntax.lines {
        if let Entry::Close(_) = line.entry {
            depth = depth.saturating_sub(1);
        }
        if line.after_blank_line && !at_section_start && !matches!(line.entry, Entry::Close(_)) {
            out.push('\n');
        }
        let indent = INDENT.repeat(depth.min(MAX_INDENT_DEPTH));
        out.push_str(&indent);
        at_section_start = false;
        match &line.entry {
            Entry::Directive(all) => write_words(&mut out, text, all, &indent),
            Entry::Open(all, _) => {
                write_words(&mut out, text, all, &indent);
                out.push_str(" {");
                depth += 1;
                at_section_start = true;
            }
            Entry::Close(_) => out.push('}'),
            Entry::Comment => {}
        }
        if let Some(comment) = line.comment {
            if line.entry != Entry::Comment {
                out.push_str("  ");
            }
            out.push_str(&text[comment.range()]);
        }
        out.push('\n');
    }
    Some(out)
}

fn write_words(out: &mut String, text: &str, words: &[Word], indent: &str) {
    for (at, word) in words.iter().enumerate() {
        if word.continued && at > 0 {
            out.push_str(" \\\n");
            out.push_str(indent);
            out.push_str(INDENT);
        } else if at > 0 {
            out.push(' ');
        }
        let written = &text[word.span.range()];
        let inside = written
            .get(1..written.len().saturating_sub(1))
            .unwrap_or_default();
        match word.quote {
            Quote::Double | Quote::Single if needs_no_quotes(inside) => out.push_str(inside),
            _ => out.push_str(written),
        }
    }
}

/// Whether a quoted text means the same without quotes.
fn needs_no_quotes(text: &str) -> bool {
    let safe = |c: char| c.is_ascii_alphanumeric() || "-_.:/%*+,=@?".contains(c);
    !text.is_empty() && text.chars().all(safe)
}
