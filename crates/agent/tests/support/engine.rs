//! In-memory engine that records its calls and fails on request.

use std::{sync::Arc, time};

use decisions::ids;
use endpoints::client::{
    EndpointError, EngineStatus, GenerationCall, ModelEngine, TokenEvent, TokenStream,
};
use futures::{StreamExt, future::BoxFuture};
use parking_lot::Mutex;

use super::RESPONSE_TOKENS;

/// Failure of the next call that starts a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartFault {
    Unreachable,
    LostReply,
}

#[derive(Default)]
pub struct FakeEngineState {
    pub epoch: u64,
    pub fencing: u64,
    pub adapters: Vec<String>,
    pub starts: Vec<ids::RequestId>,
    pub open: Vec<OpenGeneration>,
    pub unloads_in_use: u32,
    pub cancels: u32,
    pub preemptions: Vec<ids::RequestId>,
    /// Tokens in one text event; 0 means 1.
    pub tokens_per_event: u32,
    pub failing_loads: u32,
    pub start_fault: Option<StartFault>,
    /// Text event before which the next stream is interrupted.
    pub interrupt_at: Option<u64>,
    pub resumes: Vec<u64>,
    pub refuses_resume: bool,
    pub token_interval: time::Duration,
    pub load_duration: time::Duration,
}

pub struct OpenGeneration {
    pub request: ids::RequestId,
    pub model: String,
}

pub struct FakeEngine {
    pub state: Arc<Mutex<FakeEngineState>>,
}

fn interrupted() -> EndpointError {
    EndpointError::Interrupted {
        endpoint: "fake".into(),
        message: "connection reset".into(),
    }
}

fn refused(status: u16) -> EndpointError {
    EndpointError::Refused {
        endpoint: "fake".into(),
        status,
        message: "refused".into(),
    }
}

impl FakeEngine {
    pub fn new() -> Arc<Self> {
        let state = FakeEngineState {
            epoch: 1,
            token_interval: time::Duration::from_millis(50),
            load_duration: time::Duration::from_millis(250),
            ..FakeEngineState::default()
        };
        Arc::new(Self {
            state: Arc::new(Mutex::new(state)),
        })
    }

    fn check_fencing(&self, fencing: u64) -> Result<(), EndpointError> {
        let mut state = self.state.lock();
        if fencing < state.fencing {
            return Err(EndpointError::Fenced {
                endpoint: "fake".into(),
                current: state.fencing,
            });
        }
        state.fencing = fencing;
        Ok(())
    }

    fn tokens(&self, request: ids::RequestId, from: u64) -> TokenStream {
        let state = Arc::clone(&self.state);
        let interrupt_at = state.lock().interrupt_at.take();
        let tokens = futures::stream::unfold((from, state), move |(index, state)| async move {
            if index > RESPONSE_TOKENS + 1 {
                return None;
            }
            if Some(index) == interrupt_at {
                return Some((Err(interrupted()), (RESPONSE_TOKENS + 2, state)));
            }
            if index == RESPONSE_TOKENS {
                state.lock().open.retain(|open| open.request != request);
                let event = TokenEvent::Finished {
                    finish_reason: Some("length".into()),
                    prompt_tokens: 1,
                    completion_tokens: 5,
                };
                return Some((Ok(event), (RESPONSE_TOKENS + 2, state)));
            }
            let step = state.lock().token_interval;
            tokio::time::sleep(step).await;
            let text = index.to_string();
            let tokens = state.lock().tokens_per_event.max(1);
            Some((Ok(TokenEvent::Text { text, tokens }), (index + 1, state)))
        });
        tokens.boxed()
    }
}

impl ModelEngine for FakeEngine {
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, EndpointError>> {
        let state = self.state.lock();
        let status = EngineStatus {
            epoch: state.epoch,
            base_model: "base".into(),
            fencing: state.fencing,
            adapters: state.adapters.clone(),
            ..EngineStatus::default()
        };
        Box::pin(async { Ok(status) })
    }

    fn load_adapter<'a>(
        &'a self,
        adapter: &'a ids::AdapterRef,
        fencing: u64,
    ) -> BoxFuture<'a, Result<(), EndpointError>> {
        Box::pin(async move {
            self.check_fencing(fencing)?;
            let load_duration = self.state.lock().load_duration;
            tokio::time::sleep(load_duration).await;
            let mut state = self.state.lock();
            if state.failing_loads > 0 {
                state.failing_loads -= 1;
                return Err(refused(500));
            }
            state.adapters.push(adapter.to_string());
            Ok(())
        })
    }

    fn unload_adapter<'a>(
        &'a self,
        adapter: &'a ids::AdapterRef,
        fencing: u64,
    ) -> BoxFuture<'a, Result<(), EndpointError>> {
        Box::pin(async move {
            self.check_fencing(fencing)?;
            let name = adapter.to_string();
            let mut state = self.state.lock();
            state.adapters.retain(|other| *other != name);
            if state.open.iter().any(|open| open.model == name) {
                state.unloads_in_use += 1;
            }
            Ok(())
        })
    }

    fn generate(
        &self,
        generation: GenerationCall,
    ) -> BoxFuture<'_, Result<TokenStream, EndpointError>> {
        Box::pin(async move {
            let mut state = self.state.lock();
            let fault = state.start_fault.take();
            if fault == Some(StartFault::Unreachable) {
                return Err(EndpointError::Unreachable {
                    endpoint: "fake".into(),
                    message: "connection refused".into(),
                });
            }
            let model = generation.adapter.to_string();
            if !state.adapters.contains(&model) {
                return Err(refused(404));
            }
            let request = generation.request;
            state.starts.push(request);
            state.open.push(OpenGeneration { request, model });
            drop(state);
            if fault == Some(StartFault::LostReply) {
                return Err(interrupted());
            }
            Ok(self.tokens(request, 0))
        })
    }

    fn resume<'a>(
        &'a self,
        generation: &'a GenerationCall,
        from: u64,
    ) -> BoxFuture<'a, Result<TokenStream, EndpointError>> {
        Box::pin(async move {
            let mut state = self.state.lock();
            state.resumes.push(from);
            let is_open = state
                .open
                .iter()
                .any(|open| open.request == generation.request);
            if state.refuses_resume || !is_open {
                return Err(refused(404));
            }
            drop(state);
            Ok(self.tokens(generation.request, from))
        })
    }

    fn preempt(&self, request: ids::RequestId) -> BoxFuture<'_, Result<(), EndpointError>> {
        self.state.lock().preemptions.push(request);
        Box::pin(async { Ok(()) })
    }

    fn cancel(&self, request: ids::RequestId) -> BoxFuture<'_, Result<(), EndpointError>> {
        let mut state = self.state.lock();
        state.cancels += 1;
        state.open.retain(|open| open.request != request);
        Box::pin(async { Ok(()) })
    }
}
