//! Agents known to an entry, and the choice among their endpoints.

use std::{net, sync::Arc, time};

use decisions::{ids, routing, units};
use parking_lot::Mutex;
use peers::message;
use serde::Serialize;

use crate::{clock, metrics, sessions};

/// Delay assumed to agents of the same data centre and of others.
const NEAR_DELAY: time::Duration = time::Duration::from_micros(100);
const FAR_DELAY: time::Duration = time::Duration::from_micros(750);

/// Directory of the agent incarnations that answered `hello`.
pub struct AgentDirectory {
    data_centre: String,
    clock: clock::EntryClock,
    metrics: Arc<metrics::EntryMetrics>,
    /// Sorted by incarnation.
    agents: Mutex<Vec<KnownAgent>>,
    routing: Mutex<Box<dyn routing::RoutingPolicy>>,
}

struct KnownAgent {
    agent: ids::Incarnation,
    channel: Arc<sessions::AgentChannel>,
    report: message::LoadReport,
    is_connected: bool,
}

/// Endpoint chosen for an attempt.
pub struct ChosenEndpoint {
    pub choice: routing::Choice,
    pub channel: Arc<sessions::AgentChannel>,
}

/// State of one agent, for `status`.
#[derive(Debug, Serialize)]
pub struct AgentStatus {
    pub address: net::SocketAddr,
    pub incarnation: String,
    pub connected: bool,
    pub leaving: bool,
    pub replicas: usize,
    /// Predicted wait by priority from low to high, of the replica with the shortest one.
    pub wait_millis: [u32; 3],
}

impl AgentDirectory {
    /// Creates a directory without agents.
    #[must_use]
    pub fn new(
        data_centre: &str,
        clock: clock::EntryClock,
        metrics: Arc<metrics::EntryMetrics>,
        routing: Box<dyn routing::RoutingPolicy>,
    ) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            clock,
            metrics,
            agents: Mutex::default(),
            routing: Mutex::new(routing),
        }
    }

    /// Chooses an endpoint.
    ///
    /// # Errors
    /// [`routing::Refusal`] when no endpoint may take the request.
    pub fn choose(
        &self,
        request: &routing::RoutingRequest<'_>,
    ) -> Result<ChosenEndpoint, routing::Refusal> {
        let choice = self.routing.lock().choose(request, self.clock.now())?;
        let agents = self.agents.lock();
        let position = position(&agents, choice.endpoint.agent);
        let position = position.map_err(|_| routing::Refusal::NoneReady)?;
        let channel = Arc::clone(&agents[position].channel);
        Ok(ChosenEndpoint { choice, channel })
    }

    /// Channel of a connected agent that offers a plain service.
    #[must_use]
    pub fn choose_service(
        &self,
        service: &str,
        exclude: &[ids::Incarnation],
    ) -> Option<(ids::Incarnation, Arc<sessions::AgentChannel>)> {
        let agents = self.agents.lock();
        let mut offering = agents.iter().filter(|known| {
            known.is_connected
                && !known.report.leaving
                && !exclude.contains(&known.agent)
                && known.report.services.iter().any(|name| name == service)
        });
        let known = offering.next()?;
        Some((known.agent, Arc::clone(&known.channel)))
    }

    /// Runs a change of the routing policy at the current time.
    pub fn observe(&self, change: impl FnOnce(&mut dyn routing::RoutingPolicy, units::Timestamp)) {
        let now = self.clock.now();
        change(self.routing.lock().as_mut(), now);
    }

    /// Whether an agent is connected that takes work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let agents = self.agents.lock();
        let mut agents = agents.iter();
        agents.any(|known| known.is_connected && !known.report.leaving)
    }

    /// State of all agents.
    #[must_use]
    pub fn status(&self) -> Vec<AgentStatus> {
        let agents = self.agents.lock();
        let status = agents.iter().map(|known| AgentStatus {
            address: known.channel.address(),
            incarnation: known.agent.to_string(),
            connected: known.is_connected,
            leaving: known.report.leaving,
            replicas: known.report.replicas.len(),
            wait_millis: shortest_wait(&known.report),
        });
        status.collect()
    }

    fn report(&self, agent: ids::Incarnation, report: &message::LoadReport, is_connected: bool) {
        let now = self.clock.now();
        let mut routing = self.routing.lock();
        for replica in &report.replicas {
            let endpoint = endpoint(agent, replica.replica);
            routing.report(endpoint, &view(report, replica, is_connected, now), now);
            if report.leaving {
                routing.endpoint_leaving(endpoint, now);
            }
        }
    }
}

impl sessions::ChannelObserver for AgentDirectory {
    fn opened(&self, channel: &Arc<sessions::AgentChannel>, welcome: &message::Welcome) {
        let known = KnownAgent {
            agent: welcome.agent,
            channel: Arc::clone(channel),
            report: welcome.report.clone(),
            is_connected: true,
        };
        let mut agents = self.agents.lock();
        match position(&agents, welcome.agent) {
            Ok(position) => agents[position] = known,
            Err(position) => agents.insert(position, known),
        }
        drop(agents);
        self.metrics.sessions(1);
        let distance = if welcome.data_centre == self.data_centre {
            NEAR_DELAY
        } else {
            FAR_DELAY
        };
        for replica in &welcome.report.replicas {
            let endpoint = endpoint(welcome.agent, replica.replica);
            let place = routing::EndpointPlace { endpoint, distance };
            self.observe(|routing, now| routing.endpoint_added(&place, now));
        }
        self.report(welcome.agent, &welcome.report, true);
    }

    fn reported(
        &self,
        _address: net::SocketAddr,
        agent: ids::Incarnation,
        report: &message::LoadReport,
    ) {
        let mut agents = self.agents.lock();
        if let Ok(position) = position(&agents, agent) {
            agents[position].report = report.clone();
        }
        drop(agents);
        self.report(agent, report, true);
    }

    fn disconnected(&self, address: net::SocketAddr) {
        let mut agents = self.agents.lock();
        let mut lost = Vec::new();
        for known in agents.iter_mut() {
            if known.channel.address() == address && known.is_connected {
                known.is_connected = false;
                lost.push((known.agent, known.report.clone()));
            }
        }
        drop(agents);
        for (agent, report) in lost {
            self.metrics.sessions(-1);
            self.report(agent, &report, false);
        }
    }

    fn replaced(&self, agent: ids::Incarnation) {
        let mut agents = self.agents.lock();
        let Ok(position) = position(&agents, agent) else {
            return;
        };
        let known = agents.remove(position);
        drop(agents);
        for replica in &known.report.replicas {
            let endpoint = endpoint(agent, replica.replica);
            self.observe(|routing, now| routing.endpoint_removed(endpoint, now));
        }
    }

    fn configuration_version(&self) -> u64 {
        0
    }
}

fn position(agents: &[KnownAgent], agent: ids::Incarnation) -> Result<usize, usize> {
    agents.binary_search_by_key(&agent, |known| known.agent)
}

fn endpoint(agent: ids::Incarnation, replica: u16) -> ids::EndpointId {
    ids::EndpointId { agent, replica }
}

fn view(
    report: &message::LoadReport,
    replica: &message::ReplicaReport,
    is_connected: bool,
    now: units::Timestamp,
) -> routing::EndpointView {
    routing::EndpointView {
        as_of: now,
        base_model: replica.base_model.clone(),
        ready: replica.ready && is_connected,
        leaving: report.leaving,
        adapter_slots: replica.adapter_slots,
        batch_limit: replica.batch_limit,
        running: replica.running,
        queued: replica.queued,
        wait: time::Duration::from_millis(replica.wait_millis[1].into()),
        loaded: replica.adapters.clone(),
        loading: replica.loading.clone(),
    }
}

fn shortest_wait(report: &message::LoadReport) -> [u32; 3] {
    let waits = report.replicas.iter().map(|replica| replica.wait_millis);
    let shortest =
        waits.reduce(|one, other| std::array::from_fn(|index| one[index].min(other[index])));
    shortest.unwrap_or_default()
}
