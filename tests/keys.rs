//! At most one run per idempotency key, and no run after `not_run`, while processes fail.

#[allow(dead_code)]
mod support;

use std::time;

use rustix::process::Signal;
use support::{
    bounded, caller,
    cluster::{self, ClusterNode, TestCluster},
    pause, process,
    relay::{LinkFault, TcpRelay},
    service::stored_response,
    until,
};
use test_case::test_case;
use tokio::task;

/// Deadline of requests in milliseconds; longer than a process is stopped.
const LONG_DEADLINE: u32 = 40_000;
/// Time after which an agent has closed the session of a stopped entry, in seconds.
const AFTER_SESSION_TIMEOUT: u64 = 11;
/// Time within which a late run must show, in seconds.
const LATE_RUN_WAIT: u64 = 3;
/// Delay of the log between the append of a claim and the read that returns it to its entry.
const LOG_DELAY: time::Duration = time::Duration::from_millis(400);
const KEY: &str = "order-7";

/// Fault of the entry that claimed the key first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EntryFault {
    Kill,
    /// Stopped until its session is closed, then continued.
    Stop,
}

/// When the fault happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FaultMoment {
    /// The claim is in the log and the reply to the append is lost; nothing is dispatched.
    Claimed,
    /// The service received the call.
    Running,
}

/// Agent without engines for the service, and two entries.
struct OrderSetup {
    agent: ClusterNode,
    first_entry: ClusterNode,
    second_entry: ClusterNode,
    /// Dropped last: its directory holds the logs that the processes print when a test fails.
    cluster: TestCluster,
}

impl OrderSetup {
    async fn start() -> Self {
        let cluster = TestCluster::start().await;
        cluster.configure().await;
        let agent = cluster.start_agent(process::free_address(), &[]);
        let first_entry = cluster.start_entry(&[agent.address]);
        let second_entry = cluster.start_entry(&[agent.address]);
        for entry in [&first_entry, &second_entry] {
            cluster::wait_ready(entry.address, 1).await;
            cluster::wait_version(entry.address, 1).await;
        }
        Self {
            agent,
            first_entry,
            second_entry,
            cluster,
        }
    }

    /// Posts the order to the first entry and waits for the moment of the fault.
    async fn start_order(
        &self,
        moment: FaultMoment,
        deadline: u32,
    ) -> task::JoinHandle<caller::TestResponse> {
        let before = self.cluster.log.appended_records();
        let first_entry = self.first_entry.address;
        match moment {
            FaultMoment::Claimed => {
                self.cluster.log.set_delay(LOG_DELAY);
                self.cluster.log.lose_replies(1);
            }
            FaultMoment::Running => self.cluster.orders.hold_responses(true),
        }
        let call = tokio::spawn(caller::post_order(first_entry, KEY, deadline));
        match moment {
            FaultMoment::Claimed => {
                until("the claim is in the log", || async {
                    self.cluster.log.appended_records() > before
                })
                .await;
            }
            FaultMoment::Running => self.wait_running().await,
        }
        call
    }

    async fn wait_running(&self) {
        until("the service has the call", || async { self.calls() > 0 }).await;
    }

    fn calls(&self) -> u64 {
        self.cluster.orders.call_count(KEY)
    }

    /// Kills the agent and starts another one at its address.
    async fn replace_agent(&mut self) {
        self.agent.process.kill();
        self.agent = self.cluster.start_agent(self.agent.address, &[]);
        for entry in [&mut self.first_entry, &mut self.second_entry] {
            if entry.process.is_running() {
                cluster::wait_ready(entry.address, 1).await;
            }
        }
    }
}

/// Whether the response is consistent with this number of calls of the service.
fn is_consistent(response: &caller::TestResponse, calls: u64) -> bool {
    match response.outcome().as_deref() {
        Some("not_run") => calls == 0,
        Some("unknown") => calls <= 1,
        // A killed entry sends no response.
        None if response.status == 0 => calls <= 1,
        _ => response.status == 200 && response.body == stored_response(KEY) && calls == 1,
    }
}

// Guards against a key that runs again at another entry when the entry that claimed it is killed or
// stopped, also when that entry continues after its session was closed (I5), and against a second
// caller that never gets the response (I3).
#[test_case(EntryFault::Kill, FaultMoment::Claimed; "killed after its claim")]
#[test_case(EntryFault::Kill, FaultMoment::Running; "killed while the call runs")]
#[test_case(EntryFault::Stop, FaultMoment::Claimed; "stopped after its claim")]
#[test_case(EntryFault::Stop, FaultMoment::Running; "stopped while the call runs")]
#[tokio::test(flavor = "multi_thread")]
async fn key_runs_once_when_its_entry_fails(fault: EntryFault, moment: FaultMoment) {
    bounded(async {
        let mut setup = OrderSetup::start().await;
        let first = setup.start_order(moment, LONG_DEADLINE).await;
        match fault {
            EntryFault::Kill => setup.first_entry.process.kill(),
            EntryFault::Stop => setup.first_entry.process.stop().await,
        }
        setup.cluster.log.set_delay(time::Duration::ZERO);
        let second = tokio::spawn(caller::post_order(
            setup.second_entry.address,
            KEY,
            LONG_DEADLINE,
        ));
        setup.wait_running().await;
        setup.cluster.orders.hold_responses(false);
        let second = second.await.unwrap();
        assert_eq!(second.body, stored_response(KEY), "{second:?}");
        if fault == EntryFault::Stop {
            pause(AFTER_SESSION_TIMEOUT).await;
            setup.first_entry.process.signal(Signal::CONT);
            let first = first.await.unwrap();
            assert!(is_consistent(&first, setup.calls()), "{first:?}");
            pause(LATE_RUN_WAIT).await;
        }
        assert_eq!(setup.calls(), 1);
    })
    .await;
}

// Guards against two runs when two entries claim a key at the same time and the log or one of the
// entries fails (I5).
#[test_case(0, None; "no fault")]
#[test_case(1, None; "one append reply lost")]
#[test_case(2, None; "two append replies lost")]
#[test_case(0, Some(EntryFault::Kill); "one entry killed")]
#[test_case(2, Some(EntryFault::Kill); "append replies lost and one entry killed")]
#[test_case(0, Some(EntryFault::Stop); "one entry stopped")]
#[tokio::test(flavor = "multi_thread")]
async fn key_at_two_entries_runs_once(lost_replies: u32, fault: Option<EntryFault>) {
    bounded(async {
        let mut setup = OrderSetup::start().await;
        let before = setup.cluster.log.appended_records();
        setup.cluster.log.set_delay(LOG_DELAY);
        setup.cluster.log.lose_replies(lost_replies);
        let first = tokio::spawn(caller::post_order(
            setup.first_entry.address,
            KEY,
            LONG_DEADLINE,
        ));
        let second = tokio::spawn(caller::post_order(
            setup.second_entry.address,
            KEY,
            LONG_DEADLINE,
        ));
        until("a claim is in the log", || async {
            setup.cluster.log.appended_records() > before
        })
        .await;
        match fault {
            Some(EntryFault::Kill) => setup.first_entry.process.kill(),
            Some(EntryFault::Stop) => setup.first_entry.process.stop().await,
            None => {}
        }
        setup.cluster.log.set_delay(time::Duration::ZERO);
        let second = second.await.unwrap();
        if fault.is_some() {
            assert_eq!(second.body, stored_response(KEY), "{second:?}");
        }
        if fault == Some(EntryFault::Stop) {
            pause(AFTER_SESSION_TIMEOUT).await;
            setup.first_entry.process.signal(Signal::CONT);
        }
        let first = first.await.unwrap();
        pause(LATE_RUN_WAIT).await;
        assert_eq!(setup.calls(), 1);
        assert!(is_consistent(&first, setup.calls()), "{first:?}");
    })
    .await;
}

// Guards against a caller that gets no response although the request of its key ran and no process
// failed (I3).
#[test_case(0; "no append reply lost")]
#[test_case(1; "one append reply lost")]
#[test_case(2; "two append replies lost")]
#[tokio::test(flavor = "multi_thread")]
async fn both_callers_of_a_key_get_its_answer(lost_replies: u32) {
    bounded(async {
        let setup = OrderSetup::start().await;
        setup.cluster.log.set_delay(LOG_DELAY);
        setup.cluster.log.lose_replies(lost_replies);
        let calls = [&setup.first_entry, &setup.second_entry]
            .map(|entry| tokio::spawn(caller::post_order(entry.address, KEY, LONG_DEADLINE)));
        for call in calls {
            let response = call.await.unwrap();
            assert_eq!(response.body, stored_response(KEY), "{response:?}");
        }
    })
    .await;
}

// Guards against a key that runs again at a new agent incarnation, or that is reported as not run
// although the lost one called the service (I4, I5).
#[test_case(FaultMoment::Claimed, false; "agent replaced after the claim")]
#[test_case(FaultMoment::Running, false; "agent replaced while the call runs")]
#[test_case(FaultMoment::Running, true; "agent replaced and entry killed while the call runs")]
#[tokio::test(flavor = "multi_thread")]
async fn key_of_a_lost_agent_never_runs_again(moment: FaultMoment, is_entry_killed: bool) {
    bounded(async {
        let mut setup = OrderSetup::start().await;
        let first = setup.start_order(moment, 8_000).await;
        if is_entry_killed {
            setup.first_entry.process.kill();
        }
        setup.replace_agent().await;
        setup.cluster.log.set_delay(time::Duration::ZERO);
        let second = caller::post_order(setup.second_entry.address, KEY, 8_000).await;
        let first = first.await.unwrap();
        setup.cluster.orders.hold_responses(false);
        pause(LATE_RUN_WAIT).await;
        let calls = setup.calls();
        for response in [&first, &second] {
            assert!(
                is_consistent(response, calls),
                "{calls} calls, {response:?}"
            );
        }
        let third = caller::post_order(setup.second_entry.address, KEY, 8_000).await;
        assert!(is_consistent(&third, setup.calls()), "{third:?}");
        assert_eq!(setup.calls(), u64::from(moment == FaultMoment::Running));
    })
    .await;
}

/// Fault that keeps the only entry from running its claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ClaimFault {
    LogDown,
    /// The claim is in the log, its reply is lost, then the log is down.
    LogDownAfterClaim,
    /// The claim is in the log, then the entry is stopped past its session and its deadline.
    Stopped,
    /// As before, and the log is down when the entry continues.
    StoppedAndLogDown,
}

// Guards against a request that runs after its caller received `not_run` (I4), and against a
// key that stays blocked after the fault.
#[test_case(ClaimFault::LogDown; "log down")]
#[test_case(ClaimFault::LogDownAfterClaim; "log down after the claim")]
#[test_case(ClaimFault::Stopped; "entry stopped after the claim")]
#[test_case(ClaimFault::StoppedAndLogDown; "entry stopped after the claim and log down")]
#[tokio::test(flavor = "multi_thread")]
async fn request_reported_not_run_never_runs(fault: ClaimFault) {
    bounded(async {
        let setup = OrderSetup::start().await;
        let log = &setup.cluster.log;
        let outage = time::Duration::from_mins(1);
        let call = if fault == ClaimFault::LogDown {
            log.set_down(outage);
            tokio::spawn(caller::post_order(setup.first_entry.address, KEY, 2_000))
        } else {
            setup.start_order(FaultMoment::Claimed, 2_000).await
        };
        let is_stopped = matches!(fault, ClaimFault::Stopped | ClaimFault::StoppedAndLogDown);
        if is_stopped {
            setup.first_entry.process.stop().await;
            pause(AFTER_SESSION_TIMEOUT).await;
        }
        if fault != ClaimFault::Stopped {
            log.set_down(outage);
        }
        log.set_delay(time::Duration::ZERO);
        setup.first_entry.process.signal(Signal::CONT);
        let response = call.await.unwrap();
        let outcome = response.outcome();
        // After the append only the log tells whether another entry's claim runs the key, so the
        // response is `unknown` while it is down. A continued entry may also have no session yet to
        // insert its tombstone.
        let allowed: &[&str] = match fault {
            ClaimFault::LogDown => &["not_run"],
            ClaimFault::LogDownAfterClaim => &["unknown"],
            ClaimFault::Stopped | ClaimFault::StoppedAndLogDown => &["not_run", "unknown"],
        };
        let is_allowed = outcome.is_some_and(|outcome| allowed.contains(&outcome.as_str()));
        assert!(is_allowed, "{response:?}");
        log.set_down(time::Duration::ZERO);
        pause(LATE_RUN_WAIT).await;
        assert!(is_consistent(&response, setup.calls()), "{response:?}");
        let again = caller::post_order(setup.second_entry.address, KEY, LONG_DEADLINE).await;
        assert_eq!(again.body, stored_response(KEY), "{again:?}");
        assert_eq!(setup.calls(), 1);
    })
    .await;
}

// Guards against a dispatch that a stopped agent finds in its socket when it continues, after the
// caller received `not_run` or the call went to another agent (I4, I5).
#[test_case(true; "with a key")]
#[test_case(false; "without a key")]
#[tokio::test(flavor = "multi_thread")]
async fn dispatch_to_a_stopped_agent_runs_at_most_once(has_key: bool) {
    bounded(async {
        let setup = OrderSetup::start().await;
        setup.agent.process.stop().await;
        let key = if has_key {
            "idempotency-key: k\r\n"
        } else {
            ""
        };
        let headers = format!("{key}x-deadline-ms: 3000\r\n");
        let entry = setup.first_entry.address;
        let call = caller::send(entry, "POST", "/services/orders/new", &headers, KEY);
        let response = call.await;
        assert!(response.outcome().is_some(), "{response:?}");
        setup.agent.process.signal(Signal::CONT);
        pause(LATE_RUN_WAIT).await;
        let calls = setup.calls();
        assert!(
            is_consistent(&response, calls),
            "{calls} calls, {response:?}"
        );
    })
    .await;
}

// Guards against a caller that waits forever for an agent that was killed and never restarts.
#[tokio::test(flavor = "multi_thread")]
async fn call_of_an_agent_that_never_returns_is_unknown() {
    bounded(async {
        let mut setup = OrderSetup::start().await;
        // Longer than the session timeout, after which the entry considers the agent lost.
        let first = setup.start_order(FaultMoment::Running, 15_000).await;
        setup.agent.process.kill();
        let first = first.await.unwrap();
        assert_eq!(first.outcome().as_deref(), Some("unknown"), "{first:?}");
        assert_eq!(setup.calls(), 1);
    })
    .await;
}

// Guards against a dispatch that reaches the agent after its caller received `not_run` (I4).
#[test_case(true; "with a key")]
#[test_case(false; "without a key")]
#[tokio::test(flavor = "multi_thread")]
async fn late_dispatch_of_a_request_reported_not_run_is_refused(has_key: bool) {
    bounded(async {
        let setup = OrderSetup::start().await;
        let relay = TcpRelay::start(setup.agent.address).await;
        let entry = setup.cluster.start_entry(&[relay.address()]);
        cluster::wait_ready(entry.address, 1).await;
        cluster::wait_version(entry.address, 1).await;
        assert!(relay.inject(LinkFault::Paused) > 0);
        let key = if has_key {
            "idempotency-key: k\r\n"
        } else {
            ""
        };
        let headers = format!("{key}x-deadline-ms: 1000\r\n");
        let path = "/services/orders/new";
        let response = caller::send(entry.address, "POST", path, &headers, KEY).await;
        assert_eq!(
            response.outcome().as_deref(),
            Some("not_run"),
            "{response:?}"
        );
        relay.resume();
        pause(LATE_RUN_WAIT).await;
        assert_eq!(setup.calls(), 0);
    })
    .await;
}
