//! Tables and JSON of the results.

use std::fmt::Write;

use serde::Serialize;

use crate::{fakes, policies, scenarios, workload};

/// Mean figures of one policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyRow {
    pub policy: &'static str,
    pub figures: Vec<scenarios::Figure>,
}

/// Results of one scenario in one deployment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScenarioTable {
    pub deployment: &'static str,
    pub scenario: &'static str,
    /// Requests per second outside the swing.
    pub requests_per_second: f64,
    pub seeds: Vec<u64>,
    pub rows: Vec<PolicyRow>,
}

/// Runs the policies in one scenario and takes the mean over the seeds.
#[must_use]
pub fn measure(
    deployment: workload::Deployment,
    scenario: scenarios::Scenario,
    setups: &[policies::PolicySetup],
    seeds: &[u64],
) -> ScenarioTable {
    let rows = setups.iter().map(|setup| {
        let runs = seeds
            .iter()
            .map(|seed| scenario.figures(deployment, *setup, *seed, scenario.timing()));
        PolicyRow {
            policy: setup.name,
            figures: mean(&runs.collect::<Vec<_>>()),
        }
    });
    let mut rows: Vec<_> = rows.collect();
    rows.extend(bound(scenario));
    ScenarioTable {
        deployment: deployment.name,
        scenario: scenario.name(),
        requests_per_second: request_rate(scenario),
        seeds: seeds.to_vec(),
        rows,
    }
}

fn request_rate(scenario: scenarios::Scenario) -> f64 {
    let has_long = scenario == scenarios::Scenario::LongWork;
    let demand = workload::Demand {
        duration: std::time::Duration::ZERO,
        utilization: scenarios::UTILIZATION,
        shift: None,
        swing: None,
        long_share: 0.0,
        planned_long_share: if has_long { scenarios::LONG_SHARE } else { 0.0 },
    };
    demand.request_rate()
}

fn mean(runs: &[Vec<scenarios::Figure>]) -> Vec<scenarios::Figure> {
    let count = f64::from(u32::try_from(runs.len()).unwrap_or(u32::MAX));
    let Some(first) = runs.first() else {
        return Vec::new();
    };
    let figures = first.iter().enumerate().map(|(column, figure)| {
        let sum: f64 = runs.iter().map(|run| run[column].value).sum();
        scenarios::Figure {
            name: figure.name,
            value: sum / count,
        }
    });
    figures.collect()
}

/// What no policy can pass, where it can be worked out.
fn bound(scenario: scenarios::Scenario) -> Option<PolicyRow> {
    let slots = usize::from(fakes::ADAPTER_SLOTS) * workload::REPLICAS;
    let beyond: f64 = workload::popularity_shares()[slots..].iter().sum();
    let store = fakes::STORE_RATE / request_rate(scenario);
    let figures = match scenario {
        // Without a shift, the 160 most popular adapters in one slot each stall the fewest.
        scenarios::Scenario::Steady => vec![
            ("stalled share", beyond),
            ("stall p50 s", fakes::LOAD_TIME.as_secs_f64()),
            ("stall p99 s", fakes::LOAD_TIME.as_secs_f64()),
            ("loads/request", beyond.min(store)),
            ("in time", 1.0),
            ("tokens/step", f64::from(fakes::BATCH_LIMIT)),
            ("adapters/batch", 1.0),
        ],
        scenarios::Scenario::Peak => vec![
            ("peak high in time", 1.0),
            ("high, resident", 1.0),
            ("peak normal in time", f64::NAN),
            ("peak low in time", f64::NAN),
            ("recovery s", 0.0),
        ],
        scenarios::Scenario::LongWork | scenarios::Scenario::Stragglers => return None,
    };
    let figures = figures
        .into_iter()
        .map(|(name, value)| scenarios::Figure { name, value });
    Some(PolicyRow {
        policy: "physical bound",
        figures: figures.collect(),
    })
}

/// Load and fakes, as printed above the tables.
#[must_use]
pub fn preamble() -> String {
    format!(
        "utilization {} of the nominal {:.0} tokens/s per engine outside the swing; swing x{}; \
         {} replicas with {} slots and batches of {}; store {} loads/s; {} adapters, Zipf {}; \
         high/normal/low 20/50/30% with 1.2/3/10 s to the first token\n",
        scenarios::UTILIZATION,
        fakes::nominal_capacity(),
        scenarios::SWING,
        workload::REPLICAS,
        fakes::ADAPTER_SLOTS,
        fakes::BATCH_LIMIT,
        fakes::STORE_RATE,
        workload::ADAPTERS,
        workload::POPULARITY_EXPONENT,
    )
}

/// Table as text, policy by measure.
#[must_use]
pub fn render(table: &ScenarioTable) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "\n{}, {}: {:.1} requests/s, seeds {:?}",
        table.deployment, table.scenario, table.requests_per_second, table.seeds
    );
    let Some(first) = table.rows.first() else {
        return text;
    };
    let _ = write!(text, "{:<20}", "policy");
    for figure in &first.figures {
        let _ = write!(text, " {:>w$}", figure.name, w = width(figure));
    }
    text.push('\n');
    for row in &table.rows {
        let _ = write!(text, "{:<20}", row.policy);
        for figure in &row.figures {
            let _ = write!(text, " {:>w$.3}", figure.value, w = width(figure));
        }
        text.push('\n');
    }
    text
}

fn width(figure: &scenarios::Figure) -> usize {
    figure.name.len().max(8)
}
