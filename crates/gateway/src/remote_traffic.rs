//! Requests to other data centres: round trips, shares and counts of one gateway.
//!
//! The decisions are in [`decisions::data_centre_choice`] and [`decisions::remote_shares`]. They are reviewed
//! after each round of heartbeats, which brings the views that they rest on.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time,
};

use decisions::{adapter_pooling, data_centre_choice, distance, remote_shares, round_trips, units};
use telemetry::events;

use crate::{dispatch, replica_selection};

/// Change of a share that is worth a log record.
const LOGGED_CHANGE: f64 = 0.1;
/// Time between two log records on one service.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Data centre as one gateway knows it.
struct DataCentreLink {
    name: String,
    round_trip: round_trips::RoundTripEstimate,
    /// Requests sent since the last report.
    sent_count: u64,
}

/// Shares of one service.
struct ServiceShares {
    service: String,
    shares: remote_shares::RemoteShares,
    pooled: adapter_pooling::PooledShare,
    /// Shares in the last log record.
    logged: Vec<f64>,
    logged_at: Option<units::Timestamp>,
}

/// Load of a service in all data centres.
pub struct ServiceLoad {
    pub service: String,
    /// Shortest latency objective of its routes.
    pub objective: time::Duration,
    pub home_wait: Option<time::Duration>,
    /// In the order of [`RemoteTraffic::others`].
    pub others: Vec<remote_shares::DataCentreLoad>,
    /// Engines short of adapter slots, and those whose state is known.
    pub engines_short: u32,
    pub engines_known: u32,
}

/// Shares of a service after a review.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareReport {
    pub service: String,
    /// Name and share of each other data centre.
    pub shares: Vec<(String, f64)>,
    /// Share of the adapters that are loaded at one engine for all data centres.
    pub pooled_share: f64,
    pub home_wait: Option<time::Duration>,
    /// They differ much from those in the last log record.
    pub has_changed: bool,
}

/// State on requests to other data centres.
pub struct RemoteTraffic {
    policy: data_centre_choice::RemotePolicy,
    home: String,
    /// Sorted by name, with the own one.
    links: Vec<DataCentreLink>,
    /// Sorted by service.
    services: Vec<ServiceShares>,
    /// Choices by reason, in the order of [`data_centre_choice::RemoteReason::ALL`].
    choices: [AtomicU64; data_centre_choice::RemoteReason::ALL.len()],
}

impl RemoteTraffic {
    /// Creates the state of a gateway in a data centre.
    #[must_use]
    pub fn new(home: &str, policy: data_centre_choice::RemotePolicy) -> Self {
        let mut traffic = Self {
            policy,
            home: home.to_owned(),
            links: Vec::new(),
            services: Vec::new(),
            choices: Default::default(),
        };
        traffic.add_data_centre(home);
        traffic
    }

    /// Policy of the gateway's settings.
    #[must_use]
    pub fn policy(&self) -> data_centre_choice::RemotePolicy {
        self.policy
    }

    /// Adds a data centre unless it is known.
    pub fn add_data_centre(&mut self, name: &str) {
        if let Err(position) = self.find(name) {
            let link = DataCentreLink {
                name: name.to_owned(),
                round_trip: round_trips::RoundTripEstimate::default(),
                sent_count: 0,
            };
            self.links.insert(position, link);
        }
    }

    /// Names of the other data centres, sorted.
    pub fn others(&self) -> impl Iterator<Item = &str> {
        let others = self.links.iter().filter(|link| link.name != self.home);
        others.map(|link| link.name.as_str())
    }

    /// Records the duration of a call to a data centre.
    pub fn record_round_trip(
        &mut self,
        name: &str,
        elapsed: time::Duration,
        now: units::Timestamp,
    ) {
        if let Ok(position) = self.find(name) {
            self.links[position].round_trip.record(elapsed, now);
        }
    }

    /// Counts a request sent to a data centre.
    pub fn record_send(&mut self, name: &str) {
        if let Ok(position) = self.find(name) {
            self.links[position].sent_count += 1;
        }
    }

    /// Counts a request that leaves the own data centre.
    pub fn record_choice(&self, reason: data_centre_choice::RemoteReason) {
        let reasons = data_centre_choice::RemoteReason::ALL;
        if let Some(position) = reasons.iter().position(|known| *known == reason) {
            self.choices[position].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Time that the way to a data centre adds to a request with a number of round trips.
    #[must_use]
    pub fn delay(&self, name: &str, round_trips: u32) -> time::Duration {
        let is_free = self.policy == data_centre_choice::RemotePolicy::Even || name == self.home;
        if is_free {
            return time::Duration::ZERO;
        }
        distance::delay(
            self.round_trip(name),
            self.round_trip(&self.home),
            round_trips,
        )
    }

    /// Limits on the choice of a data centre for a request.
    #[must_use]
    pub fn request_terms(
        &self,
        terms: &replica_selection::SelectionTerms<'_>,
    ) -> data_centre_choice::RequestTerms {
        let found = self.find_service(terms.service).ok();
        let known = found.map(|position| &self.services[position]);
        let owner = terms.adapter.filter(|owner| {
            self.is_pooled(terms.service, owner.adapter_hash)
                && adapter_pooling::pays(self.delay(owner.data_centre, 1))
        });
        data_centre_choice::RequestTerms {
            min_gain: distance::min_gain(terms.objective, terms.size),
            objective_left: terms.objective_left,
            deadline_left: terms.deadline_left,
            assigned: known.and_then(|known| known.shares.assigned(terms.request_hash)),
            adapter_owner: owner
                .and_then(|owner| self.others().position(|name| name == owner.data_centre)),
        }
    }

    /// Whether an adapter of a service is loaded at one engine for all data centres.
    #[must_use]
    pub fn is_pooled(&self, service: &str, adapter_hash: u64) -> bool {
        let found = self.find_service(service);
        found.is_ok_and(|known| self.services[known].pooled.includes(adapter_hash))
    }

    /// Time by which all requests of a service start sooner in another data centre.
    #[must_use]
    pub fn common_gap(&self, service: &str, position: usize) -> time::Duration {
        let found = self.find_service(service);
        found.map_or(time::Duration::ZERO, |known| {
            self.services[known].shares.gap(position)
        })
    }

    /// Adapts the shares to the loads of all services.
    pub fn review(&mut self, loads: &[ServiceLoad], now: units::Timestamp) -> Vec<ShareReport> {
        self.services
            .retain(|known| loads.iter().any(|load| load.service == known.service));
        loads
            .iter()
            .map(|load| self.review_service(load, now))
            .collect()
    }

    fn review_service(&mut self, load: &ServiceLoad, now: units::Timestamp) -> ShareReport {
        let position = self.find_service(&load.service).unwrap_or_else(|position| {
            let service = ServiceShares {
                service: load.service.clone(),
                shares: remote_shares::RemoteShares::default(),
                pooled: adapter_pooling::PooledShare::default(),
                logged: Vec::new(),
                logged_at: None,
            };
            self.services.insert(position, service);
            position
        });
        let known = &mut self.services[position];
        known
            .shares
            .review(load.home_wait, &load.others, load.objective, now);
        known
            .pooled
            .review(load.engines_short, load.engines_known, now);
        let pooled_share = known.pooled.value();
        let shares: Vec<f64> = known.shares.values().collect();
        let has_changed = known.take_change(&shares, now);
        ShareReport {
            service: load.service.clone(),
            shares: self.others().map(str::to_owned).zip(shares).collect(),
            pooled_share,
            home_wait: load.home_wait,
            has_changed,
        }
    }

    /// Requests sent since the last call, by data centre.
    pub fn take_sent(&mut self) -> Vec<(String, u64)> {
        let sent = self.links.iter_mut();
        sent.map(|link| (link.name.clone(), std::mem::take(&mut link.sent_count)))
            .collect()
    }

    /// Choices since the last call, by reason.
    pub fn take_choices(&self) -> Vec<(data_centre_choice::RemoteReason, u64)> {
        let counts = self.choices.iter();
        let counts = counts.map(|count| count.swap(0, Ordering::Relaxed));
        let reasons = data_centre_choice::RemoteReason::ALL;
        reasons.into_iter().zip(counts).collect()
    }

    fn round_trip(&self, name: &str) -> Option<time::Duration> {
        let position = self.find(name).ok()?;
        self.links[position].round_trip.value()
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.links
            .binary_search_by(|link| link.name.as_str().cmp(name))
    }

    fn find_service(&self, service: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|known| known.service.as_str().cmp(service))
    }
}

impl ServiceShares {
    /// Whether a log record on the shares is due; it counts as written.
    fn take_change(&mut self, shares: &[f64], now: units::Timestamp) -> bool {
        let logged = self.logged.iter().copied().chain(std::iter::repeat(0.0));
        let is_much = shares
            .iter()
            .zip(logged)
            .any(|(share, logged)| (share - logged).abs() >= LOGGED_CHANGE);
        let is_due = self
            .logged_at
            .is_none_or(|logged_at| now.since(logged_at) >= LOG_INTERVAL);
        if !is_much || !is_due {
            return false;
        }
        self.logged = shares.to_vec();
        self.logged_at = Some(now);
        true
    }
}

impl dispatch::Dispatcher {
    /// Reviews the shares of requests that may leave the data centre, and reports them.
    pub fn review_remote_traffic(&self) {
        let Some(current) = self.catalog.lock().current() else {
            return;
        };
        let now = self.now();
        let (reports, sent, choices) = {
            let mut replicas = self.replicas.lock();
            let loads = replicas.service_loads(&current, now);
            let traffic = &mut replicas.remote;
            let reports = traffic.review(&loads, now);
            (reports, traffic.take_sent(), traffic.take_choices())
        };
        self.metrics.record_sends(&sent);
        self.metrics.record_remote_choices(&choices);
        for report in &reports {
            self.metrics.record_remote_shares(report);
            if report.has_changed {
                self.log_shares(report);
            }
        }
    }

    fn log_shares(&self, report: &ShareReport) {
        let shares: Vec<String> = report
            .shares
            .iter()
            .map(|(name, share)| format!("{name}={share:.2}"))
            .collect();
        let wait_ms = report.home_wait.map(|wait| wait.as_millis());
        let wait_ms = wait_ms.map(|wait| u64::try_from(wait).unwrap_or(u64::MAX));
        slog::info!(self.request_logger.logger(), "share of requests to other data centres changed";
            "event" => events::REMOTE_SHARE_CHANGED.number,
            "name" => events::REMOTE_SHARE_CHANGED.name, "service" => &report.service,
            "shares" => shares.join(" "), "pooled" => format!("{:.2}", report.pooled_share),
            "wait_ms" => wait_ms);
    }
}
