//! Typed access to the values of a section, with the table's defaults for directives that are not set.

use crate::check::Section;
use crate::schema;
use crate::value::{Share, Value};
use ipnet::IpNet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

/// Typed values of a section, from the file or from the table's defaults.
#[derive(Clone, Copy)]
pub struct Values<'a> {
    /// The section; `None` gives the defaults only.
    pub section: Option<&'a Section>,
    /// The table's entry for the section.
    pub spec: &'static schema::Section,
}

impl<'a> Values<'a> {
    /// The values of a section.
    pub fn of(section: &'a Section) -> Values<'a> {
        Values {
            section: Some(section),
            spec: section.spec,
        }
    }

    /// The values of the first section with this keyword; the table's defaults if there is none.
    pub fn of_single(sections: &'a [Section], keyword: &'static str) -> Values<'a> {
        Values {
            section: sections.iter().find(|s| s.spec.keyword == keyword),
            spec: schema::section(keyword).unwrap_or(&schema::SECTIONS[0]),
        }
    }

    /// The value that is set, or the default; `None` if there is neither.
    pub fn value(&self, keyword: &'static str) -> Option<Value> {
        if let Some(value) = self.section.and_then(|s| s.value(keyword)) {
            return Some(value.clone());
        }
        let spec = self.spec.directive(keyword)?;
        let (schema::Args::One(kind) | schema::Args::Optional(kind) | schema::Args::Many(kind)) =
            spec.args;
        if spec.default.is_empty() {
            None
        } else {
            kind.parse(spec.default).ok()
        }
    }

    /// A duration.
    pub fn time(&self, keyword: &'static str) -> Option<Duration> {
        match self.value(keyword)? {
            Value::Time(span) => Some(span),
            _ => None,
        }
    }

    /// A whole number or a size.
    pub fn count(&self, keyword: &'static str) -> Option<u64> {
        match self.value(keyword)? {
            Value::Count(n) | Value::Size(n) => Some(n),
            _ => None,
        }
    }

    /// A whole number or a size, converted to a smaller type; the table's bounds ensure that it fits.
    pub fn bounded_count<N: TryFrom<u64>>(&self, keyword: &'static str) -> Option<N> {
        N::try_from(self.count(keyword)?).ok()
    }

    /// A decimal number; 0 if there is none.
    pub fn number(&self, keyword: &'static str) -> f64 {
        match self.value(keyword) {
            Some(Value::Number(number)) => number,
            _ => 0.0,
        }
    }

    /// A share as a decimal number; 0 if there is none.
    pub fn fraction(&self, keyword: &'static str) -> f64 {
        let share = self.share(keyword);
        f64::from(share.part) / f64::from(share.whole.max(1))
    }

    /// Whether the value is `yes`.
    pub fn is_yes(&self, keyword: &'static str) -> bool {
        self.choice(keyword) == "yes"
    }

    /// The name of a section.
    pub fn name(&self, keyword: &'static str) -> Option<String> {
        match self.value(keyword)? {
            Value::Name(name) => Some(name),
            _ => None,
        }
    }

    /// A path.
    pub fn path(&self, keyword: &'static str) -> Option<PathBuf> {
        match self.value(keyword)? {
            Value::Text(path) => Some(PathBuf::from(path)),
            _ => None,
        }
    }

    /// A share; 0 if there is none.
    pub fn share(&self, keyword: &'static str) -> Share {
        match self.value(keyword) {
            Some(Value::Share(share)) => share,
            _ => Share::new(0, 1),
        }
    }

    /// An address.
    pub fn address(&self, keyword: &'static str) -> Option<SocketAddr> {
        match self.value(keyword)? {
            Value::Address(address) => Some(address),
            _ => None,
        }
    }

    /// One of a fixed set of words; empty if there is none.
    pub fn choice(&self, keyword: &'static str) -> &'static str {
        match self.value(keyword) {
            Some(Value::Choice(word)) => word,
            _ => "",
        }
    }

    /// The results of `pick` for the values that are set, without those for which it returns `None`.
    pub fn collect<T>(&self, keyword: &str, pick: impl Fn(&Value) -> Option<T>) -> Vec<T> {
        let values = self.section.map_or(&[][..], |s| s.values(keyword));
        values.iter().filter_map(|(value, _)| pick(value)).collect()
    }
}

/// The sections with this keyword.
pub(crate) fn sections_of<'a>(
    sections: &'a [Section],
    keyword: &'static str,
) -> impl Iterator<Item = &'a Section> {
    sections.iter().filter(move |s| s.spec.keyword == keyword)
}

/// The names that a directive of sections of one keyword refers to.
pub(crate) fn referenced_names<'a>(
    sections: &'a [Section],
    keyword: &'static str,
    directive: &'static str,
) -> impl Iterator<Item = &'a str> {
    sections_of(sections, keyword)
        .flat_map(move |s| s.values(directive))
        .filter_map(|(value, _)| match value {
            Value::Name(name) => Some(name.as_str()),
            _ => None,
        })
}

/// The name, if the value is one.
pub(crate) fn name_of(value: &Value) -> Option<String> {
    match value {
        Value::Name(name) => Some(name.clone()),
        _ => None,
    }
}

/// The range of groups, if the value is one.
pub(crate) fn groups_of(value: &Value) -> Option<RangeInclusive<u32>> {
    match value {
        Value::Groups(range) => Some(range.clone()),
        _ => None,
    }
}

/// The network, if the value is one.
pub(crate) fn network_of(value: &Value) -> Option<IpNet> {
    match value {
        Value::Network(network) => Some(*network),
        _ => None,
    }
}
