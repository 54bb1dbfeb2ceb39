//! Measured values over sizes and the line through them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One measured value.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// Values of one item at several sizes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Series {
    /// Name by which the figures refer to the item.
    pub name: String,
    /// Unit of the values.
    pub unit: String,
    /// Unit of the sizes.
    pub per: String,
    pub points: Vec<Point>,
}

/// Line through the points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub slope: f64,
    pub intercept: f64,
}

impl Series {
    /// Series of the values at these sizes.
    #[must_use]
    pub fn new(name: &str, unit: &str, per: &str, points: impl IntoIterator<Item = Point>) -> Self {
        Self {
            name: name.to_owned(),
            unit: unit.to_owned(),
            per: per.to_owned(),
            points: points.into_iter().collect(),
        }
    }

    /// Least-squares line; a flat one through the mean when all sizes are equal.
    #[must_use]
    pub fn line(&self) -> Line {
        let pairs: Vec<(f64, f64)> = self
            .points
            .iter()
            .map(|point| (point.size, point.value))
            .collect();
        match linreg::linear_regression_of(&pairs) {
            Ok((slope, intercept)) => Line { slope, intercept },
            Err(_) => Line {
                slope: 0.0,
                intercept: self.mean(),
            },
        }
    }

    /// Value of the line at a size. The line is for sizes within or near the measured range.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        let line = self.line();
        line.intercept + line.slope * size
    }

    fn mean(&self) -> f64 {
        let count = f64::from(u32::try_from(self.points.len().max(1)).unwrap_or(u32::MAX));
        self.points.iter().map(|point| point.value).sum::<f64>() / count
    }
}

/// Row of a Markdown table: item, unit, values by size, slope, intercept.
impl fmt::Display for Series {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let values: Vec<String> = self
            .points
            .iter()
            .map(|point| format!("{}: {}", number(point.size), number(point.value)))
            .collect();
        let line = self.line();
        write!(
            formatter,
            "| {} | {} | {} | {} | {} | {} |",
            self.name,
            self.unit,
            self.per,
            values.join("; "),
            number(line.slope),
            number(line.intercept)
        )
    }
}

/// Number with three significant digits.
#[must_use]
pub fn number(value: f64) -> String {
    let magnitude = value.abs();
    match magnitude {
        _ if magnitude == 0.0 => "0".to_owned(),
        _ if magnitude >= 99.95 => format!("{value:.0}"),
        _ if magnitude >= 9.995 => format!("{value:.1}"),
        _ if magnitude >= 0.9995 => format!("{value:.2}"),
        _ if magnitude >= 0.001 => format!("{value:.4}"),
        _ => format!("{value:.1e}"),
    }
}
