//! Decode: converts a client's request, which names its class and tenant, into an arrival with the decision module's ids.

use crate::request::{truncate_for_display, Request};
use platform_settings::Names;
use routing::{
    Arrival, ClassId, GroupId, QuotaStatus, RequestId, SessionKey, SessionPosition, TenantId, Time,
};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Why a request is invalid. The text goes to the client, so long names are truncated.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The platform has no class with this name.
    #[error("class {0:?} is not known")]
    UnknownClass(String),
    /// The platform has tenants, but none with this name.
    #[error("tenant {0:?} is not known")]
    UnknownTenant(String),
}

/// Decodes a request. The client's timeout starts when it sends the request, and the answer has to reach it within
/// that time: `margin` is subtracted for the network delay in both directions and the proxy's own delay. The position
/// of the client's last write is used as the client gave it, independent of this host's clock.
///
/// # Errors
/// The class or the tenant is unknown.
pub fn decode(
    id: RequestId,
    request: &Request,
    names: &Names,
    deadlines: &[Duration],
    margin: Duration,
    now: Instant,
) -> Result<Arrival, DecodeError> {
    let class = find_index(&names.classes, &request.class)
        .map(ClassId)
        .ok_or_else(|| DecodeError::UnknownClass(truncate(&request.class)))?;
    let tenant = match &request.tenant {
        Some(name) if !names.tenants.is_empty() => find_index(&names.tenants, name)
            .ok_or_else(|| DecodeError::UnknownTenant(truncate(name)))?,
        _ => 0,
    };
    // Without this limit a client could give a timeout of days, and its request would stay open for so long.
    let class_limit = deadlines
        .get(usize::from(class.0))
        .copied()
        .unwrap_or(request.timeout);
    let timeout = request.timeout.min(class_limit);
    let elapsed = now.saturating_duration_since(request.read_at) + margin;
    Ok(Arrival {
        id,
        class,
        client_class: None,
        tenant: TenantId(tenant),
        group: GroupId(request.group),
        session: request.session.map(SessionKey),
        time_left: timeout.saturating_sub(elapsed),
        session_position: request
            .min_commit_time
            .map(|at| SessionPosition::At(Time(at))),
        is_client_retry: request.is_client_retry,
        quota_status: QuotaStatus::WithinQuota,
        attempt_limit: None,
        shed_fraction: 0.0,
    })
}

/// Index of a name in a list. Classes and tenants that were removed have an empty name, which never matches.
fn find_index(names: &[String], name: &str) -> Option<u16> {
    let index = names.iter().position(|n| n == name && !n.is_empty())?;
    u16::try_from(index).ok()
}

fn truncate(name: &str) -> String {
    truncate_for_display(name).to_owned()
}

/// Limits the time left for a request to the end of the process, minus `margin` for the delay of the answer.
pub fn limit_time(
    arrival: Arrival,
    deadline: Option<Instant>,
    margin: Duration,
    now: Instant,
) -> Arrival {
    let left = deadline.map(|end| end.saturating_duration_since(now).saturating_sub(margin));
    Arrival {
        time_left: left.map_or(arrival.time_left, |left| left.min(arrival.time_left)),
        ..arrival
    }
}
