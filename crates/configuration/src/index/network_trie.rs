//! A trie of networks: finds the networks that contain an address.

use super::summary::Summary;
use crate::route;
use std::net::IpAddr;

/// In place of a node's position: there is no node.
const NO_NODE: u32 = u32::MAX;

/// A path-compressed binary trie of prefixes of addresses.
#[derive(Debug)]
pub(super) struct NetworkTrie {
    pub nodes: Vec<NetworkNode>,
    /// For each IPv4 /16, the node at which the search for its addresses starts; empty if there are few nodes.
    slash16: Vec<u32>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct NetworkNode {
    first: u128,
    length: u8,
    /// A route has this prefix; else the node only branches.
    is_prefix: bool,
    /// Some routes of this network have a condition on the statement.
    pub has_statements: bool,
    children: [u32; 2],
    /// The node of the longest prefix of a route that contains this one; [`NO_NODE`] if there is none.
    pub parent: u32,
    /// Summary of the routes of this network that have no condition on the statement.
    pub summary: Summary,
}

impl NetworkNode {
    fn new(first: u128, length: u8, children: [u32; 2]) -> NetworkNode {
        NetworkNode {
            first,
            length,
            is_prefix: false,
            has_statements: false,
            children,
            parent: NO_NODE,
            summary: Summary::EMPTY,
        }
    }
}

/// Number of nodes from which the table of 256 KiB for IPv4 /16 networks saves more time than it costs.
const SLASH16_TABLE_FROM: usize = 4_096;
/// Length of an IPv4 /16 prefix mapped into IPv6, in bits.
const SLASH16_LENGTH: u8 = 112;

fn bit(number: u128, at: u8) -> usize {
    (number >> (127 - u32::from(at)) & 1) as usize
}

impl Default for NetworkTrie {
    fn default() -> NetworkTrie {
        NetworkTrie {
            nodes: vec![NetworkNode::new(0, 0, [NO_NODE; 2])],
            slash16: Vec::new(),
        }
    }
}

impl NetworkTrie {
    /// Inserts a prefix if it is missing, and returns the position of its node.
    pub fn insert(&mut self, first: u128, length: u8) -> u32 {
        let mut at = 0;
        loop {
            let node = self.nodes[at];
            if node.length == length {
                self.nodes[at].is_prefix = true;
                return at as u32;
            }
            let side = bit(first, node.length);
            let child = node.children[side];
            if child == NO_NODE {
                self.nodes[at].children[side] = self.nodes.len() as u32;
                at = self.push(first, length, [NO_NODE; 2]);
                continue;
            }
            let below = self.nodes[child as usize];
            let common = ((first ^ below.first).leading_zeros() as u8)
                .min(length)
                .min(below.length);
            if common < below.length {
                // The prefix diverges before the child: a node is inserted above it.
                let mut children = [NO_NODE; 2];
                children[bit(below.first, common)] = child;
                self.nodes[at].children[side] = self.nodes.len() as u32;
                at = self.push(first & route::prefix_mask(common), common, children);
            } else {
                at = child as usize;
            }
        }
    }

    fn push(&mut self, first: u128, length: u8, children: [u32; 2]) -> usize {
        self.nodes.push(NetworkNode::new(first, length, children));
        self.nodes.len() - 1
    }

    /// Links each prefix to the one that contains it. Must be called after the last insertion and before the first search.
    pub fn link_parents(&mut self) {
        let mut open = vec![0_u32];
        while let Some(at) = open.pop() {
            let node = self.nodes[at as usize];
            let parent = if node.is_prefix { at } else { node.parent };
            for child in node.children.into_iter().filter(|c| *c != NO_NODE) {
                self.nodes[child as usize].parent = parent;
                open.push(child);
            }
        }
        if self.nodes.len() >= SLASH16_TABLE_FROM {
            let base = route::address_number(IpAddr::from([0, 0, 0, 0]));
            self.slash16 = (0..1_u128 << 16)
                .map(|net| self.deepest(base | net << 16, 0, SLASH16_LENGTH))
                .collect();
        }
    }

    /// The deepest node that contains an address and has at most the length `longest`.
    fn deepest(&self, address: u128, from: u32, longest: u8) -> u32 {
        let mut at = from;
        loop {
            let node = &self.nodes[at as usize];
            if node.length >= longest {
                return at;
            }
            let child = node.children[bit(address, node.length)];
            let Some(next) = self
                .nodes
                .get(child as usize)
                .filter(|n| n.length <= longest)
            else {
                return at;
            };
            if (address ^ next.first) & route::prefix_mask(next.length) != 0 {
                return at;
            }
            at = child;
        }
    }

    /// The node of the longest prefix that contains an address; its other prefixes are linked by `parent`.
    pub fn find(&self, address: u128) -> u32 {
        let mapped = address >> 32 == 0xffff;
        let from = self
            .slash16
            .get((address >> 16 & 0xffff) as usize)
            .filter(|_| mapped)
            .copied()
            .unwrap_or(0);
        let at = self.deepest(address, from, 128);
        let node = &self.nodes[at as usize];
        if node.is_prefix {
            at
        } else {
            node.parent
        }
    }

    /// Approximate size in bytes.
    pub fn size(&self) -> usize {
        self.nodes.capacity() * size_of::<NetworkNode>()
            + self.slash16.capacity() * size_of::<u32>()
    }
}
