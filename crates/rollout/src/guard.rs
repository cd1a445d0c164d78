//! Guards that a test can switch off, to see that the model checker misses each of them. Outside of tests they are always on.

/// A guard that a test can switch off.
#[cfg(test)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Guard {
    /// A stage needs a majority of votes.
    Quorum,
    /// Majorities are counted over the roster, not over reachable members.
    Roster,
    /// A stage needs a region to which changes may be promoted.
    PromotableRegion,
    /// A halted version does not run.
    HaltPrecedence,
    /// Halts outlive a restart.
    PersistedHalts,
    /// Two new versions never run at a time.
    SingleNewVersion,
    /// Nobody votes for the next stage without clean evidence.
    CleanEvidence,
    /// A member that crashes again and again is noticed.
    Crash,
    /// Nobody votes while a member of the stage has not reported.
    MembersReported,
}

/// Whether a guard is on for `$self`.
macro_rules! guard {
    ($self:ident, $guard:ident) => {{
        #[cfg(test)]
        let on = $self.without != Some($crate::guard::Guard::$guard);
        #[cfg(not(test))]
        let on = true;
        on
    }};
}
pub(crate) use guard;
