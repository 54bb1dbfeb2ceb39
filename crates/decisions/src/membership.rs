//! Membership state of agents from the view of one entry.
//!
//! The state combines three sources: the platform's instance list, which lags; the agent's own
//! report; and the entry's connection. An agent is leaving as soon as one source says so, since
//! work sent to it may be interrupted. The list names addresses, not incarnations: shortly after a
//! restart, its state of an address may still concern the old incarnation.

use std::{net, time};

use crate::{ids, units};

/// Time after the first sign of leaving by which new work has ended (invariant I6). Routing stops
/// at the first sign; the limit covers requests routed before it was seen.
pub const LEAVING_LIMIT: time::Duration = time::Duration::from_secs(3);
/// Maximum lag of the instance list; its leaving state is ignored for this time after a restart.
const LIST_LAG: time::Duration = time::Duration::from_secs(10);
/// Time without a connection after which an unlisted agent is gone.
const UNLISTED_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Time without a connection after which a listed agent is gone.
const LISTED_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// State of an address in the instance list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    Live,
    Leaving,
}

/// Entry of the instance list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    pub address: net::SocketAddr,
    pub state: ListedState,
}

/// State combined from all sources.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// Only the address is known; the entry should connect.
    Unknown,
    /// Takes new work.
    Live,
    /// Connection lost; takes no new work until reconnected.
    Disconnected,
    /// Takes no new work; requests in flight continue.
    Leaving,
    /// The incarnation no longer exists or is unreachable.
    Gone,
}

/// State change for the routing policy and the connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberChange {
    pub address: net::SocketAddr,
    /// Incarnation of the agent, `None` before the first `hello`.
    pub incarnation: Option<ids::Incarnation>,
    pub state: MemberState,
}

/// State of a connection to an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Connection {
    Never,
    Open,
    Lost { since: units::Timestamp },
}

/// Leaving state from the list. It is cleared once the list has shown the address as live for the
/// whole lag, so that one outdated copy of the list does not clear it.
#[derive(Clone, Copy, Debug)]
struct ListedLeaving {
    first: units::Timestamp,
    live_since: Option<units::Timestamp>,
}

#[derive(Clone, Debug)]
struct Member {
    address: net::SocketAddr,
    incarnation: Option<ids::Incarnation>,
    listed: Option<ListedState>,
    /// Time when this incarnation replaced another one.
    replaced_at: Option<units::Timestamp>,
    connection: Connection,
    /// Time when the agent reported that it is leaving; final for the incarnation.
    leaving: Option<units::Timestamp>,
    listed_leaving: Option<ListedLeaving>,
    /// Last state returned as a change.
    reported: Option<MemberState>,
}

/// Agents known to one entry, sorted by address.
#[derive(Debug, Default)]
pub struct MembershipTable {
    members: Vec<Member>,
}

impl MembershipTable {
    /// Applies a new copy of the instance list.
    pub fn update_list(&mut self, list: &[ListedInstance], now: units::Timestamp) {
        let mut list = list.to_vec();
        list.sort_unstable_by_key(|entry| entry.address);
        for entry in &list {
            self.member(entry.address);
        }
        for member in &mut self.members {
            let entry = list.binary_search_by_key(&member.address, |entry| entry.address);
            member.listed = entry.ok().map(|position| list[position].state);
            member.apply_list(now);
        }
    }

    /// Records a reply to `hello`; the change reports that an earlier incarnation is gone.
    pub fn mark_connected(
        &mut self,
        address: net::SocketAddr,
        incarnation: ids::Incarnation,
        now: units::Timestamp,
    ) -> Option<MemberChange> {
        let member = self.member(address);
        member.connection = Connection::Open;
        if member.incarnation == Some(incarnation) {
            return None;
        }
        let previous = member.incarnation.replace(incarnation);
        let reported = member.reported.take();
        let previous = previous?;
        member.replaced_at = Some(now);
        member.leaving = None;
        member.listed_leaving = None;
        if reported == Some(MemberState::Gone) {
            return None;
        }
        Some(MemberChange {
            address,
            incarnation: Some(previous),
            state: MemberState::Gone,
        })
    }

    /// Records that an agent reported that it is leaving.
    pub fn mark_leaving(
        &mut self,
        address: net::SocketAddr,
        incarnation: ids::Incarnation,
        now: units::Timestamp,
    ) {
        let member = self.member(address);
        if member.incarnation == Some(incarnation) {
            member.leaving.get_or_insert(now);
        }
    }

    /// Records a lost or refused connection.
    pub fn mark_disconnected(&mut self, address: net::SocketAddr, now: units::Timestamp) {
        let member = self.member(address);
        if !matches!(member.connection, Connection::Lost { .. }) {
            member.connection = Connection::Lost { since: now };
        }
    }

    /// State of an address.
    #[must_use]
    pub fn state(&self, address: net::SocketAddr, now: units::Timestamp) -> MemberState {
        match self.position(address) {
            Ok(position) => self.members[position].state(now),
            Err(_) => MemberState::Gone,
        }
    }

    /// Whether new work may be sent to this incarnation.
    #[must_use]
    pub fn takes_work(
        &self,
        address: net::SocketAddr,
        incarnation: ids::Incarnation,
        now: units::Timestamp,
    ) -> bool {
        self.position(address).is_ok_and(|position| {
            let member = &self.members[position];
            member.incarnation == Some(incarnation) && member.state(now) == MemberState::Live
        })
    }

    /// Whether work must no longer be sent, even if it was routed before the first sign of leaving.
    #[must_use]
    pub fn is_past_leaving_limit(&self, address: net::SocketAddr, now: units::Timestamp) -> bool {
        self.position(address).is_ok_and(|position| {
            let first = self.members[position].leaving_since();
            first.is_some_and(|first| now.since(first) >= LEAVING_LIMIT)
        })
    }

    /// State changes since the last call; removes agents that are gone and unlisted.
    pub fn take_changes(&mut self, now: units::Timestamp) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        for member in &mut self.members {
            let state = member.state(now);
            if member.reported.replace(state) != Some(state) {
                changes.push(MemberChange {
                    address: member.address,
                    incarnation: member.incarnation,
                    state,
                });
            }
        }
        self.members
            .retain(|member| member.listed.is_some() || member.reported != Some(MemberState::Gone));
        changes
    }

    fn position(&self, address: net::SocketAddr) -> Result<usize, usize> {
        self.members
            .binary_search_by_key(&address, |member| member.address)
    }

    fn member(&mut self, address: net::SocketAddr) -> &mut Member {
        let position = match self.position(address) {
            Ok(position) => position,
            Err(position) => {
                self.members.insert(position, Member::new(address));
                position
            }
        };
        &mut self.members[position]
    }
}

impl Member {
    fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            incarnation: None,
            listed: None,
            replaced_at: None,
            connection: Connection::Never,
            leaving: None,
            listed_leaving: None,
            reported: None,
        }
    }

    /// Updates the leaving state from the list, unless it may concern an earlier incarnation.
    fn apply_list(&mut self, now: units::Timestamp) {
        match self.listed {
            Some(ListedState::Leaving) => {
                let replaced_at = self.replaced_at;
                if replaced_at.is_some_and(|replaced_at| now.since(replaced_at) < LIST_LAG) {
                    return;
                }
                let sign = self.listed_leaving.get_or_insert(ListedLeaving {
                    first: now,
                    live_since: None,
                });
                sign.live_since = None;
            }
            Some(ListedState::Live) => {
                let sign = self.listed_leaving.as_mut();
                let since = sign.map(|sign| *sign.live_since.get_or_insert(now));
                if since.is_some_and(|since| now.since(since) >= LIST_LAG) {
                    self.listed_leaving = None;
                }
            }
            None => {}
        }
    }

    /// Time of the first sign of leaving of this incarnation from any source.
    fn leaving_since(&self) -> Option<units::Timestamp> {
        let listed = self.listed_leaving.map(|sign| sign.first);
        self.leaving.into_iter().chain(listed).min()
    }

    fn state(&self, now: units::Timestamp) -> MemberState {
        let limit = match self.listed {
            Some(_) => LISTED_TIMEOUT,
            None => UNLISTED_TIMEOUT,
        };
        match self.connection {
            Connection::Lost { since } if now.since(since) >= limit => MemberState::Gone,
            _ if self.leaving_since().is_some() => MemberState::Leaving,
            Connection::Never if self.listed.is_none() => MemberState::Gone,
            Connection::Never => MemberState::Unknown,
            Connection::Lost { .. } => MemberState::Disconnected,
            Connection::Open => MemberState::Live,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OLD: ids::Incarnation = ids::Incarnation(1);
    const NEW: ids::Incarnation = ids::Incarnation(2);

    fn address() -> net::SocketAddr {
        ([127, 0, 0, 1], 4_000).into()
    }

    fn at(seconds: u64) -> units::Timestamp {
        units::Timestamp(0) + time::Duration::from_secs(seconds)
    }

    fn list(state: ListedState) -> [ListedInstance; 1] {
        let address = address();
        [ListedInstance { address, state }]
    }

    fn live_table() -> MembershipTable {
        let mut table = MembershipTable::default();
        table.update_list(&list(ListedState::Live), at(0));
        table.mark_connected(address(), OLD, at(1));
        assert!(table.takes_work(address(), OLD, at(1)));
        table
    }

    // Guards against work for a draining agent that an outdated list still shows as live.
    #[test]
    fn stale_list_does_not_reinstate_a_leaving_agent() {
        let mut table = live_table();
        table.mark_leaving(address(), OLD, at(20));
        table.update_list(&list(ListedState::Live), at(21));
        table.mark_connected(address(), OLD, at(22));
        assert!(!table.takes_work(address(), OLD, at(20)));
        assert_eq!(table.state(address(), at(22)), MemberState::Leaving);
        assert!(!table.is_past_leaving_limit(address(), at(22)));
        assert!(table.is_past_leaving_limit(address(), at(23)));
    }

    // Guards against work for an agent whose shutdown only the list reports.
    #[test]
    fn list_alone_stops_new_work() {
        let mut table = live_table();
        table.update_list(&list(ListedState::Leaving), at(20));
        assert!(!table.takes_work(address(), OLD, at(20)));
        // One outdated copy of the list does not reinstate the agent; the corrected list does.
        table.update_list(&list(ListedState::Live), at(21));
        assert!(!table.takes_work(address(), OLD, at(21)));
        table.update_list(&list(ListedState::Live), at(31));
        assert!(table.takes_work(address(), OLD, at(31)));
    }

    // Guards against a new incarnation that inherits the state of the old one or is confused with
    // it.
    #[test]
    fn new_incarnation_is_a_new_endpoint() {
        let mut table = live_table();
        table.mark_leaving(address(), OLD, at(20));
        let change = table.mark_connected(address(), NEW, at(22)).unwrap();
        assert_eq!(change.incarnation, Some(OLD));
        assert_eq!(change.state, MemberState::Gone);
        table.update_list(&list(ListedState::Leaving), at(23));
        table.mark_leaving(address(), OLD, at(24));
        assert!(table.takes_work(address(), NEW, at(24)));
        assert!(!table.takes_work(address(), OLD, at(24)));
        // After the lag, the list's state concerns the new incarnation.
        table.update_list(&list(ListedState::Leaving), at(33));
        assert!(!table.takes_work(address(), NEW, at(33)));
    }

    // Guards against work for an agent without a connection, and against the removal of a live
    // agent because of a broken connection.
    #[test]
    fn lost_connection_suspends_and_then_removes_the_agent() {
        let mut table = live_table();
        table.take_changes(at(1));
        table.mark_disconnected(address(), at(20));
        assert!(!table.takes_work(address(), OLD, at(20)));
        assert_eq!(table.state(address(), at(24)), MemberState::Disconnected);
        table.mark_connected(address(), OLD, at(25));
        assert!(table.takes_work(address(), OLD, at(25)));
        table.update_list(&[], at(30));
        assert!(table.takes_work(address(), OLD, at(30)));
        table.mark_disconnected(address(), at(31));
        let changes = table.take_changes(at(34));
        assert_eq!(changes[0].state, MemberState::Gone);
        assert!(table.take_changes(at(35)).is_empty());
    }
}
