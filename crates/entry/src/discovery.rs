//! Agent discovery: opens and closes channels according to the instance list and the settings.

use std::{net, sync::Arc, time};

use decisions::membership;
use peers::message;
use platform::instances;
use telemetry::{events, logs};
use tokio::task;

use crate::{channels, configuration, directory};

/// Interval between reads of the instance list; a change must take effect within 3 s.
const LIST_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Dependencies of the discovery task.
pub struct DiscoveryContext {
    pub hello: message::Hello,
    pub directory: Arc<directory::AgentDirectory>,
    pub configuration: Arc<configuration::ConfigurationView>,
    /// Agents from the settings, treated as live unless the list says otherwise.
    pub agents: Vec<net::SocketAddr>,
    pub list: Option<Arc<dyn instances::InstanceList>>,
    pub logger: slog::Logger,
}

struct AgentDiscovery {
    context: DiscoveryContext,
    /// Sorted by address.
    channels: Vec<channels::ChannelTask>,
    listed: Vec<membership::ListedInstance>,
    is_list_unavailable: bool,
    /// Entries of the newest list that could not be read.
    unreadable_count: usize,
}

/// Running discovery task; ending it closes all channels.
pub struct DiscoveryTask(task::JoinHandle<()>);

impl DiscoveryTask {
    /// Starts the task.
    #[must_use]
    pub fn start(context: DiscoveryContext) -> Self {
        let discovery = AgentDiscovery {
            context,
            channels: Vec::new(),
            listed: Vec::new(),
            is_list_unavailable: false,
            unreadable_count: 0,
        };
        Self(tokio::spawn(discovery.run()))
    }

    /// Closes all channels; open streams end with an unknown outcome.
    pub async fn close(self) {
        self.0.abort();
        let _ = self.0.await;
    }
}

impl AgentDiscovery {
    async fn run(mut self) {
        loop {
            self.read_list().await;
            self.context
                .directory
                .set_configuration_version(self.context.configuration.version());
            for change in self.context.directory.update_list(&self.listed) {
                self.apply_change(change);
            }
            tokio::time::sleep(LIST_INTERVAL).await;
        }
    }

    async fn read_list(&mut self) {
        let mut listed: Vec<_> = self
            .context
            .agents
            .iter()
            .map(|agent| live_instance(*agent))
            .collect();
        if let Some(list) = &self.context.list {
            match list.list().await {
                Ok(listing) => {
                    self.is_list_unavailable = false;
                    self.record_unreadable(listing.unreadable);
                    let agents = listing.instances.iter().filter_map(listed_agent);
                    // The state in the instance list takes precedence over the settings.
                    for agent in agents {
                        listed.retain(|other| other.address != agent.address);
                        listed.push(agent);
                    }
                }
                Err(error) => {
                    if !std::mem::replace(&mut self.is_list_unavailable, true) {
                        let message = error.to_string();
                        let event = events::INSTANCE_LIST_UNAVAILABLE;
                        logs::warn(&self.context.logger, event, &message);
                    }
                    if !self.listed.is_empty() {
                        return;
                    }
                }
            }
        }
        self.listed = listed;
    }

    /// Logs entries of the list that cannot be read, when their number changes.
    fn record_unreadable(&mut self, count: usize) {
        if std::mem::replace(&mut self.unreadable_count, count) != count {
            let message = format!("{count} entries of the instance list cannot be read");
            logs::warn(&self.context.logger, events::RECORD_UNREADABLE, &message);
        }
    }

    fn apply_change(&mut self, change: membership::MemberChange) {
        let position = self
            .channels
            .binary_search_by_key(&change.address, |task| task.channel.address());
        match (change.state, position) {
            (membership::MemberState::Unknown, Err(position)) => {
                let hello = self.context.hello.clone();
                let logger = self.context.logger.clone();
                let channel = channels::AgentChannel::new(change.address, hello, logger);
                let observer: Arc<dyn channels::ChannelObserver> = self.context.directory.clone();
                let task = channels::ChannelTask::start(channel, observer);
                self.channels.insert(position, task);
            }
            (membership::MemberState::Gone, Ok(position)) => {
                let is_listed = self
                    .listed
                    .iter()
                    .any(|other| other.address == change.address);
                // A listed agent may restart at its address, so its channel keeps reconnecting.
                if !is_listed {
                    self.channels.remove(position).close();
                }
            }
            (membership::MemberState::Leaving, _) => {
                let message = format!("{} is leaving and gets no new requests", change.address);
                logs::info(&self.context.logger, events::ENDPOINT_LEAVING, &message);
            }
            _ => {}
        }
    }
}

fn live_instance(address: net::SocketAddr) -> membership::ListedInstance {
    membership::ListedInstance {
        address,
        state: membership::ListedState::Live,
    }
}

fn listed_agent(instance: &instances::Instance) -> Option<membership::ListedInstance> {
    let state = match instance.state {
        instances::InstanceState::Live => membership::ListedState::Live,
        instances::InstanceState::Leaving => membership::ListedState::Leaving,
    };
    let is_agent = instance.role == instances::InstanceRole::Agent;
    is_agent.then_some(membership::ListedInstance {
        address: instance.address,
        state,
    })
}
