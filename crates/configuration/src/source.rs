//! The files from which a configuration was read, and places in them.

use std::ops::Range;

/// Identifies a file in [`Sources`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FileId(pub u32);

/// A range of bytes of one file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span {
    /// The file.
    pub file: FileId,
    /// Offset of the first byte.
    pub start: u32,
    /// Offset of the byte after the last.
    pub end: u32,
}

impl Span {
    /// A range of bytes of a file.
    pub fn new(file: FileId, range: Range<usize>) -> Span {
        let at = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Span {
            file,
            start: at(range.start),
            end: at(range.end),
        }
    }

    /// The bytes as a range.
    pub fn range(self) -> Range<usize> {
        self.start as usize..self.end as usize
    }

    /// The range from the start of this span to the end of another one in the same file.
    pub fn to(self, end: Span) -> Span {
        Span {
            end: end.end.max(self.end),
            ..self
        }
    }
}

/// A file that was read.
#[derive(Debug)]
pub struct SourceFile {
    /// Its path.
    pub name: String,
    /// Its text.
    pub text: String,
    /// Offset of the first byte of each line.
    lines: Vec<u32>,
}

/// A place for people to read: lines and columns count from 1, columns in characters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place<'a> {
    /// Path of the file.
    pub file: &'a str,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
}

impl std::fmt::Display for Place<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// The files from which one configuration was read.
#[derive(Debug, Default)]
pub struct Sources {
    files: Vec<SourceFile>,
}

impl Sources {
    /// Adds a file and returns its identifier.
    pub fn add(&mut self, name: String, text: String) -> FileId {
        let starts = text
            .bytes()
            .enumerate()
            .filter(|(_, b)| *b == b'\n')
            .map(|(at, _)| at as u32 + 1);
        let lines = std::iter::once(0).chain(starts).collect();
        self.files.push(SourceFile { name, text, lines });
        FileId(self.files.len() as u32 - 1)
    }

    /// The file with this identifier.
    pub fn get(&self, file: FileId) -> Option<&SourceFile> {
        self.files.get(file.0 as usize)
    }

    /// All files with their identifiers.
    pub fn files(&self) -> impl Iterator<Item = (FileId, &SourceFile)> {
        (0u32..).map(FileId).zip(&self.files)
    }

    /// The text of a span; empty if the span is not in any file.
    pub fn text(&self, span: Span) -> &str {
        self.get(span.file)
            .and_then(|f| f.text.get(span.range()))
            .unwrap_or_default()
    }

    /// Line and column of the start of a span.
    pub fn place(&self, span: Span) -> Place<'_> {
        let Some(file) = self.get(span.file) else {
            return Place {
                file: "?",
                line: 0,
                column: 0,
            };
        };
        let line = file.line_of(span.start as usize);
        let start = file.lines[line] as usize;
        let column = file
            .text
            .get(start..span.start as usize)
            .map_or(0, |text| text.chars().count());
        Place {
            file: &file.name,
            line: line + 1,
            column: column + 1,
        }
    }
}

impl SourceFile {
    fn line_of(&self, at: usize) -> usize {
        self.lines
            .partition_point(|&start| start as usize <= at)
            .saturating_sub(1)
    }
}

impl<'a> codespan_reporting::files::Files<'a> for Sources {
    type FileId = FileId;
    type Name = &'a str;
    type Source = &'a str;

    fn name(&'a self, id: FileId) -> Result<&'a str, codespan_reporting::files::Error> {
        self.get(id)
            .map(|f| f.name.as_str())
            .ok_or(codespan_reporting::files::Error::FileMissing)
    }

    fn source(&'a self, id: FileId) -> Result<&'a str, codespan_reporting::files::Error> {
        self.get(id)
            .map(|f| f.text.as_str())
            .ok_or(codespan_reporting::files::Error::FileMissing)
    }

    fn line_index(
        &'a self,
        id: FileId,
        at: usize,
    ) -> Result<usize, codespan_reporting::files::Error> {
        self.get(id)
            .map(|f| f.line_of(at))
            .ok_or(codespan_reporting::files::Error::FileMissing)
    }

    fn line_range(
        &'a self,
        id: FileId,
        line: usize,
    ) -> Result<Range<usize>, codespan_reporting::files::Error> {
        let file = self
            .get(id)
            .ok_or(codespan_reporting::files::Error::FileMissing)?;
        let max = file.lines.len();
        let start = *file
            .lines
            .get(line)
            .ok_or(codespan_reporting::files::Error::LineTooLarge { given: line, max })?;
        let end = file
            .lines
            .get(line + 1)
            .map_or(file.text.len(), |&end| end as usize);
        Ok(start as usize..end)
    }
}
