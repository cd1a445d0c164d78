//! Text to lines of words, braces and comments. What the words mean is for `check`.

use crate::diagnostic::Diagnostic;
use crate::source::{FileId, Span};
use logos::Logos;
use std::ops::Range;

/// Longest line, in bytes: a diagnostic shows the line that it is about.
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
    /// In single quotes, as it stands.
    Single,
}

/// A word as it is written, quotes included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Word {
    /// Where it stands.
    pub span: Span,
    /// How it is quoted.
    pub quote: Quote,
    /// It stands on a continued line.
    pub continued: bool,
}

/// What stands on a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A keyword and its values.
    Directive(Vec<Word>),
    /// The same, with an opening brace behind it. Without words the line is faulty, and reported.
    Open(Vec<Word>, Span),
    /// A closing brace.
    Close(Span),
    /// Nothing but the comment.
    Comment,
}

/// A line, with its continuations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// What stands on it.
    pub entry: Entry,
    /// The comment behind it.
    pub comment: Option<Span>,
    /// Blank lines stand before it.
    pub apart: bool,
}

/// The lines of a file.
#[derive(Debug, Default)]
pub struct Syntax {
    /// In their order.
    pub lines: Vec<Line>,
    /// What was wrong, at most one fault a line.
    pub faults: Vec<Diagnostic>,
}

/// Reads one file. Linear in its length; every fault is reported, at most one a line.
pub fn parse(file: FileId, text: &str) -> Syntax {
    // Blanks in place of a byte order mark, so that no place behind it moves.
    let text = match text.strip_prefix(BYTE_ORDER_MARK) {
        Some(_) => &text.replacen(BYTE_ORDER_MARK, "   ", 1),
        None => text,
    };
    let mut parser = Parser::default();
    for (token, range) in Token::lexer(text).spanned() {
        let span = Span::new(file, range.clone());
        match token {
            Ok(Token::Newline) => parser.end_line(),
            Ok(Token::Blank) => parser.line.glued = false,
            Ok(token) => {
                parser.line_is_empty = false;
                parser.take(token, span, &text[range]);
            }
            Err(()) => {
                parser.line_is_empty = false;
                parser.fail(stray(span, &text[range]));
            }
        }
    }
    parser.finish()
}

const BYTE_ORDER_MARK: char = '\u{feff}';

/// The line that is being read.
#[derive(Default)]
struct PendingLine {
    words: Vec<Word>,
    open: Option<Span>,
    close: Option<Span>,
    comment: Option<Span>,
    faulty: bool,
    /// The last token was part of a word: what follows must stand apart from it.
    glued: bool,
    continued: bool,
}

struct Parser {
    syntax: Syntax,
    line: PendingLine,
    /// Nothing but blanks stands on the line so far.
    line_is_empty: bool,
    /// Blank lines stand before the line.
    apart: bool,
}

impl Default for Parser {
    fn default() -> Parser {
        Parser {
            syntax: Syntax::default(),
            line: PendingLine::default(),
            line_is_empty: true,
            apart: false,
        }
    }
}

impl Parser {
    /// Reports a fault, if it is the first of its line.
    fn fail(&mut self, fault: Diagnostic) {
        if !std::mem::replace(&mut self.line.faulty, true) {
            self.syntax.faults.push(fault);
        }
    }

    fn take(&mut self, token: Token, span: Span, text: &str) {
        match token {
            Token::Blank | Token::Newline => {}
            Token::Continuation => {
                self.line.glued = false;
                self.line.continued = true;
            }
            // Without the carriage return and blanks at its end.
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
                let fault = Diagnostic::error("open-quote", span, "a quoted text has no end");
                self.fail(fault.label("the closing quote is missing on this line"));
            }
        }
    }

    fn take_brace(&mut self, token: Token, span: Span) {
        let is_open = token == Token::Open;
        if self.line.open.is_some()
            || self.line.close.is_some()
            || !is_open && !self.line.words.is_empty()
        {
            let fault = Diagnostic::error("brace-place", span, "a brace ends its line")
                .label("not here")
                .help("an opening brace is the last word of its line, a closing one stands alone");
            return self.fail(fault);
        }
        if is_open && self.line.words.is_empty() {
            let message = "a section opens without a keyword";
            let fault = Diagnostic::error("nameless-section", span, message);
            self.fail(fault.label("no keyword stands before it"));
        }
        match is_open {
            true => self.line.open = Some(span),
            false => self.line.close = Some(span),
        }
        self.line.glued = false;
    }

    fn take_word(&mut self, quote: Quote, span: Span) {
        if self.line.open.is_some() || self.line.close.is_some() {
            let message = "words stand behind a brace on its line";
            let fault = Diagnostic::error("brace-place", span, message);
            return self.fail(fault.label("begin a new line here"));
        }
        if self.line.glued {
            let message = "a quoted text touches another word";
            let fault = Diagnostic::error("glued-words", span, message);
            return self.fail(fault.label("a blank is missing before this"));
        }
        self.line.words.push(Word {
            span,
            quote,
            continued: self.line.continued,
        });
        self.line.continued = false;
        self.line.glued = true;
    }

    fn end_line(&mut self) {
        if std::mem::replace(&mut self.line_is_empty, true) {
            self.apart = true;
            return;
        }
        let line = std::mem::take(&mut self.line);
        // Of a faulty line the brace still counts: its section must not seem to be missing or unclosed as well.
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
            apart: std::mem::take(&mut self.apart),
        });
    }

    /// The last line may have no end.
    fn finish(mut self) -> Syntax {
        if !self.line_is_empty {
            self.end_line();
        }
        self.syntax
    }
}

fn stray(span: Span, text: &str) -> Diagnostic {
    if text.starts_with('\\') {
        let message = "a backslash stands only at the end of a line";
        return Diagnostic::error("stray-backslash", span, message)
            .label("nothing to continue here")
            .help("inside double quotes \\\\ stands for a backslash");
    }
    let shown: String = text
        .chars()
        .take(1)
        .flat_map(char::escape_default)
        .collect();
    let message = format!("the character {shown} can't stand here");
    Diagnostic::error("control-character", span, message).label("control character")
}

/// The first line that is longer than [`LINE_LIMIT`], by its range in bytes.
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

/// Whether a character may stand in a name.
pub(crate) fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '-' || c == '_'
}

/// Whether this is a name: a letter, then letters, digits, `-` and `_`.
pub fn is_name(text: &str) -> bool {
    text.starts_with(|c: char| c.is_ascii_alphabetic()) && text.chars().all(is_name_char)
}
