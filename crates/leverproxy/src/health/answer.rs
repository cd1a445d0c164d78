//! Answers to health checks.

use std::collections::BTreeMap;
use std::time::Instant;

use wire_health::http::{self, Statuses};
use wire_health::{agent, Status};

use super::{Check, Counts, UNSENT_BYTES};

/// Balancers whose views are kept.
const VIEWS_LIMIT: usize = 16;

/// What balancers last said of this server, by their names.
#[derive(Debug, Default)]
pub(super) struct BalancerViews(BTreeMap<String, String>);

impl BalancerViews {
    fn record(&mut self, balancer: String, view: String) {
        if self.0.len() < VIEWS_LIMIT || self.0.contains_key(&balancer) {
            self.0.insert(balancer, view);
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &String)> {
        self.0.iter()
    }
}

/// Answers an agent check: one line, then the end.
pub(super) fn answer_agent(
    check: &mut Check,
    expects_text: bool,
    status: &Status,
    counts: &mut Counts,
) {
    let request = agent::parse_request(check.stream.input.unused());
    // A balancer that never ends its line is answered too.
    let is_complete =
        !expects_text || request.is_some() || check.stream.input.len() >= agent::TEXT_LIMIT;
    if check.closing || !is_complete {
        return;
    }
    counts.checks += 1;
    check.answered += 1;
    let line = match request {
        Some(agent::Scope::Group(group)) => agent::response_line(&group_status(status, group)),
        _ => agent::response_line(status),
    };
    check.stream.push(line.as_bytes());
    check.closing = true;
}

/// The status of one group: of the least weight if it does not answer, since the traffic of other groups has other checks.
fn group_status(status: &Status, group: u32) -> Status {
    let dead = status
        .groups
        .iter()
        .find(|g| g.group == group)
        .is_some_and(|g| !g.serves);
    if dead && status.state.serves() {
        let weight = 1;
        let state = wire_health::State::Degraded(100);
        return Status {
            state,
            weight,
            reason: format!("group {group} does not answer"),
            ..status.clone()
        };
    }
    status.clone()
}

/// Answers all complete HTTP requests that were read.
pub(super) fn answer_http(
    check: &mut Check,
    statuses: Statuses,
    status: &Status,
    now: Instant,
    counts: &mut Counts,
    views: &mut BalancerViews,
) {
    while !check.closing && check.stream.unsent() < UNSENT_BYTES {
        match http::parse(check.stream.input.unused()) {
            Ok(None) => return,
            Ok(Some((request, used))) => {
                check.stream.input.consume(used);
                counts.checks += 1;
                check.answered += 1;
                check.since = now;
                check
                    .stream
                    .push(&http::response(&request, status, statuses));
                check.closing = !request.keep_alive;
                if let Some(view) = request.server_state {
                    let node = view.node.unwrap_or_else(|| "a balancer".into());
                    views.record(node, view.state);
                }
            }
            Err(fault) => {
                counts.faulty += 1;
                check.stream.push(&http::fault_response(fault));
                check.closing = true;
            }
        }
    }
}
