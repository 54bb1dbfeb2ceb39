//! Which answers are longer than most.

/// Weight of one more answer in the mean.
const WEIGHT: f64 = 0.02;

/// Mean of the largest lengths that callers ask for.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseLengths {
    mean: f64,
}

impl ResponseLengths {
    /// Counts an answer of at most `tokens`, and returns whether it is longer than the mean.
    pub fn record(&mut self, tokens: u32) -> bool {
        let tokens = f64::from(tokens);
        if self.mean == 0.0 {
            self.mean = tokens;
        }
        let is_long = tokens > self.mean;
        self.mean = self.mean * (1.0 - WEIGHT) + tokens * WEIGHT;
        is_long
    }
}
