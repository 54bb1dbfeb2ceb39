//! Responses to callers.

use std::io;

use bytes::Bytes;
use http::{Response, StatusCode, response};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

use crate::{admission, dispatch, local_reply};

/// Body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

impl dispatch::Dispatcher {
    /// Response of a replica to the caller.
    pub fn build_response(
        &self,
        head: &response::Parts,
        body: ResponseBody,
    ) -> Response<ResponseBody> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = self.wire.returned_headers(&head.headers);
        response
    }

    /// Response to a request that is not admitted.
    pub fn build_refusal(&self, refusal: &admission::AdmissionRefusal) -> Response<ResponseBody> {
        let Some(access) = &refusal.access else {
            return self.build_local_reply(&refusal.request, &refusal.reply);
        };
        self.request_logger
            .log_access_refusal(&refusal.request, access);
        self.metrics
            .record_access_refusal(access.organisation.as_deref(), access.label());
        self.encode_local_reply(&refusal.request, &refusal.reply)
    }

    /// Local reply to the caller.
    pub fn build_local_reply(
        &self,
        request: &str,
        reply: &local_reply::LocalReply,
    ) -> Response<ResponseBody> {
        self.request_logger.log_local_reply(request, reply);
        self.encode_local_reply(request, reply)
    }

    fn encode_local_reply(
        &self,
        request: &str,
        reply: &local_reply::LocalReply,
    ) -> Response<ResponseBody> {
        self.metrics.record_refusal(reply.reason);
        let text = format!("{}\n", reply.reason);
        let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
        let mut response = Response::new(body.boxed_unsync());
        *response.status_mut() =
            StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        *response.headers_mut() = self.wire.local_reply_headers(request, reply.retry_after);
        response
    }
}
