//! Time for which requests hold a batch slot.

use std::time;

/// Weight of the newest service time in the moving average.
const SERVICE_TIME_GAIN: f64 = 0.1;

/// Moving average of the time one request holds a batch slot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceTime {
    seconds: Option<f64>,
}

impl ServiceTime {
    pub(crate) fn observe(&mut self, service_time: time::Duration) {
        let sample = service_time.as_secs_f64();
        let mean = self.seconds.unwrap_or(sample);
        self.seconds = Some(mean + SERVICE_TIME_GAIN * (sample - mean));
    }

    /// Time in which `starts` batch slots become free.
    pub(crate) fn for_starts(&self, starts: usize, batch_limit: usize) -> time::Duration {
        let limit = u32::try_from(batch_limit.max(1)).unwrap_or(u32::MAX);
        let starts = u32::try_from(starts).unwrap_or(u32::MAX);
        let interval = self.seconds.unwrap_or(0.0) / f64::from(limit);
        time::Duration::from_secs_f64(interval * f64::from(starts))
    }
}
