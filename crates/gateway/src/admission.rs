//! Admission of a caller's request, in one order.
//!
//! Once for a request: decode, route, organisation, quota, body, room. Then for each attempt
//! (module `execution`): quarantine and replica. Each step has a module of its own and refuses with
//! a local reply; what is known to be refused ends at the first step that knows it, before the body
//! is read.

use std::sync::Arc;

use decisions::units;
use http::{Request, header, request};
use hyper::body::Incoming;
use telemetry::{events, logs};
use tokio::time::Instant;

use crate::{
    access_refusal, boot_clock, catalog, dispatch, drain, local_reply, organisations, plan,
    protocol, request_charge, route_match, uploads,
};

/// Request that is not admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRefusal {
    /// Id of the request; empty if it has none.
    pub request: String,
    pub reply: local_reply::LocalReply,
    /// Why its caller is refused, if that is the reason.
    pub access: Option<Box<access_refusal::AccessRefusal>>,
}

/// Request that its organisation may send.
struct PermittedRequest {
    request: protocol::CallerRequest,
    matched: route_match::RouteMatch,
    caller: Option<organisations::KnownCaller>,
    charge: request_charge::RequestCharge,
    /// Arrival by the clock that counts suspension.
    arrived_at: units::Timestamp,
    /// Maximum length of the body, in bytes.
    body_limit: usize,
}

/// Admits a request whose head was received.
///
/// # Errors
/// [`AdmissionRefusal`] with the local reply; the request did not run and will not run.
pub async fn admit(
    dispatcher: &dispatch::Dispatcher,
    request: Request<Incoming>,
    monitor: &drain::DrainMonitor,
) -> Result<plan::RequestPlan, AdmissionRefusal> {
    let received_at = Instant::now();
    let (head, body) = request.into_parts();
    let permitted = match permit(dispatcher, &head).await {
        Ok(permitted) => permitted,
        Err(refusal) => {
            uploads::discard(body);
            return Err(refusal);
        }
    };
    let id = permitted.request.id.clone();
    let body = uploads::read_body(body, permitted.body_limit, &dispatcher.uploads).await;
    let body = body.map_err(|error| refuse(&id, local_reply::LocalReply::unread_body(error)))?;
    if dispatcher.buffers.is_nearly_exhausted() {
        return Err(refuse(&id, local_reply::LocalReply::BUFFERS_FULL));
    }
    let matched = refresh_route(dispatcher, &permitted, &head)?;
    let plan = {
        let catalog = dispatcher.catalog.lock();
        let request = permitted.request;
        let mut plan = plan::RequestPlan::new(request, head, body, received_at, matched, &catalog);
        plan.identify_caller(permitted.caller, permitted.charge);
        plan
    };
    if !monitor.admits(plan.deadline) {
        return Err(refuse(&id, local_reply::LocalReply::STOPPING));
    }
    Ok(plan)
}

/// The steps that need the head only.
async fn permit(
    dispatcher: &dispatch::Dispatcher,
    head: &request::Parts,
) -> Result<PermittedRequest, AdmissionRefusal> {
    let arrived_at = boot_clock::now();
    let request = decode(dispatcher, head).map_err(|reply| refuse("", reply))?;
    let current = dispatcher.catalog.lock().current();
    let current =
        current.ok_or_else(|| refuse(&request.id, local_reply::LocalReply::NO_CONFIGURATION))?;
    let (matched, caller) = identify(dispatcher, &request, head, &current, arrived_at)?;
    let charged = dispatcher.charge_request(&request, caller.as_ref()).await;
    let charge = charged.map_err(|denial| {
        let access = access_refusal::AccessRefusal::of_quota(&matched, caller.as_ref(), denial);
        refuse_access(&request.id, access)
    })?;
    Ok(PermittedRequest {
        request,
        matched,
        caller,
        charge,
        arrived_at,
        body_limit: current.limits.body_bytes,
    })
}

/// Finds the route and the caller in a version of the configuration.
fn identify(
    dispatcher: &dispatch::Dispatcher,
    request: &protocol::CallerRequest,
    head: &request::Parts,
    current: &catalog::ConfigurationVersion,
    arrived_at: units::Timestamp,
) -> Result<(route_match::RouteMatch, Option<organisations::KnownCaller>), AdmissionRefusal> {
    let matched = route_match::RouteMatch::find(request, head.uri.path(), current)
        .map_err(|reply| refuse(&request.id, reply))?;
    let caller = dispatcher.authenticate(request, &matched, current, arrived_at);
    let caller = caller.map_err(|refusal| {
        let access = access_refusal::AccessRefusal::of_key(&matched, refusal);
        refuse_access(&request.id, access)
    })?;
    Ok((matched, caller))
}

/// Finds the route again if the configuration has changed while the body was read.
fn refresh_route(
    dispatcher: &dispatch::Dispatcher,
    permitted: &PermittedRequest,
    head: &request::Parts,
) -> Result<route_match::RouteMatch, AdmissionRefusal> {
    let request = &permitted.request;
    let current: Option<Arc<_>> = dispatcher.catalog.lock().current();
    let newer = current.filter(|current| current.version != permitted.matched.configuration);
    let Some(current) = newer else {
        return Ok(permitted.matched.clone());
    };
    let (matched, caller) = identify(dispatcher, request, head, &current, permitted.arrived_at)?;
    let organisation = |caller: &Option<organisations::KnownCaller>| {
        let caller = caller.as_ref();
        caller.map(|caller| caller.organisation.name.clone())
    };
    if organisation(&caller) == organisation(&permitted.caller) {
        return Ok(matched);
    }
    // The request was charged to another organisation, or to none.
    Err(refuse(
        &request.id,
        local_reply::LocalReply::CONFIGURATION_CHANGED,
    ))
}

fn refuse(request: &str, reply: local_reply::LocalReply) -> AdmissionRefusal {
    AdmissionRefusal {
        request: request.to_owned(),
        reply,
        access: None,
    }
}

fn refuse_access(request: &str, access: access_refusal::AccessRefusal) -> AdmissionRefusal {
    AdmissionRefusal {
        request: request.to_owned(),
        reply: access.reply(),
        access: Some(Box::new(access)),
    }
}

fn decode(
    dispatcher: &dispatch::Dispatcher,
    head: &request::Parts,
) -> Result<protocol::CallerRequest, local_reply::LocalReply> {
    if has_ambiguous_length(&head.headers) {
        return Err(local_reply::LocalReply::BAD_REQUEST);
    }
    dispatcher.wire.decode(head).map_err(|error| {
        let logger = dispatcher.request_logger.logger();
        logs::info(logger, events::REQUEST_REFUSED, &error.to_string());
        local_reply::LocalReply::BAD_REQUEST
    })
}

/// Whether the body's length is stated more than once. Values that disagree allow request
/// smuggling: a second request hidden in the body of the first.
fn has_ambiguous_length(headers: &http::HeaderMap) -> bool {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let encodings = headers.get_all(header::TRANSFER_ENCODING).iter().count();
    lengths + encodings > 1
}
