//! Words of a file that stand for more than one value: points of a profile, targets of a fault.

use crate::scenario::Target;
use configuration::value::Value;
use server_model::Micros;
use std::time::Duration;

pub(super) fn text_of(value: &Value) -> Option<String> {
    match value {
        Value::Text(text) => Some(text.clone()),
        _ => None,
    }
}

pub(super) fn name_of(value: &Value) -> Option<String> {
    match value {
        Value::Name(name) => Some(name.clone()),
        _ => None,
    }
}

pub(super) fn groups_of(value: &Value) -> Option<std::ops::RangeInclusive<u32>> {
    match value {
        Value::Groups(range) => Some(range.clone()),
        _ => None,
    }
}

pub(super) fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}

/// A point of a profile, or all points of one that has a name.
pub(super) fn points(word: &str, length: Micros) -> Result<Vec<(Micros, f64)>, String> {
    let named: &[(f64, f64)] = match word {
        // An evening that swells to the double and ebbs away.
        "dashain" => &[
            (0.0, 0.8),
            (0.3, 1.2),
            (0.5, 2.0),
            (0.7, 2.0),
            (0.9, 1.0),
            (1.0, 0.8),
        ],
        // Two waves.
        "tihar" => &[
            (0.0, 0.7),
            (0.2, 1.6),
            (0.4, 0.9),
            (0.6, 1.8),
            (0.8, 1.0),
            (1.0, 0.7),
        ],
        // It begins to rain, and everybody wants a cab until it is over.
        "rain" => &[
            (0.0, 1.0),
            (0.3, 1.0),
            (0.35, 1.7),
            (0.65, 1.7),
            (0.8, 1.0),
            (1.0, 1.0),
        ],
        // A long-distance bus arrives, and another.
        "bus" => &[
            (0.0, 1.0),
            (0.3, 1.0),
            (0.31, 3.0),
            (0.36, 1.0),
            (0.6, 1.0),
            (0.61, 3.0),
            (0.66, 1.0),
            (1.0, 1.0),
        ],
        _ => {
            let fault = || format!("{word:?} is no point like 10s:250%");
            let (at, times) = word.split_once(':').ok_or_else(fault)?;
            let any = configuration::schema::time(0, 3_600_000);
            let Ok(Value::Time(at)) = any.parse(at) else {
                return Err(fault());
            };
            let times: f64 = times
                .strip_suffix('%')
                .and_then(|t| t.parse().ok())
                .ok_or_else(fault)?;
            if !(0.0..=10_000.0).contains(&times) {
                return Err(fault());
            }
            return Ok(vec![(micros(at), times / 100.0)]);
        }
    };
    Ok(named
        .iter()
        .map(|(part, times)| ((part * length as f64) as Micros, *times))
        .collect())
}

pub(super) fn target(word: &str) -> Option<Target> {
    let (kind, rest) = word.split_once(':').unwrap_or((word, ""));
    let range = |text: &str| -> Option<(u32, u32)> {
        let (from, to) = text.split_once('-').unwrap_or((text, text));
        let (from, to) = (from.parse().ok()?, to.parse().ok()?);
        (from <= to).then_some((from, to))
    };
    Some(match kind {
        "all" if rest.is_empty() => Target::All,
        "primary" => range(rest).map(|(a, b)| Target::Primaries(a, b))?,
        "member" => {
            let (group, member) = rest.split_once('.')?;
            Target::Member(group.parse().ok()?, member.parse().ok()?)
        }
        "place" => Target::Place(rest.parse().ok()?),
        "share" => {
            let part: f64 = rest.strip_suffix('%')?.parse().ok()?;
            Target::Share((0.0..=100.0).contains(&part).then_some(part / 100.0)?)
        }
        "proxy" => range(rest).map(|(a, b)| Target::Proxies(a as usize, b as usize))?,
        _ => return None,
    })
}
