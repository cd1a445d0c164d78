//! Text to lines: words, sections, comments. What the words mean is not asked here.

use crate::diagnostic::Diagnostic;
use crate::source::{FileId, Span};
use logos::Logos;
use std::ops::Range;

/// Longest line, in bytes; nobody writes a longer one by hand, and a snippet of it would help nobody.
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

/// What a line says.
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
    /// What it says.
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
    /// Blank or not, what ends the file is no line of its own.
    pub faults: Vec<Diagnostic>,
}

/// A comment without the carriage return and blanks at its end.
fn comment_span(file: FileId, text: &str, range: Range<usize>) -> Span {
    let kept = text[range.clone()].trim_end().len();
    Span::new(file, range.start..range.start + kept)
}

struct Pending {
    words: Vec<Word>,
    open: Option<Span>,
    close: Option<Span>,
    comment: Option<Span>,
    faulty: bool,
    /// The last token was part of a word: what follows must stand apart from it.
    glued: bool,
    continued: bool,
}

impl Pending {
    fn new() -> Pending {
        let (words, open, close, comment) = (Vec::new(), None, None, None);
        Pending {
            words,
            open,
            close,
            comment,
            faulty: false,
            glued: false,
            continued: false,
        }
    }
}

/// Reads one file. Linear in its length; every fault is reported, at most one a line.
pub fn parse(file: FileId, text: &str) -> Syntax {
    let mut syntax = Syntax::default();
    let text = match text.strip_prefix('\u{feff}') {
        Some(_) => &text.replacen('\u{feff}', "   ", 1),
        None => text,
    };
    let mut pending = Pending::new();
    let mut apart = false;
    let mut empty_line = true;
    for (token, range) in Token::lexer(text).spanned() {
        let span = Span::new(file, range.clone());
        let Ok(token) = token else {
            fault(&mut syntax, &mut pending, stray(span, &text[range]));
            empty_line = false;
            continue;
        };
        match token {
            Token::Blank => pending.glued = false,
            Token::Newline => {
                if empty_line {
                    apart = true;
                } else {
                    finish(
                        &mut syntax,
                        std::mem::replace(&mut pending, Pending::new()),
                        &mut apart,
                    );
                }
                empty_line = true;
            }
            Token::Continuation => {
                pending.glued = false;
                pending.continued = true;
                empty_line = false;
            }
            Token::Comment => {
                pending.comment = Some(comment_span(file, text, range));
                empty_line = false;
            }
            Token::Open | Token::Close | Token::Double | Token::Single | Token::Word => {
                empty_line = false;
                take(&mut syntax, &mut pending, token, span);
            }
            Token::OpenDouble | Token::OpenSingle => {
                empty_line = false;
                let unclosed = Diagnostic::error("open-quote", span, "a quoted text has no end")
                    .label("the closing quote is missing on this line");
                fault(&mut syntax, &mut pending, unclosed);
            }
        }
    }
    if !empty_line {
        finish(&mut syntax, pending, &mut apart);
    }
    syntax
}

fn stray(span: Span, text: &str) -> Diagnostic {
    match text {
        _ if text.starts_with('\\') => Diagnostic::error(
            "stray-backslash",
            span,
            "a backslash stands only at the end of a line",
        )
        .label("nothing to continue here")
        .help("inside double quotes \\\\ stands for a backslash"),
        _ => {
            let shown: String = text
                .chars()
                .take(1)
                .flat_map(char::escape_default)
                .collect();
            Diagnostic::error(
                "control-character",
                span,
                format!("the character {shown} can't stand here"),
            )
            .label("control character")
        }
    }
}

fn fault(syntax: &mut Syntax, pending: &mut Pending, fault: Diagnostic) {
    if !std::mem::replace(&mut pending.faulty, true) {
        syntax.faults.push(fault);
    }
}

fn take(syntax: &mut Syntax, pending: &mut Pending, token: Token, span: Span) {
    let quote = match token {
        Token::Double => Quote::Double,
        Token::Single => Quote::Single,
        Token::Word => Quote::Bare,
        _ => {
            if pending.open.is_some()
                || pending.close.is_some()
                || token == Token::Close && !pending.words.is_empty()
            {
                let message = "a brace ends its line";
                let what = Diagnostic::error("brace-place", span, message)
                    .label("not here")
                    .help(
                        "an opening brace is the last word of its line, a closing one stands alone",
                    );
                return fault(syntax, pending, what);
            }
            match token {
                Token::Open if pending.words.is_empty() => {
                    let what = Diagnostic::error(
                        "nameless-section",
                        span,
                        "a section opens without a keyword",
                    )
                    .label("no keyword stands before it");
                    fault(syntax, pending, what);
                    pending.open = Some(span);
                }
                Token::Open => pending.open = Some(span),
                _ => pending.close = Some(span),
            }
            pending.glued = false;
            return;
        }
    };
    if pending.open.is_some() || pending.close.is_some() {
        let what = Diagnostic::error(
            "brace-place",
            span,
            "words stand behind a brace on its line",
        )
        .label("begin a new line here");
        return fault(syntax, pending, what);
    }
    if pending.glued {
        let what = Diagnostic::error("glued-words", span, "a quoted text touches another word")
            .label("a blank is missing before this");
        return fault(syntax, pending, what);
    }
    pending.words.push(Word {
        span,
        quote,
        continued: pending.continued,
    });
    pending.continued = false;
    pending.glued = true;
}

fn finish(syntax: &mut Syntax, pending: Pending, apart: &mut bool) {
    let Pending {
        words,
        open,
        close,
        comment,
        faulty,
        ..
    } = pending;
    // Of a faulty line the brace still counts: its section must not seem to be missing or unclosed as well.
    if faulty && open.is_none() && close.is_none() {
        return;
    }
    let entry = match (open, close) {
        (Some(brace), _) => Entry::Open(words, brace),
        (None, Some(span)) => Entry::Close(span),
        (None, None) if !words.is_empty() => Entry::Directive(words),
        (None, None) if comment.is_some() => Entry::Comment,
        _ => return,
    };
    syntax.lines.push(Line {
        entry,
        comment,
        apart: std::mem::take(apart),
    });
}

/// The first line that is too long, by its range in bytes.
pub fn overlong(text: &[u8]) -> Option<Range<usize>> {
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
