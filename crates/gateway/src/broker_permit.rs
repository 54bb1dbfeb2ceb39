//! Permit of an engine's broker.

use std::sync::Arc;

use broker::client;

/// Permit that is requested or held, and released when dropped. It is created before it is
/// requested, because the caller may disconnect before the broker's reply arrives.
pub struct BrokerPermit {
    broker: Arc<client::BrokerClient>,
    number: u64,
}

impl BrokerPermit {
    /// Permit with a number that is new in this process.
    #[must_use]
    pub fn new(broker: &Arc<client::BrokerClient>, number: u64) -> Self {
        Self {
            broker: Arc::clone(broker),
            number,
        }
    }

    /// Number by which the broker knows it.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }
}

impl Drop for BrokerPermit {
    fn drop(&mut self) {
        self.broker.release(self.number);
    }
}
