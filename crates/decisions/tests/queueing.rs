//! Order of one replica's queue.

use std::time;

use decisions::{
    fifo_queue, ids,
    queueing::{self, QueuePolicy},
    units,
};

const NOW: units::Timestamp = units::Timestamp(0);
const RESIDENT: [ids::AdapterId; 3] = [ids::AdapterId(1), ids::AdapterId(2), ids::AdapterId(3)];

fn id(sequence: u64) -> ids::RequestId {
    let entry = ids::Incarnation(1);
    ids::RequestId { entry, sequence }
}

fn request(sequence: u64, adapter: u64, operator: &str) -> queueing::QueuedRequest {
    queueing::QueuedRequest {
        request: id(sequence),
        adapter: Some(ids::AdapterId(adapter)),
        priority: units::Priority::Normal,
        operator: operator.to_owned(),
        weight: 1,
        deadline: units::Timestamp(10_000_000 + sequence),
    }
}

fn running(sequence: u64, adapter: u64, generated: u32) -> queueing::RunningRequest {
    queueing::RunningRequest {
        request: id(sequence),
        adapter: Some(ids::AdapterId(adapter)),
        generated,
    }
}

fn batch_view(running: &[queueing::RunningRequest], limit: usize) -> queueing::BatchView<'_> {
    queueing::BatchView {
        running,
        limit,
        resident: &RESIDENT,
    }
}

fn start_next(
    queue: &mut dyn QueuePolicy,
    batch: &queueing::BatchView<'_>,
) -> Option<queueing::QueuedRequest> {
    match queue.next(batch, NOW)? {
        queueing::BatchAction::Start(request) => Some(request),
        queueing::BatchAction::Resume(request) => panic!("{request} was never preempted"),
    }
}

// Guards against an operator that takes more than its weight's share of the starts.
#[test]
fn operators_share_starts_by_weight() {
    let mut queue = queueing::ReplicaQueue::default();
    for sequence in 0..80 {
        let mut heavy = request(sequence, 1, "heavy");
        heavy.weight = 3;
        queue.push(heavy);
        queue.push(request(100 + sequence, 1, "light"));
    }
    let starts: Vec<_> = (0..40)
        .map(|_| start_next(&mut queue, &batch_view(&[], 8)))
        .collect();
    let heavy = starts.iter().flatten().filter(|r| r.operator == "heavy");
    let count = heavy.count();
    assert!((29..=31).contains(&count), "{count} of 40 instead of 30");
}

// Guards against a lower priority that never runs while higher ones keep arriving.
#[test]
fn lower_priorities_are_not_starved() {
    use units::Priority;
    let mut queue = queueing::ReplicaQueue::default();
    let priorities = [Priority::Low, Priority::Normal, Priority::High];
    for sequence in 0..300 {
        let mut request = request(sequence, 1, "a");
        request.priority = priorities[usize::try_from(sequence % 3).unwrap()];
        queue.push(request);
    }
    let starts: Vec<_> = (0..64)
        .map(|_| start_next(&mut queue, &batch_view(&[], 8)))
        .collect();
    let count = |priority| {
        let starts = starts.iter().flatten();
        starts.filter(|r| r.priority == priority).count()
    };
    assert_eq!(priorities.map(count), [2, 2, 60]);
    assert_eq!(starts[0].as_ref().unwrap().priority, Priority::High);
}

// Guards against batches of many distinct adapters, and against grouping that costs a deadline.
#[test]
fn batch_adapters_go_first_only_while_deadlines_allow() {
    let batch = [running(90, 2, 0)];
    for (deadline, expected) in [(5_000_000, 2), (900_000, 1)] {
        let mut queue = queueing::ReplicaQueue::default();
        queue.observe(time::Duration::from_secs(4));
        let mut first = request(1, 1, "a");
        first.deadline = units::Timestamp(deadline);
        queue.push(first);
        queue.push(request(2, 2, "a"));
        let picked = start_next(&mut queue, &batch_view(&batch, 4)).unwrap();
        assert_eq!(picked.adapter, Some(ids::AdapterId(expected)));
    }
}

// Guards against long requests that hold the whole batch while short ones wait, and against
// preempted ones that are never resumed.
#[test]
fn long_requests_are_preempted_and_resumed() {
    let mut queue = queueing::ReplicaQueue::default();
    let full: Vec<_> = (0..9).map(|n| running(n, 1, 600)).collect();
    assert!(queue.preempt(&batch_view(&full, 8)).is_empty());
    for sequence in 20..40 {
        queue.push(request(sequence, 1, "a"));
    }
    let preempted = queue.preempt(&batch_view(&full, 8));
    assert_eq!(preempted.len(), 7);
    let kept = &full[7..];
    assert!(start_next(&mut queue, &batch_view(kept, 8)).is_some());
    while queue.waiting() > 0 {
        start_next(&mut queue, &batch_view(kept, 8)).unwrap();
    }
    let resumed = queue.next(&batch_view(kept, 8), NOW);
    assert_eq!(resumed, Some(queueing::BatchAction::Resume(preempted[0])));
}

// Guards against a start on an adapter that is not loaded and against a long engine queue.
#[test]
fn only_resident_adapters_start_and_the_engine_queue_is_short() {
    let mut queue = queueing::ReplicaQueue::default();
    queue.push(request(1, 9, "a"));
    assert_eq!(queue.next(&batch_view(&[], 2), NOW), None);
    queue.push(request(2, 1, "a"));
    let full = [running(7, 1, 0), running(8, 1, 0), running(9, 1, 0)];
    assert_eq!(queue.next(&batch_view(&full, 2), NOW), None);
    assert_eq!(
        start_next(&mut queue, &batch_view(&[], 2)).unwrap().request,
        id(2)
    );
}

// Guards against a request that stays queued after its deadline, for both policies.
#[test]
fn expired_requests_are_reported_and_removed() {
    let policies: [Box<dyn QueuePolicy>; 2] = [
        Box::new(queueing::ReplicaQueue::default()),
        Box::new(fifo_queue::FifoQueue::default()),
    ];
    for mut queue in policies {
        queue.push(request(1, 1, "a"));
        queue.push(request(5, 1, "a"));
        assert!(queue.remove(id(5)));
        let expired = queue.expire(units::Timestamp(20_000_000));
        assert_eq!(expired.len(), 1);
        assert_eq!(queue.waiting(), 0);
    }
}

// Guards against a predicted wait that counts lower priorities, and against a retry-after of zero.
#[test]
fn predicted_wait_counts_equal_and_higher_priorities() {
    let mut queue = queueing::ReplicaQueue::default();
    queue.observe(time::Duration::from_secs(2));
    for sequence in 0..8 {
        queue.push(request(sequence, 1, "a"));
    }
    let wait = |priority| queue.predicted_wait(priority, 4);
    assert_eq!(wait(units::Priority::High), time::Duration::ZERO);
    assert_eq!(wait(units::Priority::Low), time::Duration::from_secs(4));
    let left = time::Duration::from_secs(1);
    let retry = queue.retry_after(units::Priority::Normal, 4, left);
    assert_eq!(retry, time::Duration::from_secs(3));
    let retry = queue.retry_after(units::Priority::High, 4, left);
    assert!(retry > time::Duration::ZERO);
}

// Guards against batches that lower priorities fill up while high priority is in use.
#[test]
fn lower_priorities_leave_batch_slots_for_high() {
    let mut queue = queueing::ReplicaQueue::default();
    queue.push(queueing::QueuedRequest {
        priority: units::Priority::High,
        ..request(1, 1, "a")
    });
    queue.push(request(2, 1, "a"));
    queue.push(request(3, 1, "a"));
    queue.observe(time::Duration::from_secs(8));
    let batch: Vec<_> = (10..41).map(|number| running(number, 1, 5)).collect();
    let batch = batch_view(&batch, 32);
    assert_eq!(start_next(&mut queue, &batch).unwrap().request, id(1));
    assert_eq!(start_next(&mut queue, &batch), None);
    let wait = |priority| queue.expected_wait(priority, &batch);
    assert_eq!(wait(units::Priority::High), time::Duration::ZERO);
    assert!(wait(units::Priority::Normal) > time::Duration::ZERO);
    let emptier = batch_view(&batch.running[..30], 32);
    assert!(start_next(&mut queue, &emptier).is_some());
}
