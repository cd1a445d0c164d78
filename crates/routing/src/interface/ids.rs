//! Identifiers, assigned by the host. The router uses only their identity and order.

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
    /// A client's request.
    RequestId(u64);
    /// The session of a write or of a read-your-writes read.
    SessionKey(u64);
    /// Index into `Settings::classes`.
    ClassId(u16);
    /// Index into `Settings::tenants`.
    TenantId(u16);
    /// A zone. Traffic from one zone to another may cost more.
    ZoneId(u16);
    /// A machine type.
    MachineTypeId(u16);
    /// Number of an attempt within its request, from 0 in the order sent.
    AttemptNumber(u16);
    /// Token that identifies a timer to the router.
    TimerToken(u32);
}
