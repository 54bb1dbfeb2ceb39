//! Classification of responses by their length limit.

/// Weight of a new response in the moving average.
const WEIGHT: f64 = 0.02;

/// Moving average of the length limits that callers set.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseLengths {
    mean: f64,
}

impl ResponseLengths {
    /// Records a response of at most `tokens` and returns whether it exceeds the average before it.
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
