//! Bounded set of values of a metric's label.

use std::sync::Mutex;

/// Largest number of values; each costs memory in each instrument that uses it.
const MAX_LABELS: usize = 64;
/// Value that stands for all further ones.
const OTHER_LABEL: &str = "other";

/// First values that were seen.
#[derive(Debug, Default)]
pub struct BoundedLabels {
    /// Sorted.
    labels: Mutex<Vec<String>>,
}

impl BoundedLabels {
    /// The value itself, or one that stands for many if there are too many.
    #[must_use]
    pub fn label(&self, value: &str) -> String {
        let Ok(mut labels) = self.labels.lock() else {
            return OTHER_LABEL.to_owned();
        };
        match labels.binary_search_by(|known| known.as_str().cmp(value)) {
            Ok(_) => value.to_owned(),
            Err(_) if labels.len() >= MAX_LABELS => OTHER_LABEL.to_owned(),
            Err(position) => {
                labels.insert(position, value.to_owned());
                value.to_owned()
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against a configuration with very many names that fills the memory with counters.
    #[test]
    fn further_values_share_a_label() {
        let labels = BoundedLabels::default();
        for number in 0..MAX_LABELS {
            let value = format!("value-{number}");
            assert_eq!(labels.label(&value), value);
        }
        assert_eq!(labels.label("one more"), OTHER_LABEL);
        assert_eq!(labels.label("value-7"), "value-7");
    }
}
