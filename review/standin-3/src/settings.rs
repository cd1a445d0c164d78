//! The settings object of a small deployment, in the form of the wire page.

/// What differs between the cases.
pub struct Settings {
    pub balancers: usize,
    pub me: usize,
    /// `off` or `reject`.
    pub behind: &'static str,
    /// `client` or `router`.
    pub tokens: &'static str,
    /// Lists are pushed and show who was the primary at the start; otherwise they are asked for and show no roles.
    pub pushed: bool,
}

/// Classes: `near` (recent, 3 s), `own` (own_writes), `any` (loose), `order` (update, unsafe). Deadlines 0.5, 1.2, 0.75
/// and 3 s.
pub fn object(settings: &Settings) -> String {
    let Settings {
        balancers,
        me,
        behind,
        tokens,
        pushed,
    } = settings;
    // Where lists are pushed here, answers to reads tell no positions either, as at the site of case 9.
    let positions = !pushed;
    let (registry, roles) = if *pushed {
        ("pushed", "initial")
    } else {
        ("on_request", "off")
    };
    let class = |name: &str, effect: &str, goal: u64, deadline: u64, worth: f64, late: f64| {
        format!("{{\"Deadline\":{deadline},\"Effect\":\"{effect}\",\"GoalTime\":{goal},\"Group\":\"all\",\"Importance\":{worth},\"LateValue\":{late},\"Name\":\"{name}\",\"Streaming\":false,\"Window\":5000000}}")
    };
    let classes = [
        class("near", "safe", 200_000, 500_000, 1.0, 0.0),
        class("own", "safe", 300_000, 1_200_000, 2.0, 0.2),
        class("any", "safe", 250_000, 750_000, 2.0, 0.0),
        class("order", "unsafe", 1_000_000, 3_000_000, 3.0, 0.5),
    ]
    .join(",");
    format!(
        r#"{{"Balancers":{balancers},"Classes":[{classes}],"Clients":{{"MarksRetry":true}},"DomainType":"replicas",
"FamilyInfo":{{"Behind":"{behind}","CountedFrom":0,"HoldsFor":0,"NeedsByClass":["recent","own_writes","loose","update"],"Notes":"","Positions":{positions},"ReportX0":"position","ReportX1":"1 from a primary","RoleListed":"{roles}","StalenessBound":[3000000,0,0,0],"Synchronous":false,"TokenMode":"{tokens}"}},
"Granularity":5000,"HostTypes":["std"],"Layers":["booking-db"],"LoadReport":{{"Fields":["x0","x1","backlog"],"How":"on_probe"}},"Me":{me},"MyZone":0,"OverShareWorth":0.05,
"PolicyLimits":{{"CpuUsPerRequest":0.0,"CpuUsPerS":97483,"DialTimeout":250000,"Keepalive":30000000,"MaxOpen":24370,"MaxRetryAfter":2000000,"MayCancel":true,"MayTell":false,"Probing":true,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":1,"TryLimit":8}},
"Prices":{{}},"Realms":[{{"Name":"t1","QuotaPerS":500.0,"Share":1.0}}],"RegistryMode":"{registry}",
"Rules":{{"AskWithin":10000000,"GraceToAnswer":20000,"OverloadFactor":2.0,"StartCapacity":0.15,"StopSendingWithin":500000,"TipAfter":1500000,"WarmAfter":18000000}},
"ScoreParts":{{}},"Tier":0,"WeightKind":"off","WorthBy":"request","Zones":["a"]}}"#
    )
}
