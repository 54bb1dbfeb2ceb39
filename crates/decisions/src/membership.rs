//! Which agents are live, leaving or gone.
//!
//! Three sources say so: the platform's instance list, which lags; the agent's own report; and the
//! entry's connection. For leaving the most pessimistic recent source wins, since work sent to a
//! leaving agent may be interrupted. The list knows addresses, not incarnations: what it says of an
//! address that has just got a new incarnation may still concern the old one.

use std::{net, time};

use crate::{ids, units};

/// Time after the first sign of leaving by which new work has ended (invariant I6). New work ends
/// at the first sign already; the limit covers choices made before the sign was seen.
pub const LEAVING_LIMIT: time::Duration = time::Duration::from_secs(3);
/// Lag of the instance list for which a new incarnation overrides it.
const LIST_LAG: time::Duration = time::Duration::from_secs(10);
/// Time without a connection after which an agent that the list does not name is gone.
const UNLISTED_LIMIT: time::Duration = time::Duration::from_secs(3);
/// Time without a connection after which an agent is gone although the list names it.
const LISTED_LIMIT: time::Duration = time::Duration::from_secs(15);

/// What the instance list says of an address.
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

/// State that results from all sources.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// Known by address only; the entry should connect.
    Unknown,
    /// Takes new work.
    Live,
    /// Connection lost; takes no new work until it is replaced.
    Disconnected,
    /// Takes no new work; requests in flight continue.
    Leaving,
    /// The incarnation no longer exists or cannot be reached.
    Gone,
}

/// Change that the caller passes on to the routing policy and its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberChange {
    pub address: net::SocketAddr,
    /// Incarnation concerned, `None` before the first `hello`.
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

/// Sign of leaving from the list. It ends when the list has shown the address as live for its whole
/// lag, so that one old copy of the list does not end it.
#[derive(Clone, Copy, Debug)]
struct ListedSign {
    first: units::Timestamp,
    live_since: Option<units::Timestamp>,
}

#[derive(Clone, Debug)]
struct Member {
    address: net::SocketAddr,
    incarnation: Option<ids::Incarnation>,
    listed: Option<ListedState>,
    /// Time at which this incarnation replaced another one.
    replaced: Option<units::Timestamp>,
    connection: Connection,
    /// Time at which the agent said that it leaves; final for the incarnation.
    leaving: Option<units::Timestamp>,
    listed_leaving: Option<ListedSign>,
    /// Last state that the caller was reported.
    reported: Option<MemberState>,
}

/// Agents known to one entry, sorted by address.
#[derive(Debug, Default)]
pub struct MembershipTable {
    members: Vec<Member>,
}

impl MembershipTable {
    /// Takes over a new copy of the instance list.
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

    /// Records the answer to `hello`; the change tells of the end of an earlier incarnation.
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
        member.replaced = Some(now);
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

    /// Records that an agent says of itself that it leaves.
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

    /// Whether even work chosen before the first sign of leaving must no longer be sent.
    #[must_use]
    pub fn is_past_leaving_limit(&self, address: net::SocketAddr, now: units::Timestamp) -> bool {
        self.position(address).is_ok_and(|position| {
            let first = self.members[position].first_sign();
            first.is_some_and(|first| now.since(first) >= LEAVING_LIMIT)
        })
    }

    /// States that changed since the last call; forgets agents that are gone and not listed.
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
            replaced: None,
            connection: Connection::Never,
            leaving: None,
            listed_leaving: None,
            reported: None,
        }
    }

    /// Takes a sign of leaving from the list, unless it may concern an earlier incarnation.
    fn apply_list(&mut self, now: units::Timestamp) {
        match self.listed {
            Some(ListedState::Leaving) => {
                let replaced = self.replaced;
                if replaced.is_some_and(|replaced| now.since(replaced) < LIST_LAG) {
                    return;
                }
                let sign = self.listed_leaving.get_or_insert(ListedSign {
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

    /// First sign of leaving of this incarnation from any source.
    fn first_sign(&self) -> Option<units::Timestamp> {
        let listed = self.listed_leaving.map(|sign| sign.first);
        self.leaving.into_iter().chain(listed).min()
    }

    fn state(&self, now: units::Timestamp) -> MemberState {
        let limit = match self.listed {
            Some(_) => LISTED_LIMIT,
            None => UNLISTED_LIMIT,
        };
        match self.connection {
            Connection::Lost { since } if now.since(since) >= limit => MemberState::Gone,
            _ if self.first_sign().is_some() => MemberState::Leaving,
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

    // Guards against work for an agent that drains while the list still shows it live.
    #[test]
    fn stale_list_does_not_revive_a_leaving_agent() {
        let mut table = live_table();
        table.mark_leaving(address(), OLD, at(20));
        table.update_list(&list(ListedState::Live), at(21));
        table.mark_connected(address(), OLD, at(22));
        assert!(!table.takes_work(address(), OLD, at(20)));
        assert_eq!(table.state(address(), at(22)), MemberState::Leaving);
        assert!(!table.is_past_leaving_limit(address(), at(22)));
        assert!(table.is_past_leaving_limit(address(), at(23)));
    }

    // Guards against work for an agent whose shutdown only the list knows of.
    #[test]
    fn list_alone_stops_new_work() {
        let mut table = live_table();
        table.update_list(&list(ListedState::Leaving), at(20));
        assert!(!table.takes_work(address(), OLD, at(20)));
        // One old copy of the list does not revive the agent; the corrected list does.
        table.update_list(&list(ListedState::Live), at(21));
        assert!(!table.takes_work(address(), OLD, at(21)));
        table.update_list(&list(ListedState::Live), at(31));
        assert!(table.takes_work(address(), OLD, at(31)));
    }

    // Guards against a new incarnation that inherits the state of the old one, or is mistaken for
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
        // A list that still says so after its lag concerns the new incarnation.
        table.update_list(&list(ListedState::Leaving), at(33));
        assert!(!table.takes_work(address(), NEW, at(33)));
    }

    // Guards against work sent into a dead connection, and against an agent that a broken
    // connection removes although it is alive.
    #[test]
    fn lost_connection_pauses_work_and_then_removes() {
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
