//! Guards that a test can switch off to verify that the model checker detects the absence of each. In other builds all guards
//! are always on.

/// A guard that a test can switch off.
#[cfg(test)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Guard {
    /// Entering a stage requires a majority of votes.
    Quorum,
    /// Majorities are counted over the whole roster, not over the reachable members.
    Roster,
    /// Entering a stage requires that changes may be promoted to its region.
    PromotableRegion,
    /// A halted version does not run.
    HaltPrecedence,
    /// Halts are persisted and survive a restart.
    PersistedHalts,
    /// At most one new version runs in the fleet at any time.
    SingleNewVersion,
    /// A member votes for the next stage only if the evidence is clean.
    CleanEvidence,
    /// Repeated crashes of a member halt the rollout.
    Crash,
    /// A member does not vote for the next stage while a member of the stage has not reported that it runs the version.
    MembersReported,
}

/// Whether the guard is switched on for `$self`.
macro_rules! guard {
    ($self:ident, $guard:ident) => {{
        #[cfg(test)]
        let on = $self.disabled_guard != Some($crate::guard::Guard::$guard);
        #[cfg(not(test))]
        let on = true;
        on
    }};
}
pub(crate) use guard;
