//! Limits of engines, from the configuration.

use gateway::catalog::{BaseModel, EngineLimits};
use test_case::test_case;

fn model(name: &str, size_mb: Option<f64>, adapter_size_mb: Option<f64>) -> BaseModel {
    BaseModel {
        name: name.to_owned(),
        size_mb,
        adapter_size_mb,
        load_time: None,
    }
}

fn limits(
    memory_mb: Option<f64>,
    size_mb: Option<f64>,
    adapter_size_mb: Option<f64>,
) -> EngineLimits {
    EngineLimits {
        slots: 64,
        adapter_slots: 6,
        memory_mb,
        models: vec![
            model("base", size_mb, adapter_size_mb),
            model("other", Some(100.0), None),
        ],
    }
}

// Guards against an adapter that an engine is told to load without room for it, and against slots
// that stay empty because a size is not stated.
#[test_case(Some(72_900.0), Some(72_700.0), Some(66.0), 3; "memory for three")]
#[test_case(Some(72_898.0), Some(72_700.0), Some(66.0), 3; "exactly")]
#[test_case(Some(72_897.9), Some(72_700.0), Some(66.0), 2; "a little less")]
#[test_case(Some(74_600.0), Some(72_700.0), Some(66.0), 6; "more memory than slots")]
#[test_case(Some(72_700.0), Some(72_700.0), Some(66.0), 0; "no room")]
#[test_case(Some(70_000.0), Some(72_700.0), Some(66.0), 0; "less than the model")]
#[test_case(None, Some(72_700.0), Some(66.0), 6; "memory not stated")]
#[test_case(Some(72_900.0), None, Some(66.0), 6; "size of the model not stated")]
#[test_case(Some(72_900.0), Some(72_700.0), None, 6; "size of an adapter not stated")]
#[test_case(Some(72_900.0), Some(72_700.0), Some(0.0), 6; "adapters without a size")]
fn adapters_fit_into_the_memory(
    memory_mb: Option<f64>,
    size_mb: Option<f64>,
    adapter_size_mb: Option<f64>,
    expected: u32,
) {
    let limits = limits(memory_mb, size_mb, adapter_size_mb);
    assert_eq!(
        limits.adapter_capacity("base", &["base".to_owned()]),
        expected
    );
    assert_eq!(limits.adapter_capacity("base", &[]), expected);
}

// Guards against a second base model whose memory is counted as free.
#[test]
fn other_base_models_take_memory() {
    let limits = limits(Some(72_900.0), Some(72_700.0), Some(66.0));
    let loaded = ["base".to_owned(), "other".to_owned()];
    assert_eq!(limits.adapter_capacity("base", &loaded), 1);
}
