//! Directory of the agents known to an entry, and endpoint selection.

use std::{
    net,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time,
};

use decisions::{ids, membership, routing, units};
use futures::future;
use operators::snapshot;
use parking_lot::Mutex;
use peers::{message, service};
use serde::Serialize;

use crate::{channels, clock, metrics};

/// Network delay assumed to agents in the same data centre.
const LOCAL_DELAY: time::Duration = time::Duration::from_micros(100);
const IMAGE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Network delay assumed to agents in other data centres.
const REMOTE_DELAY: time::Duration = time::Duration::from_micros(750);

/// Interval between load reports per known agent. A change of 8 replicas is about 210 B, so all
/// agents together send at most 12 KB/s of the 29 KB/s that an entry may use for control traffic.
const REPORT_INTERVAL_PER_AGENT: time::Duration = time::Duration::from_micros(17_500);

/// Directory of the agent incarnations that replied to `hello`.
pub struct AgentDirectory {
    data_centre: String,
    clock: clock::EntryClock,
    metrics: Arc<metrics::EntryMetrics>,
    /// Sorted by incarnation.
    agents: Mutex<Vec<KnownAgent>>,
    routing: Mutex<Box<dyn routing::RoutingPolicy>>,
    members: Mutex<membership::MembershipTable>,
    configuration_version: AtomicU64,
}

struct KnownAgent {
    agent: ids::Incarnation,
    channel: Arc<channels::AgentChannel>,
    report: message::LoadReport,
    reported_at: units::Timestamp,
    is_connected: bool,
}

/// Endpoint chosen for an attempt.
pub struct ChosenEndpoint {
    pub choice: routing::Choice,
    pub channel: Arc<channels::AgentChannel>,
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
            members: Mutex::default(),
            configuration_version: AtomicU64::new(0),
        }
    }

    /// Chooses an endpoint.
    ///
    /// # Errors
    /// [`routing::Refusal`] when no endpoint may accept the request.
    pub fn choose(
        &self,
        request: &routing::RoutingRequest<'_>,
    ) -> Result<ChosenEndpoint, routing::Refusal> {
        let now = self.clock.now();
        let mut exclude = request.exclude.to_vec();
        // Each iteration excludes one more endpoint of an agent that accepts no requests, which the
        // policy may not know yet.
        loop {
            let narrowed = routing::RoutingRequest {
                exclude: &exclude,
                ..*request
            };
            let choice = self.routing.lock().choose(&narrowed, now)?;
            let agent = choice.endpoint.agent;
            let channel = self.channel(agent);
            let channel = channel.filter(|channel| self.accepts_requests(channel.address(), agent));
            if let Some(channel) = channel {
                return Ok(ChosenEndpoint { choice, channel });
            }
            exclude.push(choice.endpoint);
        }
    }

    /// Applies the instance list and returns the membership changes.
    pub fn update_list(
        &self,
        list: &[membership::ListedInstance],
    ) -> Vec<membership::MemberChange> {
        let now = self.clock.now();
        let mut members = self.members.lock();
        members.update_list(list, now);
        members.take_changes(now)
    }

    /// Newest configuration image that a connected agent offers.
    pub async fn newest_image(&self, known_version: u64) -> Option<snapshot::EncodedImage> {
        let channels: Vec<_> = {
            let agents = self.agents.lock();
            let channels = agents.iter().map(|known| Arc::clone(&known.channel));
            channels.collect()
        };
        let calls = channels.iter().filter_map(|channel| {
            let client = channel.connection()?.client;
            Some(async move {
                let call = service::context_with_timeout(IMAGE_TIMEOUT);
                client.configuration(call, known_version).await.ok()?
            })
        });
        let images = future::join_all(calls).await;
        let newest = images
            .into_iter()
            .flatten()
            .max_by_key(|image| image.version)?;
        Some(snapshot::EncodedImage {
            version: newest.version,
            as_of: newest.as_of,
            state: newest.state,
        })
    }

    /// Sets the configuration version that polls report to the agents.
    pub fn set_configuration_version(&self, version: u64) {
        self.configuration_version.store(version, Ordering::Relaxed);
    }

    /// Channel of an incarnation.
    #[must_use]
    pub fn channel(&self, agent: ids::Incarnation) -> Option<Arc<channels::AgentChannel>> {
        let agents = self.agents.lock();
        let position = agent_position(&agents, agent).ok()?;
        Some(Arc::clone(&agents[position].channel))
    }

    fn accepts_requests(&self, address: net::SocketAddr, agent: ids::Incarnation) -> bool {
        let now = self.clock.now();
        self.members.lock().takes_work(address, agent, now)
    }

    /// Channel of a connected agent that offers a plain service.
    #[must_use]
    pub fn choose_service(
        &self,
        service: &str,
        exclude: &[ids::Incarnation],
    ) -> Option<(ids::Incarnation, Arc<channels::AgentChannel>)> {
        let agents = self.agents.lock();
        let mut offering = agents.iter().filter(|known| {
            known.is_connected
                && !known.report.leaving
                && !exclude.contains(&known.agent)
                && self.accepts_requests(known.channel.address(), known.agent)
                && known.report.services.iter().any(|name| name == service)
        });
        let known = offering.next()?;
        Some((known.agent, Arc::clone(&known.channel)))
    }

    /// Current time in the form used by the decision modules.
    #[must_use]
    pub fn now(&self) -> units::Timestamp {
        self.clock.now()
    }

    /// Applies a change to the routing policy at the current time.
    pub fn update_routing(
        &self,
        change: impl FnOnce(&mut dyn routing::RoutingPolicy, units::Timestamp),
    ) {
        let now = self.clock.now();
        change(self.routing.lock().as_mut(), now);
    }

    /// Whether at least one agent accepts requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let agents = self.agents.lock();
        let mut agents = agents.iter();
        agents.any(|known| self.accepts_requests(known.channel.address(), known.agent))
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

    fn report_endpoints(
        &self,
        agent: ids::Incarnation,
        report: &message::LoadReport,
        is_connected: bool,
    ) {
        let now = self.clock.now();
        let mut routing = self.routing.lock();
        for replica in &report.replicas {
            let endpoint = endpoint_id(agent, replica.replica);
            routing.report(
                endpoint,
                &endpoint_view(report, replica, is_connected, now),
                now,
            );
            if report.leaving {
                routing.endpoint_leaving(endpoint, now);
            }
        }
    }
}

impl channels::ChannelObserver for AgentDirectory {
    fn opened(&self, channel: &Arc<channels::AgentChannel>, welcome: &message::Welcome) {
        let known = KnownAgent {
            agent: welcome.agent,
            channel: Arc::clone(channel),
            report: welcome.report.clone(),
            reported_at: self.clock.now(),
            is_connected: true,
        };
        let mut agents = self.agents.lock();
        match agent_position(&agents, welcome.agent) {
            Ok(position) => agents[position] = known,
            Err(position) => agents.insert(position, known),
        }
        drop(agents);
        let now = self.clock.now();
        self.members
            .lock()
            .mark_connected(channel.address(), welcome.agent, now);
        self.metrics.add_sessions(1);
        let distance = if welcome.data_centre == self.data_centre {
            LOCAL_DELAY
        } else {
            REMOTE_DELAY
        };
        for replica in &welcome.report.replicas {
            let endpoint = endpoint_id(welcome.agent, replica.replica);
            let location = routing::EndpointLocation { endpoint, distance };
            self.update_routing(|routing, now| routing.endpoint_added(&location, now));
        }
        self.report_endpoints(welcome.agent, &welcome.report, true);
    }

    fn reported(
        &self,
        address: net::SocketAddr,
        agent: ids::Incarnation,
        report: &message::LoadReport,
    ) {
        let mut agents = self.agents.lock();
        if let Ok(position) = agent_position(&agents, agent) {
            agents[position].report = report.clone();
            agents[position].reported_at = self.clock.now();
        }
        drop(agents);
        if report.leaving {
            let now = self.clock.now();
            self.members.lock().mark_leaving(address, agent, now);
        }
        self.report_endpoints(agent, report, true);
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
        self.members
            .lock()
            .mark_disconnected(address, self.clock.now());
        for (agent, report) in lost {
            self.metrics.add_sessions(-1);
            self.report_endpoints(agent, &report, false);
        }
    }

    fn replaced(&self, agent: ids::Incarnation) {
        let mut agents = self.agents.lock();
        let Ok(position) = agent_position(&agents, agent) else {
            return;
        };
        let known = agents.remove(position);
        drop(agents);
        for replica in &known.report.replicas {
            let endpoint = endpoint_id(agent, replica.replica);
            self.update_routing(|routing, now| routing.endpoint_removed(endpoint, now));
        }
    }

    fn report_interval(&self) -> time::Duration {
        let agents = u32::try_from(self.agents.lock().len()).unwrap_or(u32::MAX);
        let interval = REPORT_INTERVAL_PER_AGENT.saturating_mul(agents);
        interval.min(message::MAX_POLL_WAIT)
    }

    fn configuration_version(&self) -> u64 {
        self.configuration_version.load(Ordering::Relaxed)
    }

    fn demand(&self, agent: ids::Incarnation) -> message::PeerDemand {
        let now = self.clock.now();
        let agents = self.agents.lock();
        let mut demand = message::PeerDemand {
            agents: 1,
            ..message::PeerDemand::default()
        };
        // A disconnected agent may still start loads until the silence limit has passed, so it is
        // counted until then.
        let is_counted = |known: &&KnownAgent| {
            known.agent != agent
                && (known.is_connected
                    || now.since(known.reported_at) < message::SESSION_SUSPEND_TIMEOUT)
        };
        for known in agents.iter().filter(is_counted) {
            demand.agents += 1;
            demand.waiting = demand.waiting.saturating_add(known.report.waiting_loads);
            demand.age = demand.age.max(now.since(known.reported_at));
        }
        demand
    }
}

fn agent_position(agents: &[KnownAgent], agent: ids::Incarnation) -> Result<usize, usize> {
    agents.binary_search_by_key(&agent, |known| known.agent)
}

fn endpoint_id(agent: ids::Incarnation, replica: u16) -> ids::EndpointId {
    ids::EndpointId { agent, replica }
}

fn endpoint_view(
    report: &message::LoadReport,
    replica: &message::ReplicaReport,
    is_connected: bool,
    now: units::Timestamp,
) -> routing::EndpointReport {
    routing::EndpointReport {
        as_of: now,
        base_model: replica.base_model.clone(),
        ready: replica.ready && is_connected,
        leaving: report.leaving,
        adapter_slots: replica.adapter_slots,
        batch_limit: replica.batch_limit,
        running: replica.running,
        queued: replica.queued,
        waits: replica
            .wait_millis
            .map(|millis| time::Duration::from_millis(millis.into())),
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
