//! From files to one document: includes followed, variables put in, sections gathered.

use crate::diagnostic::{nearest, Diagnostic};
use crate::schema::Table;
use crate::source::{FileId, Sources, Span};
use crate::syntax::{self, is_name, is_name_char, Entry, Quote, Word};
use std::collections::{BTreeMap, HashMap};
use std::path::{Component, Path, PathBuf};

/// Files that include one another, one inside the other.
pub const DEPTH_LIMIT: usize = 16;
/// Files of one configuration.
pub const FILES_LIMIT: usize = 1_000;
/// Bytes of one file.
pub const FILE_LIMIT: usize = 32 << 20;
/// Bytes of all words once variables are put in: a few lines could else ask for any amount of memory.
pub const EXPANDED_LIMIT: usize = 64 << 20;

/// Where files come from: the one thing that this package asks of the world.
pub trait Loader {
    /// The bytes of a file; the problem in the system's words.
    fn read(&self, path: &Path) -> Result<Vec<u8>, String>;
    /// One name for each file, whatever links lead to it.
    fn identity(&self, path: &Path) -> Result<PathBuf, String>;
    /// The names in a folder, in any order.
    fn names(&self, folder: &Path) -> Result<Vec<String>, String>;
}

/// A word as it counts, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arg {
    /// The word's text, without quotes.
    pub text: String,
    /// Where it stands.
    pub span: Span,
}

/// A directive as it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    /// Its keyword.
    pub keyword: Arg,
    /// Its values.
    pub args: Vec<Arg>,
}

impl Directive {
    /// From its keyword to its last value.
    pub fn span(&self) -> Span {
        self.args
            .last()
            .map_or(self.keyword.span, |last| self.keyword.span.to(last.span))
    }
}

/// A section as it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Its keyword.
    pub keyword: Arg,
    /// Its names.
    pub names: Vec<Arg>,
    /// Its directives.
    pub directives: Vec<Directive>,
    /// Some of its lines could not be read.
    pub partial: bool,
}

/// The sections of a file and of all that it includes.
#[derive(Debug, Default)]
pub struct Document {
    /// The sections, in their order.
    pub sections: Vec<Section>,
    /// Some of it could not be read: names may be missing for that alone.
    pub partial: bool,
}

struct Define {
    values: Vec<String>,
    span: Span,
    used: bool,
}

struct Reading<'a> {
    loader: &'a dyn Loader,
    table: Table,
    sources: &'a mut Sources,
    faults: &'a mut Vec<Diagnostic>,
    document: Document,
    defines: BTreeMap<String, Define>,
    /// Where each file was first included from.
    seen: HashMap<PathBuf, Option<Span>>,
    stack: Vec<PathBuf>,
    expanded: usize,
}

/// Reads a file and all that it includes. Every fault that stands in the way of words is reported; the rest of
/// the document is still returned.
pub fn load(
    path: &Path,
    loader: &dyn Loader,
    table: Table,
    sources: &mut Sources,
    faults: &mut Vec<Diagnostic>,
) -> Document {
    let mut reading = Reading {
        loader,
        table,
        sources,
        faults,
        document: Document::default(),
        defines: BTreeMap::new(),
        seen: HashMap::new(),
        stack: Vec::new(),
        expanded: 0,
    };
    reading.file(path, None);
    let unused = reading.defines.iter().filter(|(_, d)| !d.used);
    let unused: Vec<Diagnostic> = unused
        .map(|(name, d)| {
            Diagnostic::warning(
                "unused-define",
                d.span,
                format!("the variable {name} is never used"),
            )
            .label("defined here")
        })
        .collect();
    if !reading.document.partial {
        reading.faults.extend(unused);
    }
    reading.document
}

impl Reading<'_> {
    fn fail(&mut self, fault: Diagnostic) {
        self.document.partial = true;
        self.faults.push(fault);
    }

    /// `from`: the place of the include; none for the file that was asked for.
    fn file(&mut self, path: &Path, from: Option<Span>) {
        let name = path.display().to_string();
        // A file that can't be had is a fault of the place that names it, or of the empty text under its name.
        let place = |reading: &mut Self| {
            from.unwrap_or_else(|| {
                Span::new(reading.sources.add(name.clone(), String::new()), 0..0)
            })
        };
        let identity = match self.loader.identity(path) {
            Ok(identity) => identity,
            Err(problem) => {
                let at = place(self);
                let fault = Diagnostic::error(
                    "unreadable-file",
                    at,
                    format!("{name} can't be read: {problem}"),
                );
                return self.fail(fault.label("named here"));
            }
        };
        if let Some(at) = self.stack.iter().position(|open| *open == identity) {
            let chain: Vec<String> = self.stack[at..]
                .iter()
                .chain([&identity])
                .map(|p| file_name(p))
                .collect();
            let at = place(self);
            let fault = Diagnostic::error("include-loop", at, format!("{name} includes itself"))
                .label("closes the loop")
                .help(format!("the loop is {}", chain.join(" -> ")));
            return self.fail(fault);
        }
        if let Some(first) = self.seen.get(&identity) {
            let first = *first;
            let at = place(self);
            let mut fault = Diagnostic::error(
                "include-twice",
                at,
                format!("{name} is included a second time"),
            )
            .label("again here");
            if let Some(first) = first {
                fault = fault.related(first, "first included here");
            }
            return self.fail(fault);
        }
        if self.stack.len() >= DEPTH_LIMIT || self.seen.len() >= FILES_LIMIT {
            let deep = self.stack.len() >= DEPTH_LIMIT;
            let at = place(self);
            let message = match deep {
                true => format!("includes stand more than {DEPTH_LIMIT} deep"),
                false => format!("the configuration has more than {FILES_LIMIT} files"),
            };
            return self
                .fail(Diagnostic::error("include-depth", at, message).label("one too many"));
        }
        let bytes = match self.loader.read(path) {
            Ok(bytes) => bytes,
            Err(problem) => {
                let at = place(self);
                let fault = Diagnostic::error(
                    "unreadable-file",
                    at,
                    format!("{name} can't be read: {problem}"),
                );
                return self.fail(fault.label("named here"));
            }
        };
        self.seen.insert(identity.clone(), from);
        let Some(file) = self.text(&name, bytes) else {
            return;
        };
        self.stack.push(identity);
        self.lines(file, path);
        self.stack.pop();
    }

    /// Takes the bytes in as text, if they are one that can be worked on.
    fn text(&mut self, name: &str, bytes: Vec<u8>) -> Option<FileId> {
        if bytes.len() > FILE_LIMIT {
            let file = self.sources.add(name.to_owned(), String::new());
            let message = format!(
                "{name} has {} bytes; at most {FILE_LIMIT} are read",
                bytes.len()
            );
            self.fail(Diagnostic::error(
                "large-file",
                Span::new(file, 0..0),
                message,
            ));
            return None;
        }
        if let Some(range) = syntax::overlong(&bytes) {
            // The snippet shows the begin of that line, not all of it.
            let kept = String::from_utf8_lossy(&bytes[..range.start + 80]).into_owned();
            let end = kept.len();
            let file = self.sources.add(name.to_owned(), kept);
            let (length, limit) = (range.len(), syntax::LINE_LIMIT);
            let message = format!("a line has {length} bytes; at most {limit} are read");
            let span = Span::new(file, range.start.min(end)..end);
            self.fail(Diagnostic::error("long-line", span, message).label("begins here"));
            return None;
        }
        match String::from_utf8(bytes) {
            Ok(text) => Some(self.sources.add(name.to_owned(), text)),
            Err(error) => {
                let at = error.utf8_error().valid_up_to();
                let byte = error.as_bytes()[at];
                let file = self.sources.add(
                    name.to_owned(),
                    String::from_utf8_lossy(error.as_bytes()).into_owned(),
                );
                let span = Span::new(file, at..at + char::REPLACEMENT_CHARACTER.len_utf8());
                let message = format!("the byte 0x{byte:02x} is no UTF-8 text");
                self.fail(Diagnostic::error("not-utf8", span, message).label("not readable"));
                None
            }
        }
    }

    fn lines(&mut self, file: FileId, path: &Path) {
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
        let mut open: Option<Section> = None;
        // Sections inside sections, of which only the first is a fault.
        let mut nested = 0_usize;
        for line in parsed.lines {
            match line.entry {
                Entry::Comment => {}
                Entry::Open(words, brace) if open.is_some() => {
                    nested += 1;
                    if nested == 1 {
                        let outer = open.as_ref().map(|s| s.keyword.clone());
                        let mut fault = Diagnostic::error(
                            "nested-section",
                            words.first().map_or(brace, |w| w.span),
                            "a section opens inside another",
                        )
                        .label("opens here");
                        if let Some(outer) = outer {
                            fault = fault.related(outer.span, "this one is still open");
                        }
                        self.fail(fault);
                    }
                }
                Entry::Open(words, brace) => {
                    // Without a keyword its lines belong to nothing, and its fault is reported.
                    let mut args = self.expand(&words, &text).unwrap_or_default();
                    if args.is_empty() {
                        args.push(Arg {
                            text: String::new(),
                            span: brace,
                        });
                    }
                    let keyword = args.remove(0);
                    open = Some(Section {
                        keyword,
                        names: args,
                        directives: Vec::new(),
                        partial: false,
                    });
                }
                Entry::Close(_) if nested > 0 => nested -= 1,
                Entry::Close(span) => match open.take() {
                    Some(section) => self.document.sections.push(section),
                    None => {
                        let fault =
                            Diagnostic::error("stray-brace", span, "a brace closes no section");
                        self.fail(fault.label("no section is open here"));
                    }
                },
                Entry::Directive(_) if nested > 0 => {}
                Entry::Directive(words) => self.directive(&words, &text, path, &mut open),
            }
        }
        if let Some(section) = open {
            let keyword = &section.keyword;
            if keyword.text.is_empty() {
                return;
            }
            let fault = Diagnostic::error(
                "open-section",
                keyword.span,
                format!("the section {} has no end", keyword.text),
            )
            .label("opened here")
            .help("a line with a closing brace ends it");
            self.fail(fault);
            self.document.sections.push(section);
        }
    }

    fn directive(&mut self, words: &[Word], text: &str, path: &Path, open: &mut Option<Section>) {
        let word = &text[words[0].span.range()];
        if open.is_none() && word == "define" {
            return self.define(words, text);
        }
        if word == "include" || word == "define" {
            if let Some(section) = open {
                let fault = Diagnostic::error(
                    "misplaced-directive",
                    words[0].span,
                    format!("{word} stands inside a section"),
                )
                .label("belongs outside of all sections")
                .related(section.keyword.span, "this section is open");
                return self.fail(fault);
            }
        }
        let Some(mut args) = self.expand(words, text).filter(|args| !args.is_empty()) else {
            if let Some(section) = open {
                section.partial = true;
            }
            return;
        };
        let keyword = args.remove(0);
        match open {
            Some(section) => section.directives.push(Directive { keyword, args }),
            None if keyword.text == "include" => self.include(&Directive { keyword, args }, path),
            None => {
                let known = self.table.iter().map(|s| s.keyword);
                let hint = match known.clone().find(|k| *k == keyword.text) {
                    Some(name) => {
                        format!(
                            "a section opens with a brace at the end of its line: {name} NAME {{"
                        )
                    }
                    None => match nearest(&keyword.text, known.chain(["include", "define"])) {
                        Some(name) => format!("did you mean {name}?"),
                        None => {
                            "outside of sections only define, include and sections stand".into()
                        }
                    },
                };
                let fault = Diagnostic::error(
                    "outside-section",
                    keyword.span,
                    format!("{:?} stands in no section", keyword.text),
                )
                .label("not known here")
                .help(hint);
                self.fail(fault);
            }
        }
    }

    fn define(&mut self, words: &[Word], text: &str) {
        let span = words[0].span.to(words[words.len() - 1].span);
        let [_, name, values @ ..] = words else {
            let fault = Diagnostic::error("define-form", span, "define needs a name and a value");
            return self.fail(fault.label("define NAME VALUE ..."));
        };
        let place = name.span;
        let name = text[place.range()].to_owned();
        if values.is_empty() {
            let fault = Diagnostic::error(
                "define-form",
                span,
                format!("the variable {name} gets no value"),
            );
            return self.fail(fault.label("define NAME VALUE ..."));
        }
        if !is_name(&name) {
            let fault = Diagnostic::error(
                "define-form",
                place,
                format!("{name} can't name a variable"),
            );
            return self.fail(
                fault
                    .label("not a name")
                    .help("a name begins with a letter and holds letters, digits, - and _"),
            );
        }
        if let Some(first) = self.defines.get(&name) {
            let fault = Diagnostic::error(
                "define-twice",
                place,
                format!("the variable {name} is defined a second time"),
            )
            .label("again here")
            .related(first.span, "first defined here");
            return self.fail(fault);
        }
        // One whose value is faulty is known all the same, so that its uses are no faults as well.
        let values = self
            .expand(values, text)
            .unwrap_or_default()
            .into_iter()
            .map(|arg| arg.text)
            .collect();
        self.defines.insert(
            name,
            Define {
                values,
                span: place,
                used: false,
            },
        );
    }

    fn include(&mut self, directive: &Directive, path: &Path) {
        let [target] = directive.args.as_slice() else {
            let fault = Diagnostic::error(
                "include-form",
                directive.span(),
                "include takes one file or pattern",
            );
            return self.fail(fault.label(format!("{} are given", directive.args.len())));
        };
        let folder = path.parent().unwrap_or(Path::new(""));
        let whole = folder.join(&target.text);
        if !target.text.contains(['*', '?', '[']) {
            return self.file(&whole, Some(target.span));
        }
        let (Some(parent), Some(last)) = (whole.parent(), whole.file_name()) else {
            let fault = Diagnostic::error("include-form", target.span, "the pattern names no file");
            return self.fail(fault.label("ends in no name"));
        };
        let starred = |c: Component<'_>| c.as_os_str().to_string_lossy().contains(['*', '?', '[']);
        let pattern = glob::Pattern::new(&last.to_string_lossy());
        let (false, Ok(pattern)) = (parent.components().any(starred), pattern) else {
            let fault = Diagnostic::error("include-form", target.span, "the pattern can't be read");
            return self.fail(
                fault
                    .label("not a pattern")
                    .help("*, ? and [...] stand in the last part of the path only"),
            );
        };
        let mut names = match self.loader.names(parent) {
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

    /// Words with their variables put in; none if one of them is faulty, which is reported.
    fn expand(&mut self, words: &[Word], text: &str) -> Option<Vec<Arg>> {
        let mut args = Vec::with_capacity(words.len());
        for word in words {
            let written = &text[word.span.range()];
            let span = word.span;
            match word.quote {
                Quote::Single => args.push(Arg {
                    text: written[1..written.len() - 1].to_owned(),
                    span,
                }),
                Quote::Bare if !written.contains('$') => args.push(Arg {
                    text: written.to_owned(),
                    span,
                }),
                Quote::Bare => self.bare(written, span, &mut args)?,
                Quote::Double => {
                    let text = self.interpolate(&written[1..written.len() - 1], span, true)?;
                    args.push(Arg { text, span });
                }
            }
        }
        Some(args)
    }

    /// A variable that stands alone brings all its words.
    fn bare(&mut self, written: &str, span: Span, args: &mut Vec<Arg>) -> Option<()> {
        let alone = written.strip_prefix('$').map(|n| {
            n.strip_prefix('{')
                .and_then(|n| n.strip_suffix('}'))
                .unwrap_or(n)
        });
        if let Some(name) = alone.filter(|name| is_name(name)) {
            args.extend(
                self.variable(name, span)?
                    .into_iter()
                    .map(|text| Arg { text, span }),
            );
        } else {
            let text = self.interpolate(written, span, false)?;
            args.push(Arg { text, span });
        }
        Some(())
    }

    fn interpolate(&mut self, written: &str, span: Span, escapes: bool) -> Option<String> {
        let mut out = String::with_capacity(written.len());
        let mut rest = written;
        while let Some(at) = rest.find(['$', '\\']) {
            out.push_str(&rest[..at]);
            rest = &rest[at..];
            if let Some(after) = rest.strip_prefix('\\') {
                if !escapes {
                    out.push('\\');
                    rest = after;
                    continue;
                }
                let next = after.chars().next()?;
                out.push(match next {
                    'n' => '\n',
                    't' => '\t',
                    '"' | '\\' | '$' => next,
                    _ => {
                        let fault = Diagnostic::error(
                            "unknown-escape",
                            span,
                            format!("\\{next} stands for nothing"),
                        )
                        .label("in this text")
                        .help(r#"known are \n \t \" \\ and \$"#);
                        self.fail(fault);
                        return None;
                    }
                });
                rest = &after[next.len_utf8()..];
                continue;
            }
            let after = &rest[1..];
            let (name, behind) = match after.strip_prefix('{').and_then(|n| n.split_once('}')) {
                Some(parts) => parts,
                None => {
                    let end = after
                        .find(|c: char| !is_name_char(c))
                        .unwrap_or(after.len());
                    after.split_at(end)
                }
            };
            if !is_name(name) {
                let fault = Diagnostic::error(
                    "variable-form",
                    span,
                    "a $ stands before no variable's name",
                )
                .label("in this word")
                .help("inside double quotes \\$ stands for the character itself");
                self.fail(fault);
                return None;
            }
            let values = self.variable(name, span)?;
            let [one] = values.as_slice() else {
                let fault = Diagnostic::error(
                    "variable-form",
                    span,
                    format!(
                        "the variable {name} holds {} words and can't be part of one",
                        values.len()
                    ),
                )
                .label("used here as part of a word")
                .related(self.defines[name].span, "defined here");
                self.fail(fault);
                return None;
            };
            out.push_str(one);
            rest = behind;
        }
        out.push_str(rest);
        Some(out)
    }

    fn variable(&mut self, name: &str, span: Span) -> Option<Vec<String>> {
        let Some(define) = self.defines.get_mut(name) else {
            let nearest = nearest(name, self.defines.keys().map(String::as_str));
            let hint = match nearest {
                Some(other) => format!("did you mean ${other}?"),
                None => "a variable is defined before the line that uses it".into(),
            };
            let fault = Diagnostic::error(
                "unknown-variable",
                span,
                format!("the variable {name} is not defined"),
            )
            .label("used here")
            .help(hint);
            self.fail(fault);
            return None;
        };
        define.used = true;
        let values = define.values.clone();
        self.expanded += values.iter().map(String::len).sum::<usize>();
        if self.expanded > EXPANDED_LIMIT {
            let message = format!("variables bring more than {EXPANDED_LIMIT} bytes");
            if self.expanded - EXPANDED_LIMIT <= values.iter().map(String::len).sum() {
                self.fail(Diagnostic::error("expansion", span, message).label("one too many"));
            }
            return None;
        }
        Some(values)
    }
}

fn file_name(path: &Path) -> String {
    path.file_name().map_or_else(
        || path.display().to_string(),
        |name| name.to_string_lossy().into_owned(),
    )
}

/// Files in memory, for tests and for texts that come from elsewhere. Links are files of which the text is the
/// path behind `link:`.
#[derive(Clone, Debug, Default)]
pub struct MemoryFiles {
    files: BTreeMap<PathBuf, Vec<u8>>,
}

impl MemoryFiles {
    /// Adds a file.
    pub fn add(&mut self, path: impl Into<PathBuf>, text: impl Into<Vec<u8>>) {
        self.files.insert(path.into(), text.into());
    }
}

impl<const N: usize> From<[(&str, &str); N]> for MemoryFiles {
    fn from(files: [(&str, &str); N]) -> MemoryFiles {
        let files = files
            .into_iter()
            .map(|(path, text)| (path.into(), text.as_bytes().to_vec()));
        MemoryFiles {
            files: files.collect(),
        }
    }
}

impl Loader for MemoryFiles {
    fn read(&self, path: &Path) -> Result<Vec<u8>, String> {
        let path = self.identity(path)?;
        self.files
            .get(&path)
            .cloned()
            .ok_or_else(|| "no such file".to_owned())
    }

    fn identity(&self, path: &Path) -> Result<PathBuf, String> {
        let mut plain = PathBuf::new();
        for part in path.components() {
            match part {
                Component::CurDir => {}
                Component::ParentDir => _ = plain.pop(),
                other => plain.push(other),
            }
        }
        match self.files.get(&plain) {
            None => Err("no such file".to_owned()),
            Some(text) => match text.strip_prefix(b"link:") {
                Some(target) => Ok(PathBuf::from(String::from_utf8_lossy(target).trim())),
                None => Ok(plain),
            },
        }
    }

    fn names(&self, folder: &Path) -> Result<Vec<String>, String> {
        let inside = self
            .files
            .keys()
            .filter(|path| path.parent() == Some(folder));
        let names: Vec<String> = inside.map(|path| file_name(path)).collect();
        if names.is_empty() {
            Err("no such folder".to_owned())
        } else {
            Ok(names)
        }
    }
}
