//! Endpoint selection through the trait `RoutingPolicy`, under virtual time.

use std::time;

use decisions::routing::RoutingPolicy;
use decisions::{ids, load_times, routing, units, wait_routing};

const ADAPTER: ids::AdapterId = ids::AdapterId(0x5555_0000_0000_0000);
const START: units::Timestamp = units::Timestamp(1_000_000);

fn endpoint(number: u16) -> ids::EndpointId {
    ids::EndpointId {
        agent: ids::Incarnation(u64::from(number) + 1),
        replica: 0,
    }
}

fn request_id(sequence: u64) -> ids::RequestId {
    ids::RequestId {
        entry: ids::Incarnation(9),
        sequence,
    }
}

fn endpoint_report(loaded: &[ids::AdapterId]) -> routing::EndpointReport {
    routing::EndpointReport {
        as_of: START,
        base_model: "base".to_owned(),
        ready: true,
        adapter_slots: 8,
        batch_limit: 16,
        loaded: loaded.to_vec(),
        ..routing::EndpointReport::default()
    }
}

fn request(exclude: &[ids::EndpointId]) -> routing::RoutingRequest<'_> {
    routing::RoutingRequest {
        base_model: "base",
        adapter: ADAPTER,
        priority: units::Priority::Normal,
        repeatable: true,
        exclude,
    }
}

fn add(policy: &mut wait_routing::WaitRouting, number: u16, report: &routing::EndpointReport) {
    let location = routing::EndpointLocation {
        endpoint: endpoint(number),
        distance: time::Duration::from_millis(1),
    };
    policy.endpoint_added(&location, START);
    policy.report(endpoint(number), report, START);
}

/// Policy with 20 endpoints of which the first `holders` hold the adapter.
fn policy(holders: u16) -> wait_routing::WaitRouting {
    let mut policy = wait_routing::WaitRouting::new(load_times::StoreLimits::default(), 7);
    for number in 0..20 {
        let loaded: &[_] = if number < holders { &[ADAPTER] } else { &[] };
        add(&mut policy, number, &endpoint_report(loaded));
    }
    policy
}

fn send(
    policy: &mut wait_routing::WaitRouting,
    sequence: u64,
    now: units::Timestamp,
) -> routing::Choice {
    let choice = policy.choose(&request(&[]), now).unwrap();
    policy.dispatched(request_id(sequence), ADAPTER, &choice, now);
    choice
}

// Guards against loads for an adapter that is resident elsewhere, and against batches of one
// adapter that are spread over all its holders.
#[test]
fn light_load_stays_on_one_holder() {
    let mut policy = policy(3);
    let first = send(&mut policy, 0, START);
    assert_eq!(first.adapter_state, routing::AdapterState::Loaded);
    for sequence in 1..12 {
        assert_eq!(send(&mut policy, sequence, START).endpoint, first.endpoint);
    }
}

// Guards against a hot adapter that waits at its holder although a load would be quicker, and
// against a load that costs more than the wait.
#[test]
fn holder_is_left_when_a_load_is_quicker() {
    let mut policy = policy(1);
    let mut busy = endpoint_report(&[ADAPTER]);
    busy.waits = [time::Duration::from_millis(150); 3];
    policy.report(endpoint(0), &busy, START);
    assert_eq!(
        policy.choose(&request(&[]), START).unwrap().endpoint,
        endpoint(0)
    );
    busy.waits = [time::Duration::from_millis(600); 3];
    policy.report(endpoint(0), &busy, START);
    let choice = policy.choose(&request(&[]), START).unwrap();
    assert_ne!(choice.endpoint, endpoint(0));
    assert_eq!(choice.adapter_state, routing::AdapterState::Absent);
}

// Guards against a load for a request that overtakes the queue of its adapter's holder.
#[test]
fn high_priority_stays_at_a_holder_that_is_busy_with_lower_work() {
    let mut policy = policy(1);
    let mut busy = endpoint_report(&[ADAPTER]);
    let long = time::Duration::from_millis(600);
    busy.waits = [long, long, time::Duration::ZERO];
    policy.report(endpoint(0), &busy, START);
    let normal = policy.choose(&request(&[]), START).unwrap();
    assert_ne!(normal.endpoint, endpoint(0));
    let high = routing::RoutingRequest {
        priority: units::Priority::High,
        ..request(&[])
    };
    let high = policy.choose(&high, START).unwrap();
    assert_eq!(high.endpoint, endpoint(0));
}

// Guards against new copies while the weight store is saturated.
#[test]
fn holder_is_kept_while_the_store_is_saturated() {
    let mut policy = policy(1);
    let mut loading = endpoint_report(&[]);
    loading.loading = (0..6).map(ids::AdapterId).collect();
    for number in 10..20 {
        policy.report(endpoint(number), &loading, START);
    }
    let mut busy = endpoint_report(&[ADAPTER]);
    busy.waits = [time::Duration::from_millis(600); 3];
    policy.report(endpoint(0), &busy, START);
    assert_eq!(
        policy.choose(&request(&[]), START).unwrap().endpoint,
        endpoint(0)
    );
}

// Guards against a burst between two reports that all goes to one endpoint because the report
// still shows it idle.
#[test]
fn requests_since_the_report_count() {
    let mut policy = policy(2);
    let mut counts = [0_u32; 20];
    for sequence in 0..40 {
        let choice = send(&mut policy, sequence, START);
        let position = (0..20).position(|number| endpoint(number) == choice.endpoint);
        counts[position.unwrap()] += 1;
    }
    assert!(counts[0] <= 20 && counts[1] <= 20, "{counts:?}");
    // A later report includes these requests, so that they are not counted twice.
    for number in 0..2 {
        let mut later = endpoint_report(&[ADAPTER]);
        later.as_of = START + time::Duration::from_millis(500);
        policy.report(endpoint(number), &later, later.as_of);
    }
    let choice = policy
        .choose(&request(&[]), START + time::Duration::from_millis(500))
        .unwrap();
    assert_eq!(choice.wait, time::Duration::ZERO);
}

// Guards against a second load of an adapter whose first load is under way.
#[test]
fn cold_adapter_is_loaded_once() {
    let mut policy = policy(0);
    let first = send(&mut policy, 0, START);
    assert_eq!(first.adapter_state, routing::AdapterState::Absent);
    for sequence in 1..10 {
        let now = START + time::Duration::from_millis(sequence);
        let choice = send(&mut policy, sequence, now);
        assert_eq!(choice.endpoint, first.endpoint);
        assert_eq!(choice.adapter_state, routing::AdapterState::Loading);
    }
}

// Guards against entries that load the same cold adapter at different endpoints.
#[test]
fn entries_choose_the_same_endpoint_for_a_cold_adapter() {
    let mut other = wait_routing::WaitRouting::new(load_times::StoreLimits::default(), 8);
    for number in (0..20).rev() {
        add(&mut other, number, &endpoint_report(&[]));
    }
    let mut policy = policy(0);
    for hash in 0..50_u64 {
        let mut request = request(&[]);
        request.adapter = ids::AdapterId(hash << 58);
        let choice = policy.choose(&request, START).unwrap();
        assert_eq!(choice, other.choose(&request, START).unwrap());
    }
}

// Guards against requests to an endpoint that leaves, is not ready, or was tried before.
#[test]
fn unusable_endpoints_are_never_chosen() {
    let mut policy = policy(3);
    policy.endpoint_leaving(endpoint(0), START);
    // A report from before the leave notice must not make the endpoint routable again.
    policy.report(endpoint(0), &endpoint_report(&[ADAPTER]), START);
    let mut unready = endpoint_report(&[ADAPTER]);
    unready.ready = false;
    policy.report(endpoint(1), &unready, START);
    for _ in 0..20 {
        let choice = policy.choose(&request(&[endpoint(2)]), START).unwrap();
        assert!((3..20).any(|number| endpoint(number) == choice.endpoint));
    }
    let all: Vec<_> = (2..20).map(endpoint).collect();
    let refusal = policy.choose(&request(&all), START).unwrap_err();
    assert_eq!(refusal, routing::Refusal::AllExcluded);
    for number in 2..20 {
        policy.endpoint_removed(endpoint(number), START);
    }
    let refusal = policy.choose(&request(&[]), START).unwrap_err();
    assert_eq!(refusal, routing::Refusal::NoneReady);
}

// Guards against a false refusal when the only usable endpoint is far away on the ring.
#[test]
fn last_usable_endpoint_is_found() {
    let mut policy = wait_routing::WaitRouting::new(load_times::StoreLimits::default(), 7);
    let mut unready = endpoint_report(&[]);
    unready.ready = false;
    for number in (0..300).filter(|number| *number != 123) {
        add(&mut policy, number, &unready);
    }
    add(&mut policy, 123, &endpoint_report(&[]));
    for hash in 0..50_u64 {
        let mut request = request(&[]);
        request.adapter = ids::AdapterId(hash << 58);
        assert_eq!(
            policy.choose(&request, START).unwrap().endpoint,
            endpoint(123)
        );
    }
}

// Guards against a load that would have to evict an adapter in use.
#[test]
fn endpoint_with_free_slots_is_preferred_to_busy_ones() {
    let mut policy = policy(0);
    let mut busy = endpoint_report(&(0..8).map(ids::AdapterId).collect::<Vec<_>>());
    busy.running = 10;
    // A tenth of the batch, so that the slots alone decide.
    busy.batch_limit = 100;
    let preferred = policy.choose(&request(&[]), START).unwrap().endpoint;
    policy.report(preferred, &busy, START);
    assert_ne!(
        policy.choose(&request(&[]), START).unwrap().endpoint,
        preferred
    );
}

/// Pending first token.
struct PendingToken {
    due: units::Timestamp,
    attempt: routing::Attempt,
}

fn deliver(
    policy: &mut wait_routing::WaitRouting,
    pending: &mut Vec<PendingToken>,
    now: units::Timestamp,
) {
    pending.sort_by_key(|token| token.due);
    let due = pending.partition_point(|token| token.due <= now);
    for token in pending.drain(..due) {
        policy.first_token(token.attempt, token.due);
        policy.ended(token.attempt, routing::AttemptEnd::Finished, token.due);
    }
}

// Guards against an endpoint that keeps its requests although it is five times slower than peers.
#[test]
fn straggling_holder_gets_only_probes() {
    let mut policy = policy(3);
    let slow = policy.choose(&request(&[]), START).unwrap().endpoint;
    let slow_from = START + time::Duration::from_secs(1);
    let mut pending = Vec::new();
    let mut shares = [0_u32; 5];
    for sequence in 0..250 {
        let now = START + time::Duration::from_millis(sequence * 20);
        deliver(&mut policy, &mut pending, now);
        let chosen = send(&mut policy, sequence, now).endpoint;
        let second = usize::try_from(sequence / 50).unwrap();
        shares[second] += u32::from(chosen == slow);
        let is_slow = chosen == slow && now >= slow_from;
        let millis = if is_slow { 500 } else { 100 };
        let attempt = routing::Attempt {
            request: request_id(sequence),
            endpoint: chosen,
        };
        let due = now + time::Duration::from_millis(millis);
        pending.push(PendingToken { due, attempt });
        // The other holders are measured too, by requests for other adapters.
        for number in 0..3 {
            let request = request_id(1_000 * (u64::from(number) + 1) + sequence);
            let endpoint = endpoint(number);
            if endpoint != slow {
                dispatch_to(&mut policy, request, endpoint, now);
                let due = now + time::Duration::from_millis(100);
                let attempt = routing::Attempt { request, endpoint };
                pending.push(PendingToken { due, attempt });
            }
        }
    }
    assert_eq!(shares[0], 50, "{shares:?}");
    assert!(shares[1] > 0 && shares[1] < 40, "{shares:?}");
    for share in &shares[2..] {
        // At least one probe a second, so that the endpoint can recover.
        assert!((1..=3).contains(share), "{shares:?}");
    }
}

fn dispatch_to(
    policy: &mut wait_routing::WaitRouting,
    request: ids::RequestId,
    endpoint: ids::EndpointId,
    now: units::Timestamp,
) {
    let choice = routing::Choice {
        endpoint,
        adapter_state: routing::AdapterState::Loaded,
        wait: time::Duration::ZERO,
        first_token: time::Duration::ZERO,
        probe: false,
    };
    policy.dispatched(request, ADAPTER, &choice, now);
}
