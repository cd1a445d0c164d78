//! What proxies say to one another of a rollout. Each body begins with the version of its form; what is of another
//! form is of a later build and is not read.

use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::cmp::Reverse;

/// SHA-256 of the file of a policy.
pub type Hash = [u8; 32];

/// A body has no more.
pub const BODY_BYTES: usize = 512;
/// Of the halts that are remembered. Epochs only grow: one that is older than all of these can't come again.
pub const HALTS: usize = 6;
/// Of the name of whoever halted, and of a reason.
const NAME_BYTES: usize = 24;
const REASON_BYTES: usize = 160;
/// Of an account by class.
pub const CLASSES: usize = 8;
const FORM: u8 = 1;

/// That a version shall reach the fleet, and in which order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    pub epoch: u64,
    pub hash: Hash,
    pub proposer: String,
    /// All regions of the roster.
    pub order: Vec<String>,
    /// Proxies of the first region that go before all others.
    pub canary: u16,
}

impl Proposal {
    /// The one proposal that all choose, whichever they hear first.
    pub fn rank(&self) -> (u64, Reverse<&Hash>, Reverse<&str>) {
        (self.epoch, Reverse(&self.hash), Reverse(&self.proposer))
    }
}

/// Why a version was halted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Why {
    Operator,
    /// In good order, by the operator's wish.
    Return,
    /// More loss than beside it, in total.
    Loss,
    /// Of one class.
    Class,
    /// A proxy started anew again and again.
    Crash,
    /// A proxy that ran it was not heard any more.
    Gone,
    /// The one that halted was cut off from the fleet while it ran it.
    CutOff,
}

impl Why {
    pub fn text(self) -> &'static str {
        match self {
            Why::Operator => "an operator said so",
            Why::Return => "an operator asked for the former version",
            Why::Loss => "it loses more than the former version beside it",
            Why::Class => "it loses more of one class than the former version beside it",
            Why::Crash => {
                "a proxy that was to run it started anew more than once, and not in order"
            }
            Why::Gone => "a proxy that was to run it has not been heard for too long",
            Why::CutOff => "the proxy that ran it was cut off from the fleet for too long",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Halted {
    pub epoch: u64,
    pub hash: Hash,
    pub by: String,
    pub why: Why,
}

/// Whether a proxy has the file and could run it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ready {
    NotYet,
    Yes,
    Cannot(String),
}

/// How a proxy stands to the proposal that it goes by.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Word {
    pub epoch: u64,
    pub hash: Hash,
    pub proposer: String,
    /// It votes for so many stages: 1 is the canary.
    pub votes: u8,
    /// It has seen a quorum for so many.
    pub reached: u8,
    pub new: bool,
    pub ready: Ready,
}

impl Word {
    pub fn of(&self, p: &Proposal) -> bool {
        self.epoch == p.epoch && self.hash == p.hash && self.proposer == p.proposer
    }
}

/// That a change of one's process is no crash, by the process's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Orderly {
    /// This one was told to end.
    Left(u64),
    /// This one took over from its elder.
    Heir(u64),
}

/// Worth asked for and lost since the version began to run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Class {
    /// A number by the class's name.
    pub class: u32,
    pub asked: u64,
    pub lost: u64,
}

impl Class {
    /// What has come since. Counts only grow; what falls is another process's, or a lie.
    pub(crate) fn since(self, was: Class) -> Class {
        let (asked, lost) = (
            self.asked.saturating_sub(was.asked),
            self.lost.saturating_sub(was.lost),
        );
        Class {
            class: self.class,
            asked,
            lost,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counts {
    pub epoch: u64,
    pub new: bool,
    /// Raised when counting begins anew.
    pub turn: u32,
    pub total: Class,
    pub classes: Vec<Class>,
}

/// What a state directory holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Stored {
    pub base: Hash,
    pub proposal: Option<Proposal>,
    pub reached: u8,
    pub halts: Vec<Halted>,
}

pub(crate) fn cut(text: &str, most: usize) -> String {
    let end = (0..=most.min(text.len()))
        .rev()
        .find(|&at| text.is_char_boundary(at))
        .unwrap_or(0);
    text[..end].to_owned()
}

pub(crate) fn name(text: &str) -> String {
    cut(text, NAME_BYTES)
}

pub(crate) fn reason(text: &str) -> String {
    cut(text, REASON_BYTES)
}

pub(crate) fn encode<T: Serialize>(what: &T) -> Vec<u8> {
    // Into memory that grows, of plain data: it does not fail; nothing said is the safe end if it did.
    postcard::to_extend(what, vec![FORM]).unwrap_or_default()
}

/// None: of another form, torn, or with more behind it.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    match body.split_first() {
        Some((&FORM, rest)) => match postcard::take_from_bytes(rest) {
            Ok((read, [])) => Some(read),
            _ => None,
        },
        _ => None,
    }
}
