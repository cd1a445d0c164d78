//! Settings and statements of a small deployment.

use std::net::SocketAddr;

/// Classes of a small deployment in the manner of the dispatch site. Times are in microseconds.
pub fn settings(balancers: u32) -> String {
    let class = |name: &str, effect: &str, deadline: u64, goal: u64, worth: f64, late: f64| {
        format!(
            "{{\"Name\":\"{name}\",\"Effect\":\"{effect}\",\"Group\":\"all\",\"Window\":5000000,\"Deadline\":{deadline},\"GoalTime\":{goal},\"Importance\":{worth:.1},\"LateValue\":{late:.1},\"Streaming\":false}}"
        )
    };
    let classes = [
        class("nearby-cabs", "safe", 500_000, 200_000, 1.0, 0.0),
        class("my-booking", "safe", 1_200_000, 300_000, 2.0, 0.2),
        class("trip-history", "safe", 750_000, 250_000, 2.0, 0.0),
        class("confirm-ride", "unsafe", 3_000_000, 1_000_000, 3.0, 0.5),
    ]
    .join(",");
    format!(
        concat!(
            "{{\"Balancers\":{},\"Me\":0,\"MyZone\":0,\"Tier\":0,\"Layers\":[\"booking-db\"],",
            "\"Zones\":[\"thamel-office\",\"lalitpur-office\"],\"HostTypes\":[\"std-4core\"],",
            "\"Classes\":[{}],\"Clients\":{{\"MarksRetry\":true}},\"DomainType\":\"replicas\",",
            "\"FamilyInfo\":{{\"Behind\":\"reject\",\"CountedFrom\":0,\"HoldsFor\":0,",
            "\"NeedsByClass\":[\"recent\",\"own_writes\",\"loose\",\"update\"],\"Positions\":true,",
            "\"RoleListed\":\"off\",\"StalenessBound\":[3000000,0,0,0],\"Synchronous\":false,\"TokenMode\":\"client\"}},",
            "\"Granularity\":5000,\"LoadReport\":{{\"Fields\":[\"x0\",\"x1\",\"backlog\"],\"How\":\"on_probe\"}},",
            "\"OverShareWorth\":0.05,",
            "\"PolicyLimits\":{{\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":97483,\"DialTimeout\":250000,\"Keepalive\":30000000,",
            "\"MaxOpen\":24370,\"MaxRetryAfter\":2000000,\"MayCancel\":true,\"MayTell\":false,\"Probing\":true,",
            "\"RetryAfter\":true,\"SecondCopies\":true,\"StreamsPerConn\":1,\"TryLimit\":8}},",
            "\"Prices\":{{}},\"Realms\":[{{\"Name\":\"ratna-park\",\"QuotaPerS\":268.0,\"Share\":0.54}},",
            "{{\"Name\":\"koteshwor\",\"QuotaPerS\":139.0,\"Share\":0.28}},{{\"Name\":\"patan-dhoka\",\"QuotaPerS\":89.0,\"Share\":0.18}}],",
            "\"RegistryMode\":\"on_request\",",
            "\"Rules\":{{\"AskWithin\":10000000,\"GraceToAnswer\":20000,\"OverloadFactor\":2.0,\"StartCapacity\":0.15,",
            "\"StopSendingWithin\":500000,\"TipAfter\":1500000,\"WarmAfter\":18000000}},",
            "\"ScoreParts\":{{}},\"WeightKind\":\"off\",\"WorthBy\":\"request\"}}"
        ),
        balancers, classes
    )
}

/// The platform's file.
pub fn config(
    name: &str,
    listen: SocketAddr,
    admin: Option<SocketAddr>,
    discovery: SocketAddr,
    known: &str,
    settings: &str,
) -> String {
    let admin = admin.map_or(String::new(), |admin| format!("\"admin\":\"{admin}\","));
    format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",{admin}\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":128,\"sockets\":512}},\"known\":{known},\"settings\":{settings}}}"
    )
}

/// A read of a class that any member may answer, or one with other needs.
pub fn read(class: &str, id: &str, key: &str, d: u64, group: u32) -> String {
    format!("SELECT doc FROM items WHERE id = '{key}' /* id={id},c={class},t=ratna-park,d={d},cluster={group} */")
}

/// A write.
pub fn write(class: &str, id: &str, key: &str, d: u64, group: u32) -> String {
    format!("INSERT INTO items (id, doc) VALUES ('{key}', '\\x9f03') RETURNING doc /* id={id},c={class},t=ratna-park,d={d},cluster={group} */")
}
