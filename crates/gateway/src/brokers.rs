//! Heartbeats to the brokers of all engines.

use std::{sync::Arc, time};

use futures::{StreamExt, stream};
use telemetry::events;

use crate::dispatch;

/// Pause between two heartbeats.
const INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Heartbeats under way at the same time.
const PARALLEL: usize = 8;

/// Fetches the state of all engines until the task is dropped.
pub async fn follow(dispatcher: Arc<dispatch::Dispatcher>) {
    let mut lost: Vec<String> = Vec::new();
    loop {
        let brokers = dispatcher.members.lock().brokers();
        let views = stream::iter(brokers).map(|(id, client)| {
            let dispatcher = Arc::clone(&dispatcher);
            async move {
                let view = client.view(dispatcher.incarnation, dispatcher.now()).await;
                (id, view)
            }
        });
        let mut views = std::pin::pin!(views.buffer_unordered(PARALLEL));
        while let Some((id, view)) = views.next().await {
            let was_lost = lost.binary_search(&id);
            let logger = dispatcher.journal.logger();
            match (view, was_lost) {
                (Ok(view), found) => {
                    if let Ok(position) = found {
                        lost.remove(position);
                        slog::info!(logger, "broker answers again";
                            "event" => events::BROKER_REGAINED.number,
                            "name" => events::BROKER_REGAINED.name, "replica" => &id);
                    }
                    let now = dispatcher.now();
                    dispatcher.members.lock().viewed(&id, view, now);
                }
                (Err(error), Err(position)) => {
                    slog::warn!(logger, "{error}"; "event" => events::BROKER_LOST.number,
                        "name" => events::BROKER_LOST.name, "replica" => &id);
                    lost.insert(position, id);
                }
                (Err(_), Ok(_)) => {}
            }
        }
        tokio::time::sleep(INTERVAL).await;
    }
}
