//! A trie of prefixes of statements: finds the prefixes of a statement.

/// Maximum number of prefixes of one statement; the maximum length of a prefix in the language does not allow more.
pub(super) const MAX_PREFIXES: usize = 258;

/// In place of a prefix's number: there is no prefix.
const NO_VALUE: u32 = u32::MAX;

/// A path-compressed trie of prefixes of statements.
#[derive(Debug)]
pub(super) struct StatementTrie {
    nodes: Vec<StatementNode>,
    /// Number of the next prefix.
    values: u32,
}

#[derive(Debug)]
struct StatementNode {
    /// The bytes between the parent and this node.
    label: Box<[u8]>,
    /// Number of the prefix that ends here; [`NO_VALUE`] if none does.
    value: u32,
    /// First byte and position of each child, sorted by the byte.
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
    /// Inserts a prefix if it is missing, and returns its number. Prefixes are numbered in the order of insertion.
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

    /// Approximate size in bytes.
    pub fn size(&self) -> usize {
        self.nodes.capacity() * size_of::<StatementNode>()
    }
}
