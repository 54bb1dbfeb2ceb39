//! Tests of the fit, of the derived figures and of the page.

use std::{fs, path::PathBuf};

use capacity::{
    cli, figures, reporting,
    series::{Point, Series},
    sizes, stand_in,
};
use test_case::test_case;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn committed() -> cli::Measurements {
    cli::read(&root().join("docs/capacity.json")).unwrap()
}

fn figure(figures: &[figures::Figure], item: &str) -> f64 {
    figures
        .iter()
        .find(|figure| figure.item == item)
        .unwrap()
        .value
}

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    let points = values.iter();
    points.map(|&(size, value)| Point { size, value }).collect()
}

// Guards against exchanged slope and intercept or axes.
#[test_case(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)], 2.0, 3.0; "exact line")]
#[test_case(&[(0.0, 1.0), (1.0, 0.0), (2.0, 2.0)], 0.5, 0.5; "least squares of scattered points")]
#[test_case(&[(3.0, 1.0), (3.0, 3.0)], 0.0, 2.0; "equal sizes give the mean")]
fn fit_finds_slope_and_intercept(values: &[(f64, f64)], slope: f64, intercept: f64) {
    let line = Series::new("item", "B", "size", points(values)).line();
    assert!((line.slope - slope).abs() < 1e-9);
    assert!((line.intercept - intercept).abs() < 1e-9);
}

// Guards against numbers that lose their magnitude in the page.
#[test_case(0.0, "0")]
#[test_case(0.012, "0.0120")]
#[test_case(9.999, "10.0")]
#[test_case(29_000.0, "29000")]
fn numbers_have_three_digits(value: f64, text: &str) {
    assert_eq!(capacity::series::number(value), text);
}

// Guards against a division of daemons that loses or invents some.
#[test]
fn daemons_add_up() {
    assert_eq!(sizes::AGENTS + sizes::ENTRIES, sizes::DAEMONS);
    assert_eq!(sizes::AGENTS * sizes::REPLICAS_PER_AGENT, sizes::REPLICAS);
    const { assert!(sizes::LOCAL_AGENTS * sizes::DATA_CENTRES >= sizes::AGENTS) };
}

// Guards against figures that do not follow from the measured series.
#[test]
fn figures_follow_the_series() {
    let mut series = committed().series;
    let reply = series.iter_mut().find(|series| series.name == "poll reply");
    reply.unwrap().points = points(&[(0.0, 50.0), (4.0, 450.0), (8.0, 850.0)]);
    let figures = figures::derive(&series).unwrap();
    let replies = figure(&figures, "poll replies with full load reports");
    assert!((replies - 32.0 * 2.0 * 850.0).abs() < 1e-6);
    let loads = figure(&figures, "first loads if all of them become active");
    assert!((loads - 2.625).abs() < 1e-9);
}

// Guards against a run of one section that passes for a whole one.
#[test]
fn missing_series_is_named() {
    let mut series = committed().series;
    series.retain(|series| series.name != "claim window state");
    let error = figures::derive(&series).unwrap_err();
    assert!(error.to_string().contains("claim window state"));
}

// Guards against a page whose tables are not the output for the committed measurements.
#[test]
fn page_contains_the_output() {
    let page = fs::read_to_string(root().join("docs/CAPACITY.md")).unwrap();
    let series = committed().series;
    let figures = figures::derive(&series).unwrap();
    let tables = reporting::measured_tables(&series) + &reporting::figure_tables(&figures);
    let missing: Vec<_> = tables.lines().filter(|line| !page.contains(line)).collect();
    assert!(missing.is_empty(), "not in the page: {missing:#?}");
}

// Guards against a series with too few sizes for a fit.
#[test]
fn every_series_has_three_sizes() {
    for series in committed().series {
        assert!(series.points.len() >= 3, "{}", series.name);
    }
}

// Guards against a stand-in whose report is smaller than that of a full instance.
#[test]
fn report_lists_every_slot() {
    let report = stand_in::report(8, sizes::ADAPTER_SLOTS);
    assert_eq!(report.replicas.len(), 8);
    assert!(
        report
            .replicas
            .iter()
            .all(|replica| replica.adapters.len() == 8)
    );
}
