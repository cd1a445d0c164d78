//! Operators' rollout commands from the control socket.

use super::version::parse_hash;
use ::rollout::VersionHash;

/// A command for rollouts of the operators' file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutCommand {
    /// Propose the rollout of a candidate.
    Propose(VersionHash),
    /// Propose a candidate again whose rollout was halted.
    Resume(VersionHash),
    /// Halt the rollout.
    Halt,
    /// Return to the previous version.
    Return,
    /// Print the rollout's state.
    Status,
}

impl RolloutCommand {
    /// Parses a command line without the leading word `rollout`; none if it is invalid.
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
