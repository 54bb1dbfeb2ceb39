//! Complete responses of the right adapter version while connections fail, versions are replaced
//! and adapters are evicted.

#[allow(dead_code)]
mod support;

use std::time;

use endpoints::stand_in::StandInEngine;
use futures::future;
use support::{
    bounded, caller,
    cluster::{self, ClusterNode, TestCluster},
    process,
    relay::{LinkFault, TcpRelay},
    until,
};
use test_case::test_case;

/// Tokens of a long response: 2 s at 10 ms each.
const LONG_TOKENS: u32 = 200;
const STEP_MILLIS: u64 = 10;

/// Entry, agent and engine with a relay on both connections.
struct RelayedCluster {
    cluster: TestCluster,
    engine: StandInEngine,
    to_engine: TcpRelay,
    to_agent: TcpRelay,
    _agent: ClusterNode,
    entry: ClusterNode,
}

/// Which connections fail.
#[derive(Clone, Copy, Debug)]
struct LinkFaults {
    to_engine: Option<LinkFault>,
    to_agent: Option<LinkFault>,
    is_replaced: bool,
}

impl RelayedCluster {
    async fn start() -> Self {
        let cluster = TestCluster::start().await;
        let engine = cluster::start_engine(STEP_MILLIS).await;
        let to_engine = TcpRelay::start(engine.address()).await;
        let agent = cluster.start_agent(process::free_address(), &[to_engine.address()]);
        let to_agent = TcpRelay::start(agent.address).await;
        let entry = cluster.start_entry(&[to_agent.address()]);
        cluster.configure().await;
        cluster::wait_ready(entry.address, 1).await;
        cluster::wait_version(entry.address, 1).await;
        Self {
            cluster,
            engine,
            to_engine,
            to_agent,
            _agent: agent,
            entry,
        }
    }

    async fn wait_generations(&self, count: u64) {
        until("the engine generates", || async {
            self.engine.counts().generations == count
        })
        .await;
    }
}

const NO_FAULT: LinkFaults = LinkFaults {
    to_engine: None,
    to_agent: None,
    is_replaced: false,
};

// Guards against responses with missing, repeated or foreign tokens when a connection is closed or
// stalls halfway (I3), against a response that changes its version when a patch replaces it (I1), and
// against a second generation of a request whose stream only lost its connection.
#[test_case(LinkFaults { to_engine: Some(LinkFault::Closed), ..NO_FAULT }; "engine closed")]
#[test_case(LinkFaults { to_engine: Some(LinkFault::Stalled), ..NO_FAULT }; "engine stalled")]
#[test_case(LinkFaults { to_agent: Some(LinkFault::Closed), ..NO_FAULT }; "agent closed")]
#[test_case(LinkFaults { to_agent: Some(LinkFault::Stalled), ..NO_FAULT }; "agent stalled")]
#[test_case(LinkFaults { to_engine: Some(LinkFault::Stalled), to_agent: Some(LinkFault::Closed), is_replaced: true }; "engine stalled, agent closed, version replaced")]
#[test_case(LinkFaults { to_engine: Some(LinkFault::Closed), to_agent: Some(LinkFault::Stalled), is_replaced: true }; "engine closed, agent stalled, version replaced")]
#[test_case(LinkFaults { is_replaced: true, ..NO_FAULT }; "version replaced")]
#[tokio::test(flavor = "multi_thread")]
async fn response_stays_complete_on_its_version(faults: LinkFaults) {
    bounded(async {
        let setup = RelayedCluster::start().await;
        let entry = setup.entry.address;
        let prompts: Vec<String> = (0..4).map(|index| format!("prompt {index}")).collect();
        let calls = prompts.iter().map(|prompt| {
            let prompt = prompt.clone();
            tokio::spawn(async move {
                caller::stream_completion(entry, "notes", &prompt, LONG_TOKENS).await
            })
        });
        let calls: Vec<_> = calls.collect();
        setup.wait_generations(4).await;
        // Lets some tokens arrive.
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        if let Some(fault) = faults.to_engine {
            assert!(setup.to_engine.inject(fault) > 0);
        }
        if let Some(fault) = faults.to_agent {
            assert!(setup.to_agent.inject(fault) > 0);
        }
        if faults.is_replaced {
            let output = setup.cluster.publish(1, cluster::SECOND_PATCH).await;
            assert_eq!(output.code, Some(0), "{output:?}");
        }
        let responses = future::join_all(calls).await;
        for (prompt, response) in prompts.iter().zip(responses) {
            let response = response.unwrap();
            assert!(
                response.is_complete("notes@1", prompt, LONG_TOKENS),
                "{response:?}"
            );
        }
        assert_eq!(setup.engine.counts().generations, 4);
        if faults.is_replaced {
            cluster::wait_version(entry, 2).await;
            cluster::wait_ready(entry, 1).await;
            // The agent may still read the engine's status from the stalled connection.
            until("version 2 is served", || async move {
                let response = caller::stream_completion(entry, "notes", "again", 20).await;
                let is_complete = response.is_complete("notes@2", "again", 20);
                let is_refused = response.body.contains("\"no_endpoint\"");
                assert!(is_complete || is_refused, "{response:?}");
                is_complete
            })
            .await;
            let response = caller::stream_completion(entry, "notes@1", "again", 20).await;
            assert_eq!(
                response.outcome().as_deref(),
                Some("not_run"),
                "{response:?}"
            );
        }
    })
    .await;
}

// Guards against a response that mixes two versions, or names one version and runs on the other,
// while patches are applied between requests (I1).
#[tokio::test(flavor = "multi_thread")]
async fn every_response_during_a_patch_has_one_version() {
    bounded(async {
        let setup = RelayedCluster::start().await;
        let entry = setup.entry.address;
        let callers = (0..4).map(|number| async move {
            let mut versions = Vec::new();
            for index in 0..40 {
                let prompt = format!("caller {number} request {index}");
                let response = caller::stream_completion(entry, "notes", &prompt, 5).await;
                let is_first = response.is_complete("notes@1", &prompt, 5);
                let is_second = response.is_complete("notes@2", &prompt, 5);
                assert!(is_first || is_second, "{response:?}");
                versions.push(is_second);
            }
            assert!(versions.is_sorted(), "the version went back: {versions:?}");
            versions
        });
        let publish = setup.cluster.publish(1, cluster::SECOND_PATCH);
        let (versions, output) = future::join(future::join_all(callers), publish).await;
        assert_eq!(output.code, Some(0), "{output:?}");
        let seen: Vec<bool> = versions.into_iter().flatten().collect();
        assert!(seen.contains(&false) && seen.contains(&true), "one version");
    })
    .await;
}

// Guards against the eviction of an adapter that serves a request (I2), also when the connection to
// the engine fails meanwhile.
#[test_case(None; "no fault")]
#[test_case(Some(LinkFault::Closed); "engine closed")]
#[test_case(Some(LinkFault::Stalled); "engine stalled")]
#[tokio::test(flavor = "multi_thread")]
async fn adapter_in_use_is_never_unloaded(fault: Option<LinkFault>) {
    bounded(async {
        let setup = RelayedCluster::start().await;
        let entry = setup
            .cluster
            .start_entry_without_configuration(&[setup.to_agent.address()]);
        cluster::wait_ready(entry.address, 1).await;
        let entry = entry.address;
        // A command on a stalled connection occupies its slot for the engine client's command timeout
        // of 30 s, so that the other callers may be refused.
        let is_blocked = fault == Some(LinkFault::Stalled);
        let deadline = if is_blocked { 6_000 } else { 30_000 };
        // Two of three slots are in use; every other adapter goes through the third.
        let long: Vec<_> = ["long-a@1", "long-b@1"]
            .map(|model| {
                tokio::spawn(caller::stream_completion(
                    entry,
                    model,
                    "long",
                    3 * LONG_TOKENS,
                ))
            })
            .into();
        setup.wait_generations(2).await;
        let churn = (0..8).map(|index| async move {
            let model = format!("churn-{index}@1");
            let response =
                caller::stream_completion_within(entry, &model, "short", 10, deadline).await;
            let is_refused = response.outcome().as_deref() == Some("not_run");
            let is_complete = response.is_complete(&model, "short", 10);
            assert!(is_complete || is_blocked && is_refused, "{response:?}");
        });
        let fail = async {
            until("adapters are evicted", || async {
                setup.engine.counts().unloads >= 2
            })
            .await;
            if let Some(fault) = fault {
                setup.to_engine.inject(fault);
            }
        };
        future::join(future::join_all(churn), fail).await;
        for (model, call) in ["long-a@1", "long-b@1"].into_iter().zip(long) {
            let response = call.await.unwrap();
            let is_complete = response.is_complete(model, "long", 3 * LONG_TOKENS);
            assert!(is_complete, "{response:?}");
        }
        let counts = setup.engine.counts();
        let least = if is_blocked { 2 } else { 6 };
        assert!(counts.unloads >= least, "{counts:?}");
        assert_eq!(counts.unloads_in_use, 0, "{counts:?}");
    })
    .await;
}
