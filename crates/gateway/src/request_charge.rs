//! Charge of a request to its organisation's quota, over all attempts at the request.

use crate::quota;

/// Charge that is given back when dropped, unless an attempt has run or may have run.
#[derive(Debug, Default)]
pub struct RequestCharge {
    /// `None` without a quota, and once settled.
    charge: Option<quota::QuotaCharge>,
    /// An attempt is under way.
    is_sent: bool,
}

impl RequestCharge {
    /// Charge of a request that has not been sent.
    #[must_use]
    pub fn new(charge: Option<quota::QuotaCharge>) -> Self {
        Self {
            charge,
            is_sent: false,
        }
    }

    /// Keeps the charge while an attempt is under way, also if the caller leaves.
    pub fn record_send(&mut self) {
        self.is_sent = true;
    }

    /// Records that the attempt did not run, so that the charge may be given back.
    pub fn record_not_run(&mut self) {
        self.is_sent = false;
    }

    /// Settles the charge, because an attempt has run or may have run.
    pub fn settle(&mut self) {
        if let Some(charge) = self.charge.take() {
            charge.settle();
        }
    }
}

impl Drop for RequestCharge {
    fn drop(&mut self) {
        if self.is_sent {
            self.settle();
        }
    }
}
