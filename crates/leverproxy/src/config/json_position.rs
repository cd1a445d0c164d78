//! Finds the line of a key in a JSON text, for error messages.

/// One element of a key path.
enum Step<'a> {
    Field(&'a str),
    Item(usize),
}

/// The line (from 1) of the key at a path like `settings.Classes[0].Deadline`, or of the longest prefix of the path that
/// the text contains. None if the text lacks even the first element, or is not valid JSON up to it.
pub fn line_of(text: &[u8], path: &str) -> Option<usize> {
    let mut scanner = Scanner { text, at: 0 };
    let mut found = None;
    for step in steps(path) {
        match scanner.enter(&step) {
            Some(at) => found = Some(at),
            None => break,
        }
    }
    let lines = |at: usize| 1 + text[..at].iter().filter(|b| **b == b'\n').count();
    found.map(lines)
}

fn steps(path: &str) -> Vec<Step<'_>> {
    let parts = path.split(['.', '[']).filter(|part| !part.is_empty());
    let step = |part: &str| part.strip_suffix(']').and_then(|index| index.parse().ok());
    parts
        .map(|part| step(part).map_or(Step::Field(part), Step::Item))
        .collect()
}

struct Scanner<'a> {
    text: &'a [u8],
    at: usize,
}

impl Scanner<'_> {
    /// Moves to the value of a field or item of the object or array at the current offset. Returns the offset at which the
    /// field's name or the item begins.
    fn enter(&mut self, step: &Step) -> Option<usize> {
        match step {
            Step::Field(name) => self.enter_field(name),
            Step::Item(number) => self.enter_item(*number),
        }
    }

    fn enter_field(&mut self, name: &str) -> Option<usize> {
        self.expect(b'{')?;
        loop {
            self.skip_space();
            let begin = self.at;
            self.skip_string()?;
            let here = &self.text[begin + 1..self.at - 1] == name.as_bytes();
            self.expect(b':')?;
            self.skip_space();
            if here {
                return Some(begin);
            }
            self.skip_value()?;
            self.expect(b',')?;
        }
    }

    fn enter_item(&mut self, number: usize) -> Option<usize> {
        self.expect(b'[')?;
        for _ in 0..number {
            self.skip_value()?;
            self.expect(b',')?;
        }
        self.skip_space();
        Some(self.at)
    }

    fn skip_space(&mut self) {
        let space = self.text[self.at..]
            .iter()
            .take_while(|byte| byte.is_ascii_whitespace())
            .count();
        self.at += space;
    }

    fn expect(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (self.text.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn skip_string(&mut self) -> Option<()> {
        self.expect(b'"')?;
        loop {
            match self.text.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return Some(());
                }
                b'\\' => self.at += 2,
                _ => self.at += 1,
            }
        }
    }

    fn skip_value(&mut self) -> Option<()> {
        let mut depth = 0;
        loop {
            self.skip_space();
            match self.text.get(self.at)? {
                b'"' => self.skip_string()?,
                b'{' | b'[' => {
                    depth += 1;
                    self.at += 1;
                }
                b'}' | b']' if depth == 0 => return Some(()),
                b'}' | b']' => {
                    depth -= 1;
                    self.at += 1;
                }
                b',' if depth == 0 => return Some(()),
                _ => self.at += 1,
            }
            if depth == 0 && matches!(self.text.get(self.at)?, b',' | b'}' | b']') {
                return Some(());
            }
        }
    }
}

#[cfg(test)]
mod tests;
