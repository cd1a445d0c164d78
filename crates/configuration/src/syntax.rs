//! Splits a text into lines of words, braces and comments. The meaning of the words is determined in `check`.

use crate::diagnostic::Diagnostic;
use crate::source::{FileId, Span};
use logos::Logos;
use std::ops::Range;

/// Maximum length of a line, in bytes; a diagnostic prints the whole line to which it refers.
pub const LINE_LIMIT: usize = 16 << 10;

#[derive(Logos, Clone, Copy, Debug, PartialEq, Eq)]
enum Token {
    #[regex(r"[ \t]+")]
    Blank,
    #[regex(r"\r?\n")]
    Newline,
    #[regex(r"\\[ \t]*\r?\n")]
    Continuation,
    #[regex(r"#[^\n]*", allow_greedy = true)]
    Comment,
    #[token("{")]
    Open,
    #[token("}")]
    Close,
    #[regex(r#""([^"\\\n]|\\[^\n])*""#)]
    Double,
    #[regex(r"'[^'\n]*'")]
    Single,
    #[regex(r#""([^"\\\n]|\\[^\n])*\\?"#)]
    OpenDouble,
    #[regex(r"'[^'\n]*")]
    OpenSingle,
    #[regex(r##"([^\x00-\x20\x7f#"'\\{}$]|\$\{[^}\n]*\}|\$)+"##)]
    Word,
}

/// How a word is quoted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quote {
    /// Without quotes.
    Bare,
    /// In double quotes, with escapes.
    Double,
    /// In single quotes, without escapes.
    Single,
}

/// A word as written, including its quotes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Word {
    /// Place of the word.
    pub span: Span,
    /// Kind of quotes.
    pub quote: Quote,
    /// First word after a line continuation.
    pub continued: bool,
}

/// Content of a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A keyword and its values.
    Directive(Vec<Word>),
    /// Keyword and names of a section, followed by an opening brace. A line without words is invalid, which is reported.
    Open(Vec<Word>, Span),
    /// A closing brace.
    Close(Span),
    /// A comment alone.
    Comment,
}

/// A line with its continuation lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Content of the line.
    pub entry: Entry,
    /// The comment at the end of the line.
    pub comment: Option<Span>,
    /// The line follows a blank line.
    pub after_blank_line: bool,
}

/// The lines of a file.
#[derive(Debug, Default)]
pub struct Syntax {
    /// The lines, in order.
    pub lines: Vec<Line>,
    /// Syntax errors, at most one per line.
    pub faults: Vec<Diagnostic>,
}

/// Parses one file in time linear in its length. Reports every fault, but at most one per line.
pub fn parse(file: FileId, text: &str) -> Syntax {
    // A byte order mark is replaced by as many blanks, so that the offsets after it do not change.
    let text = match text.strip_prefix(BYTE_ORDER_MARK) {
        Some(_) => &text.replacen(BYTE_ORDER_MARK, "   ", 1),
        None => text,
    };
    let mut parser = Parser::default();
    for (token, range) in Token::lexer(text).spanned() {
        let span = Span::new(file, range.clone());
        match token {
            Ok(Token::Newline) => parser.end_line(),
            Ok(Token::Blank) => parser.line.needs_blank = false,
            Ok(token) => {
                parser.line_is_empty = false;
                parser.take(token, span, &text[range]);
            }
            Err(()) => {
                parser.line_is_empty = false;
                parser.report(unexpected_text(span, &text[range]));
            }
        }
    }
    parser.finish()
}

const BYTE_ORDER_MARK: char = '\u{feff}';

/// State of the line that is being parsed.
#[derive(Default)]
struct PendingLine {
    words: Vec<Word>,
    open: Option<Span>,
    close: Option<Span>,
    comment: Option<Span>,
    faulty: bool,
    /// The last token was a word: a blank is required before another word.
    needs_blank: bool,
    continued: bool,
}

struct Parser {
    syntax: Syntax,
    line: PendingLine,
    /// The line has only blanks so far.
    line_is_empty: bool,
    /// The line follows a blank line.
    after_blank_line: bool,
}

impl Default for Parser {
    fn default() -> Parser {
        Parser {
            syntax: Syntax::default(),
            line: PendingLine::default(),
            line_is_empty: true,
            after_blank_line: false,
        }
    }
}

impl Parser {
    /// Reports a fault if it is the first of its line.
    fn report(&mut self, fault: Diagnostic) {
        if !std::mem::replace(&mut self.line.faulty, true) {
            self.syntax.faults.push(fault);
        }
    }

    fn take(&mut self, token: Token, span: Span, text: &str) {
        match token {
            Token::Blank | Token::Newline => {}
            Token::Continuation => {
                self.line.needs_blank = false;
                self.line.continued = true;
            }
            // A carriage return and blanks at the end are not part of the comment.
            Token::Comment => {
                let start = span.range().start;
                let end = start + text.trim_end().len();
                self.line.comment = Some(Span::new(span.file, start..end));
            }
            Token::Open | Token::Close => self.take_brace(token, span),
            Token::Double => self.take_word(Quote::Double, span),
            Token::Single => self.take_word(Quote::Single, span),
            Token::Word => self.take_word(Quote::Bare, span),
            Token::OpenDouble | Token::OpenSingle => {
                let fault = Diagnostic::error("open-quote", span, "a quoted text is not closed");
                self.report(fault.label("the closing quote is missing on this line"));
            }
        }
    }

    fn take_brace(&mut self, token: Token, span: Span) {
        let is_open = token == Token::Open;
        if self.line.open.is_some()
            || self.line.close.is_some()
            || !is_open && !self.line.words.is_empty()
        {
            let fault = Diagnostic::error("brace-place", span, "unexpected brace")
                .label("a brace is not allowed here")
                .help("an opening brace must be the last word of its line; a closing brace must be on a line of its own");
            return self.report(fault);
        }
        if is_open && self.line.words.is_empty() {
            let message = "a section begins without a keyword";
            let fault = Diagnostic::error("nameless-section", span, message);
            self.report(fault.label("the keyword is missing before the brace"));
        }
        match is_open {
            true => self.line.open = Some(span),
            false => self.line.close = Some(span),
        }
        self.line.needs_blank = false;
    }

    fn take_word(&mut self, quote: Quote, span: Span) {
        if self.line.open.is_some() || self.line.close.is_some() {
            let message = "unexpected words after a brace";
            let fault = Diagnostic::error("brace-place", span, message);
            return self.report(fault.label("move this to a new line"));
        }
        if self.line.needs_blank {
            let message = "a quoted text must be separated from other words";
            let fault = Diagnostic::error("glued-words", span, message);
            return self.report(fault.label("add a blank before this word"));
        }
        self.line.words.push(Word {
            span,
            quote,
            continued: self.line.continued,
        });
        self.line.continued = false;
        self.line.needs_blank = true;
    }

    fn end_line(&mut self) {
        if std::mem::replace(&mut self.line_is_empty, true) {
            self.after_blank_line = true;
            return;
        }
        let line = std::mem::take(&mut self.line);
        // The brace of an invalid line is kept, so that its section is not reported as missing or not closed as well.
        if line.faulty && line.open.is_none() && line.close.is_none() {
            return;
        }
        let entry = match (line.open, line.close) {
            (Some(brace), _) => Entry::Open(line.words, brace),
            (None, Some(span)) => Entry::Close(span),
            (None, None) if !line.words.is_empty() => Entry::Directive(line.words),
            (None, None) if line.comment.is_some() => Entry::Comment,
            _ => return,
        };
        self.syntax.lines.push(Line {
            entry,
            comment: line.comment,
            after_blank_line: std::mem::take(&mut self.after_blank_line),
        });
    }

    /// Ends the last line, which may lack a newline.
    fn finish(mut self) -> Syntax {
        if !self.line_is_empty {
            self.end_line();
        }
        self.syntax
    }
}

fn unexpected_text(span: Span, text: &str) -> Diagnostic {
    if text.starts_with('\\') {
        let message = "a backslash is allowed only at the end of a line";
        return Diagnostic::error("stray-backslash", span, message)
            .label("not at the end of the line")
            .help("to write a backslash, use \\\\ inside double quotes");
    }
    let shown: String = text
        .chars()
        .take(1)
        .flat_map(char::escape_default)
        .collect();
    let message = format!("the character {shown} is not allowed here");
    Diagnostic::error("control-character", span, message).label("control character")
}

/// The range in bytes of the first line that is longer than [`LINE_LIMIT`].
pub fn find_long_line(text: &[u8]) -> Option<Range<usize>> {
    let mut start = 0;
    for line in text.split(|b| *b == b'\n') {
        if line.len() > LINE_LIMIT {
            return Some(start..start + line.len());
        }
        start += line.len() + 1;
    }
    None
}

/// Whether a character is allowed in a name.
pub(crate) fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '-' || c == '_'
}

/// Whether a text is a valid name: a letter, followed by letters, digits, `-` and `_`.
pub fn is_name(text: &str) -> bool {
    text.starts_with(|c: char| c.is_ascii_alphabetic()) && text.chars().all(is_name_char)
}
