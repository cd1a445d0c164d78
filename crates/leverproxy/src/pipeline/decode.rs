//! Take in: a request in the words of its protocol becomes one in the module's ids.

use crate::request::{truncate_for_display, Request};
use platform_settings::Names;
use routing::{
    Arrival, ClassId, GroupId, QuotaStatus, RequestId, SessionKey, SessionPosition, TenantId, Time,
};
use std::time::{Duration, Instant};

/// The arrival, or what the client is told of a request that makes no sense. The client's time counts from its
/// send, and an answer has to reach it inside that time: the margin is kept back for both ways and for the proxy's
/// own delays. The position of its last write stays as the client named it, whatever the clock here says.
pub fn take_in(
    id: RequestId,
    request: &Request,
    names: &Names,
    deadlines: &[Duration],
    margin: Duration,
    now: Instant,
) -> Result<Arrival, String> {
    let place = |names: &[String], name: &str| {
        names
            .iter()
            .position(|n| n == name && !n.is_empty())
            .and_then(|at| u16::try_from(at).ok())
    };
    let class = place(&names.classes, &request.class)
        .map(ClassId)
        .ok_or_else(|| {
            format!(
                "class {:?} is not known",
                truncate_for_display(&request.class)
            )
        })?;
    let tenant = match &request.tenant {
        Some(name) if !names.tenants.is_empty() => place(&names.tenants, name)
            .ok_or_else(|| format!("tenant {:?} is not known", truncate_for_display(name)))?,
        _ => 0,
    };
    // No client waits longer than its class may: what states more must not hold a place for days.
    let longest = deadlines
        .get(usize::from(class.0))
        .copied()
        .unwrap_or(request.wait);
    let wait = request.wait.min(longest);
    let spent = now.saturating_duration_since(request.read_at) + margin;
    Ok(Arrival {
        id,
        class,
        tenant: TenantId(tenant),
        group: GroupId(request.group),
        session: request.session.map(SessionKey),
        time_left: wait.saturating_sub(spent),
        session_position: request.after.map(|at| SessionPosition::At(Time(at))),
        is_client_retry: request.repeated,
        quota_status: QuotaStatus::WithinQuota,
        attempt_limit: None,
        shed_fraction: 0.0,
    })
}

/// A proxy that is told to stop has no more time than until its end, less the way of an answer.
pub fn end_by(arrival: Arrival, end: Option<Instant>, margin: Duration, now: Instant) -> Arrival {
    let left = end.map(|end| end.saturating_duration_since(now).saturating_sub(margin));
    Arrival {
        time_left: left.map_or(arrival.time_left, |left| left.min(arrival.time_left)),
        ..arrival
    }
}
