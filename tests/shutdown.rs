//! Shutdown by SIGTERM while streams are open.

#[allow(dead_code)]
mod support;

use std::net;

use endpoints::stand_in::StandInEngine;
use futures::future;
use rustix::process::Signal;
use support::{
    bounded, caller,
    cluster::{self, ClusterNode, TestCluster},
    pause, process,
    relay::{LinkFault, TcpRelay},
    until,
};
use test_case::test_case;
use tokio::task;

/// Tokens of a long response: 6 s at 20 ms each.
const LONG_TOKENS: u32 = 300;
const STEP_MILLIS: u64 = 20;
const STREAM_COUNT: usize = 4;
/// Time after which a draining agent gets no new work, in seconds (I6).
const DRAIN_NOTICE_SECONDS: u64 = 3;

fn start_streams(entry: net::SocketAddr) -> Vec<task::JoinHandle<caller::TestResponse>> {
    let calls = (0..STREAM_COUNT).map(|index| {
        tokio::spawn(async move {
            caller::stream_completion(entry, "notes@1", &prompt(index), LONG_TOKENS).await
        })
    });
    calls.collect()
}

fn prompt(index: usize) -> String {
    format!("prompt {index}")
}

async fn assert_complete(calls: Vec<task::JoinHandle<caller::TestResponse>>) {
    let responses = future::join_all(calls).await;
    for (index, response) in responses.into_iter().enumerate() {
        let response = response.unwrap();
        let is_complete = response.is_complete("notes@1", &prompt(index), LONG_TOKENS);
        assert!(is_complete, "{response:?}");
    }
}

async fn wait_generations(engine: &StandInEngine, count: usize) {
    until("the engine generates", || async {
        engine.counts().generations >= count as u64
    })
    .await;
}

/// Which processes get SIGTERM while the streams are open.
#[derive(Clone, Copy, Debug)]
struct TerminatedProcesses {
    entry: bool,
    agent: bool,
    /// Fault of the connection between them right after the signal.
    fault: Option<LinkFault>,
}

// Guards against a shutdown that interrupts a stream, never ends, or ends with an error (I7).
#[test_case(TerminatedProcesses { entry: true, agent: false, fault: None }; "entry")]
#[test_case(TerminatedProcesses { entry: false, agent: true, fault: None }; "agent")]
#[test_case(TerminatedProcesses { entry: true, agent: true, fault: None }; "entry and agent")]
#[test_case(TerminatedProcesses { entry: false, agent: true, fault: Some(LinkFault::Closed) }; "agent with its connection closed")]
#[test_case(TerminatedProcesses { entry: true, agent: true, fault: Some(LinkFault::Stalled) }; "entry and agent with a stalled connection")]
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_finishes_open_streams(terminated: TerminatedProcesses) {
    bounded(async {
        let cluster = TestCluster::start().await;
        let engine = cluster::start_engine(STEP_MILLIS).await;
        let mut agent = cluster.start_agent(process::free_address(), &[engine.address()]);
        let relay = TcpRelay::start(agent.address).await;
        let mut entry = cluster.start_entry_without_configuration(&[relay.address()]);
        cluster::wait_ready(entry.address, 1).await;
        let calls = start_streams(entry.address);
        wait_generations(&engine, STREAM_COUNT).await;
        for (node, is_chosen) in [(&entry, terminated.entry), (&agent, terminated.agent)] {
            if is_chosen {
                node.process.signal(Signal::TERM);
            }
        }
        if let Some(fault) = terminated.fault {
            assert!(relay.inject(fault) > 0);
        }
        assert_complete(calls).await;
        for (node, is_chosen) in [
            (&mut entry, terminated.entry),
            (&mut agent, terminated.agent),
        ] {
            if is_chosen {
                assert_eq!(node.process.exit_code().await, Some(0));
            }
        }
        assert_eq!(engine.counts().generations, STREAM_COUNT as u64);
    })
    .await;
}

/// Adapters that are requested while an agent drains.
const MODEL_COUNT: usize = 4;

fn models() -> Vec<String> {
    (0..MODEL_COUNT)
        .map(|index| format!("short-{index}@1"))
        .collect()
}

/// Two agents with one engine each, and an entry that finds them in the instance list.
struct ListedCluster {
    cluster: TestCluster,
    engines: [StandInEngine; 2],
    agents: [ClusterNode; 2],
    entry: ClusterNode,
}

impl ListedCluster {
    async fn start() -> Self {
        let cluster = TestCluster::start().await;
        let engines = [
            cluster::start_engine(STEP_MILLIS).await,
            cluster::start_engine(STEP_MILLIS).await,
        ];
        let agents = [&engines[0], &engines[1]]
            .map(|engine| cluster.start_agent(process::free_address(), &[engine.address()]));
        cluster.list_agents(&[agents[0].address, agents[1].address]);
        let entry = cluster.start_entry_with_instance_list();
        cluster::wait_ready(entry.address, 2).await;
        Self {
            cluster,
            engines,
            agents,
            entry,
        }
    }

    fn generations(&self, index: usize) -> u64 {
        self.engines[index].counts().generations
    }
}

// Guards against new work for a draining agent that the instance list still reports as live (I6), from
// its own entry and from one that starts afterwards, and against the loss of its open streams (I7).
#[test_case(false; "list up")]
#[test_case(true; "list down")]
#[tokio::test(flavor = "multi_thread")]
async fn draining_agent_gets_no_new_work(is_list_down: bool) {
    bounded(async {
        let mut setup = ListedCluster::start().await;
        // Both agents have some of the adapters loaded, so that work would go to either.
        for model in models() {
            let response = caller::stream_completion(setup.entry.address, &model, "short", 1).await;
            assert!(response.is_complete(&model, "short", 1), "{response:?}");
        }
        let first = [setup.generations(0), setup.generations(1)];
        assert!(first[0] > 0 && first[1] > 0, "{first:?}");
        let calls = start_streams(setup.entry.address);
        until("all streams run", || async {
            setup.generations(0) + setup.generations(1) == first[0] + first[1] + STREAM_COUNT as u64
        })
        .await;
        let streams = [0, 1].map(|index| setup.generations(index) - first[index]);
        let draining = usize::from(streams[1] > streams[0]);
        setup.agents[draining].process.signal(Signal::TERM);
        if is_list_down {
            let outage = std::time::Duration::from_mins(1);
            setup.cluster.instances.set_down(outage);
        }
        pause(DRAIN_NOTICE_SECONDS).await;
        let before = [setup.generations(0), setup.generations(1)];
        let mut entries = vec![setup.entry.address];
        let late = (!is_list_down).then(|| setup.cluster.start_entry_with_instance_list());
        if let Some(late) = &late {
            until("the late entry serves requests", || async {
                let response = caller::stream_completion(late.address, "notes@1", "probe", 1).await;
                response.is_complete("notes@1", "probe", 1)
            })
            .await;
            entries.push(late.address);
        }
        for model in models() {
            for entry in &entries {
                let response = caller::stream_completion(*entry, &model, "short", 1).await;
                assert!(response.is_complete(&model, "short", 1), "{response:?}");
            }
        }
        let is_open = calls.iter().any(|call| !call.is_finished());
        assert!(is_open, "no stream was open while work was refused");
        assert_eq!(setup.generations(draining), before[draining]);
        assert!(setup.generations(1 - draining) >= before[1 - draining] + MODEL_COUNT as u64);
        assert_complete(calls).await;
        assert_eq!(setup.agents[draining].process.exit_code().await, Some(0));
    })
    .await;
}
