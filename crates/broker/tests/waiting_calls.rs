//! Calls that wait for a permit in the state of an engine.

use broker::{
    engine_state::{EngineState, WaitingPermit},
    message::EngineIdentity,
};
use decisions::{permits::PermitId, slot_broker::BrokerLimits, units::Timestamp};
use tokio::sync::oneshot;

const ENTRY: u64 = 7;

// Guards against a broker that keeps an entry for each caller that left while it waited.
#[test]
fn released_calls_are_forgotten() {
    let mut state = EngineState::new(BrokerLimits {
        adapter_slots: 2,
        parallel_loads: 1,
        batch_slots: 8,
        unstarted: 2,
    });
    for number in 0..100 {
        let (decision, _) = oneshot::channel();
        state.waiting.push(WaitingPermit {
            id: PermitId {
                entry: ENTRY,
                number,
            },
            engine: EngineIdentity {
                id: "engine-0".to_owned(),
                incarnation: 1,
            },
            decision,
        });
    }
    let released: Vec<u64> = (0..99).collect();
    state.release(ENTRY, &released, Timestamp(0));
    let left: Vec<u64> = state
        .waiting
        .iter()
        .map(|permit| permit.id.number)
        .collect();
    assert_eq!(left, [99]);
}
