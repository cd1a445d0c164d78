//! Advice to operators for each rejected command. The match has no wildcard, so a variant without advice does not compile.

use crate::CommandRejected;

impl CommandRejected {
    /// What the operator can do about the rejection.
    pub fn advice(&self) -> &'static str {
        match self {
            CommandRejected::InProgress(_) => {
                "Check the progress with `leverproxy rollout status` and wait for the phase `whole`, or run `leverproxy rollout halt` on any proxy and propose again."
            }
            CommandRejected::HaltedBefore(_) => {
                "`leverproxy rollout status` shows the reason for the halt. Fix the file and propose it; its new content makes it a new version. Use `leverproxy rollout resume` only if the file did not cause the halt."
            }
            CommandRejected::AlreadyRunning => {
                "No action is needed: `leverproxy rollout status` shows which version each proxy runs. A version is the hash of the file alone: the files that it includes can change without a new version."
            }
            CommandRejected::NoRollout => {
                "`leverproxy rollout status` shows the version that runs. If another proxy reports a rollout that this proxy has not received, halt it on that proxy, and check `lb_members_state` on this one."
            }
            CommandRejected::InvalidOrder(_) => {
                "Name each region of the roster exactly once in `order` of the section `rollout`, or omit `order` to use all regions in the order of their names. A change takes effect at the next start. If `order` is already omitted, the roster has more regions than a rollout supports."
            }
            CommandRejected::OrderTooLong(_) => "Use shorter names for the regions in the sections `member`, on all hosts.",
        }
    }
}
