//! Shutdown by SIGTERM while streams are open.

#[allow(dead_code)]
mod support;

use std::net;

use endpoints::stand_in::StandInEngine;
use futures::future;
use rustix::process::Signal;
use support::{
    bounded, caller,
    cluster::{self, Cluster, Node},
    pause, process,
    relay::{LinkFault, Relay},
    until,
};
use test_case::test_case;
use tokio::task;

/// Tokens of a long answer: 6 s at 20 ms each.
const LONG_TOKENS: u32 = 300;
const STEP_MILLIS: u64 = 20;
const STREAMS: usize = 4;
/// Time after which a leaving agent gets no new work, in seconds (I6).
const LEAVE_LIMIT: u64 = 3;

fn start_streams(entry: net::SocketAddr) -> Vec<task::JoinHandle<caller::Answer>> {
    let calls = (0..STREAMS).map(|index| {
        tokio::spawn(async move {
            caller::complete(entry, "notes@1", &prompt(index), LONG_TOKENS).await
        })
    });
    calls.collect()
}

fn prompt(index: usize) -> String {
    format!("prompt {index}")
}

async fn assert_whole(calls: Vec<task::JoinHandle<caller::Answer>>) {
    let answers = future::join_all(calls).await;
    for (index, answer) in answers.into_iter().enumerate() {
        let answer = answer.unwrap();
        let is_whole = answer.is_whole("notes@1", &prompt(index), LONG_TOKENS);
        assert!(is_whole, "{answer:?}");
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
struct Terminated {
    entry: bool,
    agent: bool,
    /// Fault of the connection between them right after the signal.
    fault: Option<LinkFault>,
}

// Guards against a shutdown that interrupts a stream, never ends, or ends with an error (I7).
#[test_case(Terminated { entry: true, agent: false, fault: None }; "entry")]
#[test_case(Terminated { entry: false, agent: true, fault: None }; "agent")]
#[test_case(Terminated { entry: true, agent: true, fault: None }; "entry and agent")]
#[test_case(Terminated { entry: false, agent: true, fault: Some(LinkFault::Cut) }; "agent with its connection cut")]
#[test_case(Terminated { entry: true, agent: true, fault: Some(LinkFault::Silent) }; "entry and agent with a silent connection")]
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_finishes_open_streams(terminated: Terminated) {
    bounded(async {
        let cluster = Cluster::start().await;
        let engine = cluster::engine(STEP_MILLIS).await;
        let mut agent = cluster.agent(process::free_address(), &[engine.address()]);
        let relay = Relay::start(agent.address).await;
        let mut entry = cluster.open_entry(&[relay.address()]);
        cluster::wait_ready(entry.address, 1).await;
        let calls = start_streams(entry.address);
        wait_generations(&engine, STREAMS).await;
        for (node, is_chosen) in [(&entry, terminated.entry), (&agent, terminated.agent)] {
            if is_chosen {
                node.process.signal(Signal::TERM);
            }
        }
        if let Some(fault) = terminated.fault {
            assert!(relay.fail(fault) > 0);
        }
        assert_whole(calls).await;
        for (node, is_chosen) in [
            (&mut entry, terminated.entry),
            (&mut agent, terminated.agent),
        ] {
            if is_chosen {
                assert_eq!(node.process.exit_code().await, Some(0));
            }
        }
        assert_eq!(engine.counts().generations, STREAMS as u64);
    })
    .await;
}

/// Adapters that are asked for while an agent leaves.
const MODELS: usize = 4;

fn models() -> Vec<String> {
    (0..MODELS)
        .map(|index| format!("short-{index}@1"))
        .collect()
}

/// Two agents with one engine each, and an entry that finds them in the instance list.
struct ListedPath {
    cluster: Cluster,
    engines: [StandInEngine; 2],
    agents: [Node; 2],
    entry: Node,
}

impl ListedPath {
    async fn start() -> Self {
        let cluster = Cluster::start().await;
        let engines = [
            cluster::engine(STEP_MILLIS).await,
            cluster::engine(STEP_MILLIS).await,
        ];
        let agents = [&engines[0], &engines[1]]
            .map(|engine| cluster.agent(process::free_address(), &[engine.address()]));
        cluster.list(&[agents[0].address, agents[1].address]);
        let entry = cluster.listing_entry();
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

// Guards against new work for a leaving agent that the instance list still reports as live (I6), for
// its own entry and for one that starts afterwards, and against the loss of its open streams (I7).
#[test_case(false; "list up")]
#[test_case(true; "list down")]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_agent_gets_no_new_work(is_list_down: bool) {
    bounded(async {
        let mut path = ListedPath::start().await;
        // Both agents hold some of the adapters, so that work would go to either.
        for model in models() {
            let answer = caller::complete(path.entry.address, &model, "short", 1).await;
            assert!(answer.is_whole(&model, "short", 1), "{answer:?}");
        }
        let first = [path.generations(0), path.generations(1)];
        assert!(first[0] > 0 && first[1] > 0, "{first:?}");
        let calls = start_streams(path.entry.address);
        until("all streams run", || async {
            path.generations(0) + path.generations(1) == first[0] + first[1] + STREAMS as u64
        })
        .await;
        let streams = [0, 1].map(|index| path.generations(index) - first[index]);
        let leaving = usize::from(streams[1] > streams[0]);
        path.agents[leaving].process.signal(Signal::TERM);
        if is_list_down {
            let outage = std::time::Duration::from_mins(1);
            path.cluster.instances.set_down(outage);
        }
        pause(LEAVE_LIMIT).await;
        let before = [path.generations(0), path.generations(1)];
        let mut entries = vec![path.entry.address];
        let late = (!is_list_down).then(|| path.cluster.listing_entry());
        if let Some(late) = &late {
            until("the late entry serves", || async {
                let answer = caller::complete(late.address, "notes@1", "probe", 1).await;
                answer.is_whole("notes@1", "probe", 1)
            })
            .await;
            entries.push(late.address);
        }
        for model in models() {
            for entry in &entries {
                let answer = caller::complete(*entry, &model, "short", 1).await;
                assert!(answer.is_whole(&model, "short", 1), "{answer:?}");
            }
        }
        let is_open = calls.iter().any(|call| !call.is_finished());
        assert!(is_open, "no stream was open while work was refused");
        assert_eq!(path.generations(leaving), before[leaving]);
        assert!(path.generations(1 - leaving) >= before[1 - leaving] + MODELS as u64);
        assert_whole(calls).await;
        assert_eq!(path.agents[leaving].process.exit_code().await, Some(0));
    })
    .await;
}
