//! Adapter commands of a stand-in engine.

use std::io;

use http::{Response, StatusCode};
use parking_lot::Mutex;
use serde::Deserialize;

use crate::{
    http_engine,
    stand_in::{EngineResponse, EngineState, ResponseBody},
    stand_in_requests::text_response,
};

#[derive(Deserialize)]
struct AdapterCommand {
    lora_name: String,
}

/// Checks the fencing number of a command and returns its adapter name.
fn read_command(
    parts: &http::request::Parts,
    body: &[u8],
    state: &Mutex<EngineState>,
) -> Result<String, Box<Response<ResponseBody>>> {
    let fencing = parts
        .headers
        .get(http_engine::FENCING_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .unwrap_or(0);
    let command: AdapterCommand = serde_json::from_slice(body)
        .map_err(|error| Box::new(text_response(StatusCode::BAD_REQUEST, &error.to_string())))?;
    let mut state = state.lock();
    if state.options.checks_fencing && fencing < state.fencing {
        let mut response =
            text_response(StatusCode::PRECONDITION_FAILED, "outdated fencing number");
        let current = http::HeaderValue::from(state.fencing);
        response
            .headers_mut()
            .insert(http_engine::FENCING_HEADER, current);
        return Err(Box::new(response));
    }
    state.fencing = state.fencing.max(fencing);
    Ok(command.lora_name)
}

pub(crate) async fn load(
    parts: &http::request::Parts,
    body: &[u8],
    state: &Mutex<EngineState>,
) -> EngineResponse {
    let name = match read_command(parts, body, state) {
        Ok(name) => name,
        Err(response) => return Ok(*response),
    };
    let (faults, duration, store, epoch) = {
        let state = state.lock();
        let load = state.options.load_time;
        (state.faults.clone(), load, state.store.clone(), state.epoch)
    };
    if faults.refuse_loads {
        return Ok(text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "loads are refused",
        ));
    }
    match store {
        Some(store) => {
            if let Err(error) = store.load(&name).await {
                return Ok(text_response(StatusCode::BAD_GATEWAY, &error.to_string()));
            }
        }
        None => tokio::time::sleep(duration).await,
    }
    let mut state = state.lock();
    if faults.fail_loads || state.epoch != epoch {
        return Ok(text_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the load failed",
        ));
    }
    state.counts.loads += 1;
    let Err(position) = state.adapters.binary_search(&name) else {
        return Ok(text_response(StatusCode::OK, "already loaded"));
    };
    if state.adapters.len() >= state.options.adapter_slots {
        return Ok(text_response(StatusCode::CONFLICT, "no free adapter slot"));
    }
    state.adapters.insert(position, name);
    if state.take_dropped_response() {
        return Err(io::Error::other("the response is dropped"));
    }
    Ok(text_response(StatusCode::OK, "loaded"))
}

pub(crate) fn unload(
    parts: &http::request::Parts,
    body: &[u8],
    state: &Mutex<EngineState>,
) -> Response<ResponseBody> {
    let name = match read_command(parts, body, state) {
        Ok(name) => name,
        Err(response) => return *response,
    };
    let mut state = state.lock();
    let Ok(position) = state.adapters.binary_search(&name) else {
        return text_response(StatusCode::NOT_FOUND, "not loaded");
    };
    state.adapters.remove(position);
    state.counts.unloads += 1;
    let mut requests = state.requests.iter();
    if requests.any(|request| request.is_open() && request.model == name) {
        state.counts.unloads_in_use += 1;
    }
    text_response(StatusCode::OK, "unloaded")
}
