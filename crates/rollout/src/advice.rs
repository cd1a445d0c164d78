//! What an operator can do about each rejected command. The match has no wildcard, so a variant without advice does not compile.

use crate::CommandRejected;

impl CommandRejected {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            CommandRejected::InProgress(_) => {
                "See how far it is with `leverproxy rollout status`, and wait for `whole`; or `leverproxy rollout halt` on any proxy, then propose again."
            }
            CommandRejected::HaltedBefore(_) => {
                "See why with `leverproxy rollout status`. Mend the file and propose it as the new version that it then is; `leverproxy rollout resume` only if the halt was not the file's fault."
            }
            CommandRejected::AlreadyRunning => {
                "Nothing to do: `leverproxy rollout status` says who runs what. A version is the hash of the file alone: what it includes may change without a new version."
            }
            CommandRejected::NoRollout => {
                "`leverproxy rollout status` says what runs. If another proxy knows of a rollout that this one has not heard of, halt it there, and look at `lb_members_state` here."
            }
            CommandRejected::InvalidOrder(_) => {
                "Let `order` in the section `rollout` name each region of the roster once, or leave it out: then all go in order of their names. It counts from the next start. If `order` is left out, the roster has more regions than a rollout takes."
            }
            CommandRejected::OrderTooLong(_) => "Give the regions shorter names in the sections `member`, on all hosts.",
        }
    }
}
