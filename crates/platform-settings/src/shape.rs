//! Keys of a JSON object at every depth, to check whether a later object is complete.

use serde_json::Value;
use std::collections::BTreeMap;

/// Keys of a JSON value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Shape {
    /// A number, string, boolean or null.
    #[default]
    Scalar,
    /// Shapes of an object's fields.
    Object(BTreeMap<String, Shape>),
    /// Keys common to all elements of an array.
    Array(Box<Shape>),
}

impl Shape {
    /// The shape of a value.
    pub fn of(value: &Value) -> Shape {
        match value {
            Value::Object(fields) => Shape::Object(
                fields
                    .iter()
                    .map(|(key, value)| (key.clone(), Shape::of(value)))
                    .collect(),
            ),
            Value::Array(elements) => {
                let shapes = elements.iter().map(Shape::of);
                Shape::Array(Box::new(
                    shapes.reduce(Shape::intersection).unwrap_or_default(),
                ))
            }
            _ => Shape::Scalar,
        }
    }

    fn intersection(self, other: Shape) -> Shape {
        match (self, other) {
            (Shape::Object(a), Shape::Object(mut b)) => Shape::Object(
                a.into_iter()
                    .filter_map(|(key, a)| b.remove(&key).map(|b| (key, a.intersection(b))))
                    .collect(),
            ),
            (Shape::Array(a), Shape::Array(b)) => Shape::Array(Box::new(a.intersection(*b))),
            _ => Shape::Scalar,
        }
    }

    /// Path of the first key of this shape that `value` lacks; none if it has all of them.
    pub fn missing(&self, value: &Value) -> Option<String> {
        match (self, value) {
            (Shape::Scalar, Value::Null) => Some(String::new()),
            (Shape::Scalar, _) => None,
            (Shape::Object(fields), Value::Object(present)) => {
                fields.iter().find_map(|(key, shape)| {
                    let inner = present
                        .get(key)
                        .map_or(Some(String::new()), |value| shape.missing(value));
                    inner.map(|inner| {
                        format!(
                            "{key}{}{inner}",
                            if inner.is_empty() || inner.starts_with('[') {
                                ""
                            } else {
                                "."
                            }
                        )
                    })
                })
            }
            (Shape::Array(shape), Value::Array(elements)) => {
                elements.iter().enumerate().find_map(|(index, value)| {
                    let inner = shape.missing(value)?;
                    Some(format!(
                        "[{index}]{}{inner}",
                        if inner.is_empty() { "" } else { "." }
                    ))
                })
            }
            _ => Some(String::new()),
        }
    }
}
