//! The texts that a configuration was read from, and places in them.

use std::ops::Range;

/// A file of one reading of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FileId(pub u32);

/// A stretch of bytes of one file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span {
    /// The file.
    pub file: FileId,
    /// The first byte.
    pub start: u32,
    /// The byte after the last.
    pub end: u32,
}

impl Span {
    /// That range of a file.
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

    /// From the start of one to the end of the other, in one file.
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
    /// Where each line starts.
    lines: Vec<u32>,
}

/// A place as people count: lines and columns from 1, columns in characters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place<'a> {
    /// The file's path.
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

/// The files of one reading.
#[derive(Debug, Default)]
pub struct Sources {
    files: Vec<SourceFile>,
}

impl Sources {
    /// Adds a file.
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

    /// A file.
    pub fn get(&self, file: FileId) -> Option<&SourceFile> {
        self.files.get(file.0 as usize)
    }

    /// All files.
    pub fn files(&self) -> impl Iterator<Item = (FileId, &SourceFile)> {
        (0u32..).map(FileId).zip(&self.files)
    }

    /// The text at a place; empty if there is none.
    pub fn text(&self, span: Span) -> &str {
        self.get(span.file)
            .and_then(|f| f.text.get(span.range()))
            .unwrap_or_default()
    }

    /// Line and column of a place's start.
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
