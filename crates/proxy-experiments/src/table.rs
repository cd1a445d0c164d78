//! The sections and directives of files of experiments.

use configuration::schema::Args::{Many, One};
use configuration::schema::{count, directive, share, time, Naming, Section};
use configuration::value::Type;

const MINUTE: u64 = 60_000;
const YES: Type = Type::Choice(&["yes", "no"]);
const ANY_SHARE: Type = share((0, 1), (1, 1));

const fn number(least: f64, most: f64) -> Type {
    Type::Number { least, most }
}

const fn text() -> Type {
    Type::Text { most: 200 }
}

/// The sections of files of experiments.
pub static TABLE: &[Section] = &[
    Section {
        keyword: "fleet",
        naming: Naming::Named,
        help: "Record servers: groups of a primary and replicas, on machines that are all alike.",
        directives: &[
            directive("groups", One(count(0, 100_000)), "3", "groups 10", "groups that hold data of their own"),
            directive("members", One(count(0, 100)), "5", "members 4", "servers of a group"),
            directive("sizes", Many(count(1, 100)), "", "sizes 7 5 4", "servers of each group in turn, where they are not all of one size"),
            directive("places", One(count(1, 64)), "2", "places 3", "buildings; a group's members stand in each in turn"),
            directive("cores", One(number(0.1, 1024.0)), "4", "cores 8", "cores of a server"),
            directive("slots", One(count(1, 100_000)), "16", "slots 32", "requests that a server works on at once"),
            directive("room", One(count(0, 1_000_000)), "64", "room 128", "requests that may wait there; further ones are turned away"),
            directive("crowding", One(ANY_SHARE), "20%", "crowding 40%", "of its efficiency, what is lost with all slots taken"),
            directive("cold", One(share((1, 100), (1, 1))), "15%", "cold 30%", "of its capacity, what a server has when it starts"),
            directive("warm-after", One(time(0, 10 * MINUTE)), "18s", "warm-after 5s", "until it has all of it"),
            directive("tip", One(number(0.1, 1000.0)), "2", "tip 3", "a cold server that is sent more than this many times what it can do ..."),
            directive("tip-after", One(time(1, MINUTE)), "1500ms", "tip-after 1s", "... for so long falls over"),
            directive("falls", One(YES), "yes", "falls no", "whether it does; no: it goes on, and is only counted as broken where it got more than chance explains"),
            directive("ship", One(time(0, MINUTE)), "8ms", "ship 15ms", "the log's way to a replica"),
            directive("apply", One(time(0, 10_000)), "4ms", "apply 2ms", "what a commit takes a replica's one thread"),
            directive("give-up", One(time(0, MINUTE)), "2s", "give-up 1s", "a lost primary is given up after this"),
            directive("take-over", One(time(0, MINUTE)), "2500ms", "take-over 3s", "and a replica takes over so much later"),
            directive("hand-over", One(time(0, MINUTE)), "500ms", "hand-over 350ms", "a primary that drains hands over within this"),
            directive("quorum", One(YES), "yes", "quorum no", "only a side with most of a group's members has a primary"),
            directive("report-every", One(time(0, MINUTE)), "100ms", "report-every 240ms", "what probes are told is made anew this often"),
            directive("probe-work", One(time(0, 1_000)), "300us", "probe-work 500us", "work of a core that a probe costs"),
            directive("dial-work", One(time(0, 1_000)), "1ms", "dial-work 3ms", "work of a core that a new connection costs"),
            directive("connections", One(count(1, 1_000_000)), "400", "connections 200", "connections that a server holds"),
            directive("copy-age", One(time(0, 10 * MINUTE)), "5s", "copy-age 7s", "how old the copy is that a new server starts from"),
            directive("checks", One(YES), "yes", "checks no", "whether servers turn away reads that they are too far behind for"),
        ],
    },
    Section {
        keyword: "network",
        naming: Naming::Named,
        help: "The way between proxies and servers.",
        directives: &[
            directive("within", One(time(0, 1_000)), "300us", "within 100us", "one way inside a building"),
            directive("between", One(time(0, 10_000)), "600us", "between 5ms", "one way from one to another"),
            directive("jitter", One(share((0, 1), (10, 1))), "10%", "jitter 50%", "of its way, the most that a message is late"),
            directive("loss", One(share((0, 1), (1, 2))), "0%", "loss 0.1%", "of the messages, those that are lost and sent again"),
            directive("resend", One(time(1, 10_000)), "200ms", "resend 300ms", "what it takes to send one again; the double for each further time"),
        ],
    },
    Section {
        keyword: "discovery",
        naming: Naming::Named,
        help: "The service that keeps the list of servers.",
        directives: &[
            directive("late", One(time(0, 10 * MINUTE)), "4s", "late 8s", "a change is told so much later"),
            directive("call", One(time(0, 10_000)), "2ms", "call 10ms", "what it takes to answer a call; calls are worked through in turn"),
            directive("patience", One(time(1, MINUTE)), "2s", "patience 500ms", "a call that waits for longer fails"),
        ],
    },
    Section {
        keyword: "class",
        naming: Naming::Named,
        help: "A class of requests.",
        directives: &[
            directive("need", One(Type::Choice(&["any", "session", "bounded", "fresh", "write"])), "any", "need session", "what it needs of the data"),
            directive("age", One(time(0, 60 * MINUTE)), "3s", "age 10s", "bounded: how old the data may be"),
            directive("repeat", One(Type::Choice(&["safe", "keyed", "never"])), "safe", "repeat never", "whether it may run twice; keyed: its group drops duplicates"),
            directive("window", One(time(1, 60 * MINUTE)), "10s", "window 1min", "keyed: for how long"),
            directive("share", One(number(0.0, 1e9)), "1", "share 43", "its part of the requests, in proportion to the others'"),
            directive("law", One(Type::Choice(&["fixed", "exponential", "log-normal", "pareto"])), "log-normal", "law pareto", "how its work scatters"),
            directive("work", One(time(0, 10 * MINUTE)), "55ms", "work 20ms", "the mean of its work, in time of a core"),
            directive("spread", One(number(0.0, 100.0)), "0.6", "spread 1.5", "log-normal: standard deviation over mean; pareto: the shape, above 1"),
            directive("by-key", One(ANY_SHARE), "20%", "by-key 0%", "how far keys differ: requests of one key take alike"),
            directive("aim", One(time(1, 10 * MINUTE)), "250ms", "aim 100ms", "wanted within this"),
            directive("deadline", One(time(1, 60 * MINUTE)), "1s", "deadline 3s", "given up after this"),
            directive("worth", One(number(0.0, 1e6)), "1", "worth 3", "what an answer in time is worth"),
            directive("late-worth", One(ANY_SHARE), "0%", "late-worth 20%", "of that, what a late one is"),
        ],
    },
    Section {
        keyword: "tenant",
        naming: Naming::Named,
        help: "One of those who share the fleet.",
        directives: &[
            directive("share", One(number(0.0, 1e9)), "1", "share 54", "its part of the requests, in proportion to the others'"),
            directive("quota", One(number(0.0, 1e9)), "0", "quota 300", "requests a second that count in full; 0: all"),
            directive("line", One(time(0, 60 * MINUTE)), "0s", "line 20s", "the most that it may owe, as a time of its quota; 0s: it borrows nothing"),
            directive("term", One(time(1, 60 * MINUTE)), "20s", "term 60s", "in which a loan is repaid"),
            directive("write-off", One(time(0, 60 * MINUTE)), "5s", "write-off 30s", "after that, what is owed still is written off"),
            directive("floor", One(share((0, 1), (99, 100))), "50%", "floor 70%", "of its quota, what stays while it repays"),
            directive("borrows", Many(Type::Reference("class")), "", "borrows search", "classes that it borrows for; none: all"),
            directive("lend-rate", One(count(1, 10_000_000)), "1000000", "lend-rate 500", "the most that is lent in a second"),
        ],
    },
    Section {
        keyword: "load",
        naming: Naming::Named,
        help: "Clients: requests come by themselves, whatever becomes of those before them.",
        directives: &[
            directive("rate", One(number(0.0, 1e7)), "500", "rate 1700", "requests a second, to all proxies together"),
            directive("proxies", One(count(0, 10_000)), "4", "proxies 40", "proxies"),
            directive("unequal", One(number(0.0, 4.0)), "0", "unequal 1", "the n-th proxy's part falls with n to this power"),
            directive("busy", One(share((0, 1), (1, 1))), "0%", "busy 10%", "of the proxies, those that are busier than the others; 0%: none"),
            directive("busy-carry", One(ANY_SHARE), "90%", "busy-carry 80%", "of the requests, those that come to the busy"),
            directive("skew", One(number(0.0, 4.0)), "0", "skew 0.7", "the n-th group's part falls with n to this power"),
            directive("classes", Many(Type::Reference("class")), "", "classes search order", "the classes that are asked for"),
            directive("tenants", Many(Type::Reference("tenant")), "", "tenants acme globex", "those who ask; none: one who has no name"),
            directive("over-worth", One(ANY_SHARE), "5%", "over-worth 0%", "of its worth, what a request beyond its tenant's quota keeps"),
            directive("profile", Many(text()), "", "profile 0s:100% 10s:250% 30s:100%", "how many times the rate, at which time, in straight lines between; or dashain, tihar, rain or bus"),
            directive("sessions", One(count(1, 100_000_000)), "400", "sessions 10000", "sessions at each proxy"),
            directive("after-write", One(ANY_SHARE), "70%", "after-write 0%", "of reads that need their session's writes, those that come soon after one"),
            directive("soon", One(time(1, MINUTE)), "400ms", "soon 160ms", "how soon, about"),
            directive("repeats", One(count(0, 20)), "0", "repeats 3", "further tries of a client whose request came to nothing"),
            directive("wait", One(time(1, MINUTE)), "150ms", "wait 50ms", "before each, unless the proxy says when to come back"),
            directive("heeds", One(YES), "yes", "heeds no", "whether clients come back when they are told to"),
            directive("marks", One(YES), "yes", "marks no", "whether repeats say that they are"),
            directive("patience-from", One(share((1, 100), (1, 1))), "100%", "patience-from 40%", "of the deadline, what the least patient give a try ..."),
            directive("patience-to", One(share((1, 100), (1, 1))), "100%", "patience-to 100%", "... and the most patient"),
        ],
    },
    Section {
        keyword: "trouble",
        naming: Naming::Named,
        help: "Something that goes wrong for a while.",
        directives: &[
            directive("kind", One(Type::Choice(&["die", "hang", "slow", "hold", "deploy", "list-behind", "list-down", "surge", "cut", "split", "loss", "proxy-dies", "apart"])), "", "kind hang", "what it is"),
            directive("at", One(time(0, 60 * MINUTE)), "10s", "at 15s", "when it begins"),
            directive("for", One(time(0, 60 * MINUTE)), "12s", "for 5s", "how long it lasts; what has died is back after this"),
            directive("of", Many(text()), "", "of primary:0-2 member:1.3 place:1 share:25% proxy:0-3 all", "which servers, or proxies"),
            directive("times", One(number(0.0, 100.0)), "2", "times 3", "slow: times as long; surge: times as many"),
            directive("more", One(time(0, 10 * MINUTE)), "5s", "more 8s", "list-behind: so much later than usual"),
            directive("place", One(count(0, 63)), "1", "place 0", "cut and split: the building"),
            directive("ways", One(Type::Choice(&["both", "back"])), "both", "ways back", "cut: back: requests pass and answers don't"),
            directive("tenant", One(Type::Reference("tenant")), "", "tenant globex", "surge: of one tenant alone"),
            directive("part", One(ANY_SHARE), "1%", "part 5%", "loss: of the messages"),
        ],
    },
    Section {
        keyword: "scenario",
        naming: Naming::Named,
        help: "A day: what there is, who asks, what goes wrong.",
        directives: &[
            directive("about", One(text()), "", "about \"three primaries die\"", "a line on it"),
            directive("length", One(time(100, 600 * MINUTE)), "40s", "length 60s", "how long requests come"),
            directive("fleet", One(Type::Reference("fleet")), "", "fleet small", "the servers; those of the defaults, if not stated"),
            directive("network", One(Type::Reference("network")), "", "network wide", "the way to them"),
            directive("discovery", One(Type::Reference("discovery")), "", "discovery slow", "the list of them"),
            directive("load", One(Type::Reference("load")), "", "load evening", "those who ask"),
            directive("troubles", Many(Type::Reference("trouble")), "", "troubles primaries-die", "what goes wrong"),
            directive("tries", One(count(0, 1_000)), "8", "tries 4", "attempts that a proxy may make for a request; 0: any number"),
            directive("probes", One(YES), "yes", "probes no", "whether proxies may probe servers"),
            directive("second-copies", One(YES), "yes", "second-copies no", "whether a second attempt may run beside the first"),
            directive("come-back-most", One(time(0, 10 * MINUTE)), "2s", "come-back-most 500ms", "the longest that the refused are told to wait; 0s: they are told nothing"),
            directive("drain-grace", One(time(0, MINUTE)), "500ms", "drain-grace 250ms", "sends to a draining server have to stop within this"),
            directive("keepalive", One(time(1, 60 * MINUTE)), "30s", "keepalive 5s", "an idle connection is closed after this"),
            directive("dial-wait", One(time(1, MINUTE)), "250ms", "dial-wait 1s", "a connection that does not come up is given up after this"),
            directive("talk", One(YES), "no", "talk yes", "whether proxies of the module hear what the others see, and lend; one account over the fleet"),
            directive("talk-every", One(time(250, MINUTE)), "1s", "talk-every 2s", "from word to word of a proxy"),
            directive("talk-late", One(time(0, MINUTE)), "1s", "talk-late 300ms", "the most that a word is late; the least is three tenths of that"),
            directive("talk-loss", One(ANY_SHARE), "0%", "talk-loss 10%", "of the words, those that never come"),
            directive("talk-dead", One(time(1, 10 * MINUTE)), "5s", "talk-dead 10s", "who was not heard for so long counts as dead where most are heard"),
            directive("lease", One(time(1, 10 * MINUTE)), "5s", "lease 2s", "how long a proxy lends after most have echoed it"),
            directive("short-least", One(count(1, 1_000)), "3", "short-least 5", "nobody borrows while a proxy refuses so many within their quota in half a second ..."),
            directive("short-part", One(ANY_SHARE), "5%", "short-part 5%", "... and more than this part of those asked there"),
        ],
    },
    Section {
        keyword: "tuning",
        naming: Naming::Named,
        help: "Constants of the decision module that are not as they stand there.",
        directives: &[
            directive("set", Many(text()), "", "set room_late=0.6 door=2", "names of the module's constants, and values"),
        ],
    },
    Section {
        keyword: "policy",
        naming: Naming::Named,
        help: "Who decides in the proxies.",
        directives: &[
            directive("kind", One(Type::Choice(&["module", "planned", "primary-only", "random", "round-robin", "least-outstanding", "two-choices", "peak-ewma", "local-quota", "oracle", "blind-oracle"])), "module", "kind two-choices", "the decision module, a baseline, or who sees everything"),
            directive("tuning", One(Type::Reference("tuning")), "", "tuning patient", "of the module"),
        ],
    },
    Section {
        keyword: "grid",
        naming: Naming::Named,
        help: "A value that is varied.",
        directives: &[
            directive("key", One(text()), "", "key load.rate", "section and directive; or tuning and a constant's name"),
            directive("values", Many(text()), "", "values 500 1000 2000", "what it takes in turn"),
        ],
    },
    Section {
        keyword: "experiment",
        naming: Naming::Named,
        help: "Scenarios, policies, grids and seeds: one run for each combination.",
        directives: &[
            directive("scenarios", Many(Type::Reference("scenario")), "", "scenarios calm primaries-die", "the days"),
            directive("policies", Many(Type::Name), "module", "policies module two-choices", "sections of that name, or kinds of policy as they are"),
            directive("grids", Many(Type::Reference("grid")), "", "grids rates", "values that are varied, all with all"),
            directive("seeds", Many(Type::Groups), "1-4", "seeds 1-16", "the seeds"),
            directive("against", One(Type::Name), "", "against module", "the policy that the others are compared with; the first, if not stated"),
        ],
    },
];

#[cfg(test)]
mod tests {
    #[test]
    fn the_table_keeps_its_own_rules() {
        assert_eq!(
            configuration::schema::table_errors(super::TABLE),
            Vec::<String>::new()
        );
    }
}
