//! Operators' commands to the rollout, as the control socket brings them.

use super::version::parse_hash;
use ::rollout::VersionHash;

/// A command to the rollout of the operators' file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutCommand {
    /// Roll a candidate out.
    Propose(VersionHash),
    /// The same, although it was halted before.
    Resume(VersionHash),
    /// Halt the rollout.
    Halt,
    /// Return to the version before.
    Return,
    /// Print the rollout's state.
    Status,
}

impl RolloutCommand {
    /// The command of a line, without the word `rollout` before it; none: it can't be parsed.
    pub fn parse(line: &str) -> Option<RolloutCommand> {
        let mut words = line.split_whitespace();
        let command = match (words.next()?, words.next()) {
            ("propose", Some(hash)) => RolloutCommand::Propose(parse_hash(hash)?),
            ("resume", Some(hash)) => RolloutCommand::Resume(parse_hash(hash)?),
            ("halt", None) => RolloutCommand::Halt,
            ("return", None) => RolloutCommand::Return,
            ("status", None) => RolloutCommand::Status,
            _ => return None,
        };
        words.next().is_none().then_some(command)
    }
}
