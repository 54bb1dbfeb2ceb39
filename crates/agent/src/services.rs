//! Calls of plain services.

use std::sync::Arc;

use endpoints::{
    client::EndpointError,
    service::{PlainService, ServiceCall, ServiceEvent},
};
use futures::StreamExt;
use peers::message;

use crate::{failures, replica, streams};

/// Service that the agent offers.
pub struct ServiceCaller {
    pub name: String,
    pub service: Arc<dyn PlainService>,
}

impl ServiceCaller {
    /// Calls the service once and relays its answer.
    pub async fn run(
        self: Arc<Self>,
        context: Arc<replica::AgentContext>,
        call: ServiceCall,
        stream: Arc<streams::OutputStream>,
    ) {
        if !context.requests.start(stream.request()) {
            let part = failures::cancelled(message::RunOutcome::NotRun);
            return finish(&context, &stream, part);
        }
        let part = tokio::select! {
            part = self.relay(&context, call, &stream) => part,
            () = stream.wait_cancelled() => failures::cancelled(message::RunOutcome::Unknown),
        };
        finish(&context, &stream, part);
    }

    async fn relay(
        &self,
        context: &replica::AgentContext,
        call: ServiceCall,
        stream: &streams::OutputStream,
    ) -> message::StreamPart {
        let mut events = match self.service.call(call).await {
            Ok(events) => events,
            Err(error) => return failures::from_start_error(&error),
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
                Err(error) => return broken(&error),
            };
            if !stream.push(part).await {
                return failures::cancelled(message::RunOutcome::Failed);
            }
            context.requests.wake(stream);
        }
        message::StreamPart::Finished {
            finish_reason: None,
            prompt_tokens: 0,
            completion_tokens: 0,
        }
    }
}

/// The service has answered, so it ran, but its answer is incomplete.
fn broken(error: &EndpointError) -> message::StreamPart {
    failures::from_error(error, message::RunOutcome::Failed)
}

fn finish(
    context: &replica::AgentContext,
    stream: &Arc<streams::OutputStream>,
    part: message::StreamPart,
) {
    context.metrics.end(&part);
    context.requests.end(stream, part);
}
