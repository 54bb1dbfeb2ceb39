//! Calls to plain services.

use std::sync::Arc;

use endpoints::{
    client::EndpointError,
    service::{PlainService, ServiceCall, ServiceEvent},
};
use futures::StreamExt;
use peers::message;

use crate::{failures, replica, streams};

/// Plain service that the agent offers to entries.
pub struct ServiceProxy {
    pub name: String,
    pub service: Arc<dyn PlainService>,
}

impl ServiceProxy {
    /// Calls the service once, without retry, and relays its response.
    pub async fn relay_call(
        self: Arc<Self>,
        context: Arc<replica::AgentContext>,
        call: ServiceCall,
        stream: Arc<streams::OutputStream>,
    ) {
        if !context.requests.start_request(stream.request()) {
            let part = failures::cancelled_part(message::RunOutcome::NotRun);
            return end_call(&context, &stream, part);
        }
        let part = tokio::select! {
            part = self.relay_answer(&context, call, &stream) => part,
            () = stream.wait_cancelled() => failures::cancelled_part(message::RunOutcome::Unknown),
        };
        end_call(&context, &stream, part);
    }

    async fn relay_answer(
        &self,
        context: &replica::AgentContext,
        call: ServiceCall,
        stream: &streams::OutputStream,
    ) -> message::StreamPart {
        let mut events = match self.service.call(call).await {
            Ok(events) => events,
            Err(error) => return failures::start_error_part(&error),
        };
        while let Some(event) = events.next().await {
            let part = match event {
                Ok(ServiceEvent::Head {
                    status,
                    content_type,
                }) => message::StreamPart::Head {
                    status,
                    content_type,
                },
                Ok(ServiceEvent::Bytes(bytes)) => message::StreamPart::Bytes(bytes),
                Err(error) => return incomplete_answer(&error),
            };
            if !stream.push(part).await {
                return failures::cancelled_part(message::RunOutcome::Failed);
            }
            context.requests.notify_readers(stream);
        }
        message::StreamPart::Finished {
            finish_reason: None,
            prompt_tokens: 0,
            completion_tokens: 0,
        }
    }
}

/// Failure after the response has begun: the call was executed but its response is incomplete.
fn incomplete_answer(error: &EndpointError) -> message::StreamPart {
    failures::error_part(error, message::RunOutcome::Failed)
}

fn end_call(
    context: &replica::AgentContext,
    stream: &Arc<streams::OutputStream>,
    part: message::StreamPart,
) {
    context.metrics.record_stream_end(&part);
    context.requests.end_request(stream, part);
}
