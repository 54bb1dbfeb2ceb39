//! Two entries that use one request at the same time.

use std::{sync::Barrier, thread};

use agent::{clock::AgentClock, requests::RequestRegistry, streams::OutputStream};
use decisions::ids;
use peers::message::CancelReply;

const ROUNDS: u64 = 20_000;

// Guards against a request that is told to be finished while it is being admitted: the second caller
// of an idempotency key would get an unknown outcome in place of the response.
#[test]
fn request_that_is_being_admitted_is_not_finished() {
    let clock = AgentClock::start();
    let registry = RequestRegistry::new(clock, 1_000);
    let sessions = registry.sessions();
    let first = sessions.open(ids::Incarnation(1), clock.now());
    let second = sessions.open(ids::Incarnation(2), clock.now());
    let start = Barrier::new(2);
    let request = |sequence| ids::RequestId {
        entry: ids::Incarnation(1),
        sequence,
    };
    thread::scope(|scope| {
        scope.spawn(|| {
            for sequence in 0..ROUNDS {
                let stream = OutputStream::new(request(sequence), first.id(), true).into();
                start.wait();
                registry.admit(&stream, &first);
            }
        });
        for sequence in 0..ROUNDS {
            start.wait();
            let reply = registry.attach(&second, request(sequence));
            let is_open = matches!(reply, CancelReply::NotRun | CancelReply::Running);
            assert!(is_open, "{reply:?} in round {sequence}");
        }
    });
}
