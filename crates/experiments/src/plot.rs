//! Bar charts of the results.

use std::path;

use plotters::prelude::*;

use crate::report;

const WIDTH: u32 = 1_600;
const CHART_HEIGHT: u32 = 260;

/// Draws one bar chart per table and measure.
///
/// # Errors
/// Any error of the drawing back end, for example when the file cannot be written.
pub fn draw(
    tables: &[report::ScenarioTable],
    file: &path::Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let rows = u32::try_from(tables.len().max(1))?;
    let area = SVGBackend::new(file, (WIDTH, CHART_HEIGHT * rows)).into_drawing_area();
    area.fill(&WHITE)?;
    for (table, part) in tables
        .iter()
        .zip(area.split_evenly((tables.len().max(1), 1)))
    {
        let Some(first) = table.rows.first() else {
            continue;
        };
        let charts = part.split_evenly((1, first.figures.len().max(1)));
        for (column, chart) in charts.iter().enumerate() {
            draw_measure(table, column, chart)?;
        }
    }
    area.present()?;
    Ok(())
}

fn draw_measure<B: DrawingBackend>(
    table: &report::ScenarioTable,
    column: usize,
    area: &DrawingArea<B, plotters::coord::Shift>,
) -> Result<(), Box<dyn std::error::Error>>
where
    B::ErrorType: 'static,
{
    let values: Vec<_> = table
        .rows
        .iter()
        .map(|row| (row.policy, row.figures[column].value))
        .filter(|(_, value)| value.is_finite())
        .collect();
    let highest = values.iter().map(|(_, value)| *value).fold(0.0, f64::max);
    let bars = u32::try_from(values.len())?;
    let title = format!(
        "{} {}",
        table.deployment, table.rows[0].figures[column].name
    );
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 13))
        .margin(4)
        .y_label_area_size(36)
        .build_cartesian_2d(0..bars.max(1), 0.0..(highest * 1.1).max(1e-6))?;
    chart
        .configure_mesh()
        .disable_x_axis()
        .disable_x_mesh()
        .draw()?;
    for (bar, (policy, value)) in (0..bars).zip(&values) {
        let colour = Palette99::pick(usize::try_from(bar)?);
        chart.draw_series([Rectangle::new(
            [(bar, 0.0), (bar + 1, *value)],
            colour.filled(),
        )])?;
        let style = ("sans-serif", 10)
            .into_font()
            .transform(FontTransform::Rotate270);
        chart.draw_series([Text::new(*policy, (bar, highest * 0.02), style)])?;
    }
    Ok(())
}
