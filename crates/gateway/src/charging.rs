//! Charge of a request to the quota of its caller's organisation, before its body is read.

use crate::{access_refusal, dispatch, organisations, protocol, request_charge};

impl dispatch::Dispatcher {
    /// Charges a request to the quota of its caller's organisation, if that has one.
    ///
    /// # Errors
    /// [`access_refusal::QuotaDenial`] when the quota does not allow the request now.
    pub async fn charge_request(
        &self,
        request: &protocol::CallerRequest,
        caller: Option<&organisations::KnownCaller>,
    ) -> Result<request_charge::RequestCharge, access_refusal::QuotaDenial> {
        let Some(caller) = caller else {
            return Ok(request_charge::RequestCharge::default());
        };
        let organisation = caller.organisation.as_ref();
        let Some(limit) = organisation.quota else {
            return Ok(request_charge::RequestCharge::default());
        };
        let cost = limit.unit.cost(request.declared_tokens);
        let charged = self.quota.charge(organisation, cost).await;
        let charge = charged.map_err(|refusal| access_refusal::QuotaDenial { refusal, cost })?;
        self.metrics.record_charge(&organisation.name, cost);
        Ok(request_charge::RequestCharge::new(Some(charge)))
    }
}
