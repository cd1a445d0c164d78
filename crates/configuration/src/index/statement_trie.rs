//! A trie over prefixes of statements: which of them a statement has.

/// Nested prefixes of one statement: no text has more, by the length that the language allows.
pub(super) const MAX_PREFIXES: usize = 258;

/// Stands for no number.
const NO_VALUE: u32 = u32::MAX;

/// A path-compressed trie over prefixes of statements.
#[derive(Debug)]
pub(super) struct StatementTrie {
    nodes: Vec<StatementNode>,
    /// The next number.
    values: u32,
}

#[derive(Debug)]
struct StatementNode {
    /// The bytes from its parent to it.
    label: Box<[u8]>,
    /// Its number; [`NO_VALUE`]: no prefix ends here.
    value: u32,
    /// By their first byte.
    children: Vec<(u8, u32)>,
}

impl Default for StatementTrie {
    fn default() -> StatementTrie {
        StatementTrie {
            nodes: vec![StatementNode {
                label: [].into(),
                value: NO_VALUE,
                children: Vec::new(),
            }],
            values: 0,
        }
    }
}

impl StatementTrie {
    /// The number of a prefix; prefixes are numbered in the order of their first insertion.
    pub fn insert(&mut self, text: &[u8]) -> u32 {
        let (mut at, mut rest) = (0, text);
        loop {
            let Some(&byte) = rest.first() else {
                if self.nodes[at].value == NO_VALUE {
                    self.nodes[at].value = self.values;
                    self.values += 1;
                }
                return self.nodes[at].value;
            };
            match self.nodes[at]
                .children
                .binary_search_by_key(&byte, |(b, _)| *b)
            {
                Err(place) => {
                    let child = self.push(rest, Vec::new());
                    self.nodes[at].children.insert(place, (byte, child));
                    (at, rest) = (child as usize, &[]);
                }
                Ok(place) => {
                    let child = self.nodes[at].children[place].1;
                    let label = &self.nodes[child as usize].label;
                    let common = label.iter().zip(rest).take_while(|(a, b)| a == b).count();
                    if common == label.len() {
                        (at, rest) = (child as usize, &rest[common..]);
                        continue;
                    }
                    let (head, tail) = (
                        Box::from(&label[..common]),
                        Box::<[u8]>::from(&label[common..]),
                    );
                    let fork = self.push(&head, vec![(tail[0], child)]);
                    self.nodes[child as usize].label = tail;
                    self.nodes[at].children[place].1 = fork;
                    (at, rest) = (fork as usize, &rest[common..]);
                }
            }
        }
    }

    fn push(&mut self, label: &[u8], children: Vec<(u8, u32)>) -> u32 {
        self.nodes.push(StatementNode {
            label: label.into(),
            value: NO_VALUE,
            children,
        });
        self.nodes.len() as u32 - 1
    }

    /// The numbers of all inserted prefixes of a statement, the shortest first.
    pub fn prefixes<'a>(&self, text: &[u8], out: &'a mut [u32; MAX_PREFIXES]) -> &'a [u32] {
        let (mut at, mut rest, mut found) = (0, text, 0);
        loop {
            let node = &self.nodes[at];
            let label = &node.label;
            let same = rest.len() >= label.len()
                && label
                    .iter()
                    .zip(rest)
                    .all(|(a, b)| *a == b.to_ascii_lowercase());
            if !same {
                break;
            }
            rest = &rest[label.len()..];
            if node.value != NO_VALUE && found < out.len() {
                out[found] = node.value;
                found += 1;
            }
            let Some(byte) = rest.first().map(u8::to_ascii_lowercase) else {
                break;
            };
            let Ok(place) = node.children.binary_search_by_key(&byte, |(b, _)| *b) else {
                break;
            };
            at = node.children[place].1 as usize;
        }
        &out[..found]
    }

    /// Bytes that it holds, about.
    pub fn size(&self) -> usize {
        self.nodes.capacity() * size_of::<StatementNode>()
    }
}
