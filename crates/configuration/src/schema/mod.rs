//! The table of all sections and directives of the language. The checker uses it, and the table of the operators' page is
//! generated from it.

mod balancers;
mod builders;
mod clients;
mod fleet;
mod page;
mod process;
mod routing;
#[cfg(test)]
mod tests;
mod types;
mod validation;

pub use builders::{count, directive, ms, share, size, time};
pub use page::markdown_of;
pub use types::{Args, Directive, Naming, Section, Table, TakesEffect};
pub use validation::table_errors;

/// Maximum number of values of a directive.
pub const VALUES_LIMIT: usize = 10_000;
/// Maximum number of sections `window`.
pub const WINDOWS_LIMIT: usize = 1_000;
/// Maximum number of sections `member`.
pub const MEMBERS_LIMIT: usize = 1_000;
/// Maximum number of sections `credit`: the lending state machine keeps balances of at most that many tenants.
pub const CREDITS_LIMIT: usize = 20;
/// Maximum length of a member's name, in bytes.
pub const MEMBER_NAME_LIMIT: usize = 64;

/// The table of the operators' file, in the order of the operators' page.
pub static SECTIONS: &[Section] = &[
    clients::LIMITS,
    process::DISCOVERY,
    clients::LISTENER,
    routing::CALENDAR,
    routing::WINDOW,
    routing::POOL,
    routing::CLASS,
    routing::ROUTE,
    routing::POLICY,
    balancers::HEALTH,
    balancers::BALANCER,
    balancers::DRAIN,
    balancers::AVAILABILITY,
    fleet::MEMBERS,
    fleet::MEMBER,
    fleet::ROLLOUT,
    process::MEMORY,
    fleet::LENDING,
    fleet::CREDIT,
    fleet::SITES,
    process::CONTROL,
    process::LOGGING,
];

/// The section of the operators' table with this keyword.
pub fn section(keyword: &str) -> Option<&'static Section> {
    SECTIONS.iter().find(|s| s.keyword == keyword)
}

/// The operators' table of directives, in Markdown.
pub fn markdown() -> String {
    markdown_of(SECTIONS, true)
}
