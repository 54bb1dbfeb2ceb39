//! Markdown tables of measured and derived values.

use std::fmt::Write;

use crate::{
    figures::{Carrier, Figure},
    series::{Series, number},
};

/// Table of the measured series with their least-squares lines.
#[must_use]
pub fn measured_tables(series: &[Series]) -> String {
    let mut text = "\n| item | unit | per | measured | slope | intercept |\n".to_owned();
    text += "|---|---|---|---|---|---|\n";
    for series in series {
        // Writing to a string does not fail.
        let _ = writeln!(text, "{series}");
    }
    text
}

/// Tables of the derived figures, one per role.
#[must_use]
pub fn figure_tables(figures: &[Figure]) -> String {
    let mut text = String::new();
    let mut group = "";
    for figure in figures {
        if figure.group != group {
            group = figure.group;
            let _ = write!(text, "\n### {group}\n\n");
            text += "| item | value | unit | limit | carried by | exists |\n|---|---|---|---|---|---|\n";
        }
        let _ = writeln!(text, "{}", figure_row(figure));
    }
    text
}

/// Row of one figure; a missed limit says by which factor.
#[must_use]
pub fn figure_row(figure: &Figure) -> String {
    let limit = match figure.limit {
        None => "–".to_owned(),
        Some(limit) if figure.value <= limit => format!("{}: met", number(limit)),
        Some(limit) => {
            let factor = figure.value / limit;
            format!("{}: missed, {} times", number(limit), number(factor))
        }
    };
    let (mechanism, exists) = match figure.carrier {
        Carrier::Built(mechanism) => (mechanism, "yes"),
        Carrier::Part(mechanism) => (mechanism, "in part"),
        Carrier::Designed(mechanism) => (mechanism, "no"),
        Carrier::Sum => ("sum of the rows above", "–"),
    };
    format!(
        "| {} | {} | {} | {limit} | {mechanism} | {exists} |",
        figure.item,
        number(figure.value),
        figure.unit,
    )
}
