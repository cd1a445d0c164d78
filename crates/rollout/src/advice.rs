//! What an operator can do about each refusal, longer than its message says it. The match has no wildcard: a refusal
//! without advice does not compile.

use crate::Refused;

impl Refused {
    pub fn advice(&self) -> &'static str {
        match self {
            Refused::UnderWay(_) => {
                "See how far it is with `leverproxy rollout status`, and wait for `whole`; or `leverproxy rollout halt` on any proxy, then propose again."
            }
            Refused::Halted(_) => {
                "See why with `leverproxy rollout status`. Mend the file and propose it as the new version that it then is; `leverproxy rollout resume` only if the halt was not the file's fault."
            }
            Refused::Runs => {
                "Nothing to do: `leverproxy rollout status` says who runs what. A version is the hash of the file alone: what it includes may change without a new version."
            }
            Refused::Nothing => {
                "`leverproxy rollout status` says what runs. If another proxy knows of a rollout that this one has not heard of, halt it there, and look at `lb_members_state` here."
            }
            Refused::Order(_) => {
                "Let `order` in the section `rollout` name each region of the roster once, or leave it out: then all go in order of their names. It counts from the next start. If `order` is left out, the roster has more regions than a rollout takes."
            }
            Refused::Long(_) => "Give the regions shorter names in the sections `member`, on all hosts.",
        }
    }
}
