//! Identifiers. All of them are given by the host and mean nothing to the router but identity and order.

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty);)*) => {$(
        #[$doc]
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A member of a group: a primary or a replica.
    ServerId(u32);
    /// The servers that hold the same data.
    GroupId(u32);
    /// A client's request, as named by the host.
    RequestId(u64);
    /// The session to which a write, or a read of its own writes, belongs.
    SessionKey(u64);
    /// Index into `Settings::classes`.
    ClassId(u16);
    /// Index into `Settings::tenants`.
    TenantId(u16);
    /// A zone. Traffic from one zone to another may cost more.
    ZoneId(u16);
    /// Index of a machine type in the platform's settings.
    MachineTypeId(u16);
    /// The attempts of one request, counted from 0 in the order sent.
    AttemptNumber(u16);
    /// Returned with a timer.
    TimerToken(u32);
}
