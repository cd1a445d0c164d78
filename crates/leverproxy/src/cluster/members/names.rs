//! Names of statuses and operations in metrics, log lines and status text.

use membership::{GuardedOperation, Status};

/// Operations shown in metrics and status text.
pub(super) const REPORTED_OPERATIONS: [GuardedOperation; 4] = [
    GuardedOperation::Lend,
    GuardedOperation::Repay,
    GuardedOperation::Promote,
    GuardedOperation::Halt,
];
/// All statuses.
pub(super) const STATUSES: [Status; 5] = [
    Status::NeverHeard,
    Status::Alive,
    Status::Suspect,
    Status::Down,
    Status::Left,
];

pub(super) fn operation_name(operation: GuardedOperation) -> &'static str {
    match operation {
        GuardedOperation::Lend => "lend",
        GuardedOperation::SpendOwn => "spend-own",
        GuardedOperation::Repay => "repay",
        GuardedOperation::Promote => "promote",
        GuardedOperation::Halt => "halt",
        GuardedOperation::TrustRemoteFact => "trust-remote-fact",
    }
}

pub(super) fn status_name(status: Status) -> &'static str {
    match status {
        Status::NeverHeard => "never-heard",
        Status::Alive => "alive",
        Status::Suspect => "suspect",
        Status::Down => "down",
        Status::Left => "left",
    }
}
