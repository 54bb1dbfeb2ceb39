//! Figures at the target size, worked out from the measured series.
//!
//! The figures of entries and agents are in [`roles`], those of the log and the instance list in
//! [`platform`], those of loads, links and failures in [`events`].

mod events;
mod platform;
mod roles;

use snafu::{OptionExt, Snafu};

use crate::series::Series;

/// Whether the mechanism that carries a figure exists.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Carrier {
    /// In the code and used by a process or a test of this repository.
    Built(&'static str),
    /// In the code as a state machine that no process calls yet.
    Part(&'static str),
    /// Only described in the design or proposed here.
    Designed(&'static str),
    /// Sum of rows with carriers of their own.
    Sum,
}

/// One figure at the target size.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    pub group: &'static str,
    pub item: &'static str,
    pub value: f64,
    pub unit: &'static str,
    /// Largest value allowed by section 1.2.
    pub limit: Option<f64>,
    pub carrier: Carrier,
}

/// Reason why no figures can be worked out.
#[derive(Debug, Snafu)]
#[snafu(display("the measured values lack `{name}`; measure again with `all`"))]
pub struct MissingSeries {
    name: String,
}

/// Works out all figures.
///
/// # Errors
/// [`MissingSeries`] when a series is missing, for example after a run of one section.
pub fn derive(series: &[Series]) -> Result<Vec<Figure>, MissingSeries> {
    let slopes = Slopes(series);
    let mut figures = roles::entry(slopes)?;
    figures.extend(roles::entry_under_load(slopes)?);
    figures.extend(roles::agent(slopes)?);
    figures.extend(platform::log(slopes)?);
    figures.extend(platform::instance_list(slopes)?);
    figures.extend(events::weight_store(slopes)?);
    figures.extend(events::beyond_data_centre(slopes)?);
    figures.extend(events::failures(slopes)?);
    figures.extend(events::cut_off_region(slopes)?);
    Ok(figures)
}

/// Measured series by name.
#[derive(Clone, Copy)]
struct Slopes<'a>(&'a [Series]);

impl Slopes<'_> {
    /// Value of the line of a series at a size.
    fn at(self, name: &str, size: impl Into<f64>) -> Result<f64, MissingSeries> {
        Ok(self.find(name)?.at(size.into()).max(0.0))
    }

    /// Additional value per unit of size.
    fn slope(self, name: &str) -> Result<f64, MissingSeries> {
        Ok(self.find(name)?.line().slope)
    }

    /// Measured value at a size that was measured, or the line's value.
    fn measured(self, name: &str, size: impl Into<f64>) -> Result<f64, MissingSeries> {
        let size = size.into();
        let series = self.find(name)?;
        let exact = |point: &&crate::series::Point| (point.size - size).abs() < 1e-9;
        let point = series.points.iter().find(exact);
        Ok(point.map_or_else(|| series.at(size), |point| point.value))
    }

    fn find(&self, name: &str) -> Result<&Series, MissingSeries> {
        let mut series = self.0.iter();
        series
            .find(|series| series.name == name)
            .context(MissingSeriesSnafu { name })
    }
}

/// Figures of one group.
struct Group {
    name: &'static str,
    figures: Vec<Figure>,
}

impl Group {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            figures: Vec::new(),
        }
    }

    fn add(&mut self, item: &'static str, value: f64, unit: &'static str, carrier: Carrier) {
        self.push(item, value, unit, None, carrier);
    }

    fn limited(
        &mut self,
        item: &'static str,
        value: f64,
        unit: &'static str,
        limit: f64,
        carrier: Carrier,
    ) {
        self.push(item, value, unit, Some(limit), carrier);
    }

    fn push(
        &mut self,
        item: &'static str,
        value: f64,
        unit: &'static str,
        limit: Option<f64>,
        carrier: Carrier,
    ) {
        self.figures.push(Figure {
            group: self.name,
            item,
            value,
            unit,
            limit,
            carrier,
        });
    }
}
