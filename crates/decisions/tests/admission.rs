//! Admission control in front of a simulated priority queue, in virtual time.

use std::time;

use decisions::{admission, units};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Service time of a request on the single simulated server.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(10);
const DEADLINE: time::Duration = time::Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    priority: units::Priority,
    predicted_wait: time::Duration,
    received: units::Timestamp,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    offered: u32,
    admitted: u32,
    on_time: u32,
}

/// Single server with a priority queue, and counts per priority (low, normal, high).
struct Simulation {
    control: admission::AdmissionControl,
    generator: ChaCha8Rng,
    queue: Vec<QueuedRequest>,
    counts: [Counts; 3],
    now: units::Timestamp,
}

impl Simulation {
    fn new() -> Self {
        let now = units::Timestamp(0);
        Self {
            control: admission::AdmissionControl::new(now),
            generator: ChaCha8Rng::seed_from_u64(5),
            queue: Vec::new(),
            counts: [Counts::default(); 3],
            now,
        }
    }

    fn offer(&mut self, priority: units::Priority) {
        let counts = &mut self.counts[priority as usize];
        counts.offered += 1;
        let ahead = u32::try_from(self.queue.len()).unwrap();
        let wait = SERVICE_TIME * ahead;
        let request = admission::AdmissionRequest {
            priority,
            time_left: DEADLINE,
            wait,
            first_token: wait + SERVICE_TIME,
        };
        let outcome = self.control.admit(&request, &mut self.generator, self.now);
        if outcome.is_ok() {
            counts.admitted += 1;
            self.queue.push(QueuedRequest {
                priority,
                predicted_wait: wait,
                received: self.now,
            });
        }
    }

    /// Drops requests that can no longer be on time, as agents do (`DeadlineUnreachable`).
    fn drop_late(&mut self) {
        let now = self.now;
        let is_late = |queued: &QueuedRequest| now.since(queued.received) + SERVICE_TIME > DEADLINE;
        let dropped: Vec<_> = self
            .queue
            .extract_if(.., |queued| is_late(queued))
            .collect();
        for queued in dropped {
            let outcome = admission::AdmissionOutcome {
                priority: queued.priority,
                predicted_wait: queued.predicted_wait,
                wait: DEADLINE,
                on_time: false,
            };
            self.control.observe(&outcome, now);
        }
    }

    /// Serves the oldest request of the highest priority.
    fn serve(&mut self) {
        self.drop_late();
        self.now = self.now + SERVICE_TIME;
        let best = self.queue.iter().map(|queued| queued.priority).max();
        let Some(position) = self
            .queue
            .iter()
            .position(|queued| Some(queued.priority) == best)
        else {
            return;
        };
        let served = self.queue.remove(position);
        let taken = self.now.since(served.received);
        let on_time = taken <= DEADLINE;
        self.counts[served.priority as usize].on_time += u32::from(on_time);
        let outcome = admission::AdmissionOutcome {
            priority: served.priority,
            predicted_wait: served.predicted_wait,
            wait: taken.saturating_sub(SERVICE_TIME),
            on_time,
        };
        self.control.observe(&outcome, self.now);
    }

    /// Offers the given numbers of requests (low, normal, high) per 10 service times.
    fn run(&mut self, seconds: u32, per_ten: [u32; 3]) -> [Counts; 3] {
        self.counts = [Counts::default(); 3];
        for _ in 0..seconds * 10 {
            for slot in 0..10 {
                for (priority, count) in [
                    (units::Priority::Low, per_ten[0]),
                    (units::Priority::Normal, per_ten[1]),
                    (units::Priority::High, per_ten[2]),
                ] {
                    let share = (slot + 1) * count / 10 - slot * count / 10;
                    (0..share).for_each(|_| self.offer(priority));
                }
                self.serve();
            }
        }
        self.counts
    }
}

// Guards against high-priority requests that are refused or late in an overload although the
// capacity suffices for them, and against lower priorities that displace higher ones.
#[test_case([10, 10, 5]; "overload by lower priorities")]
#[test_case([5, 5, 9]; "high priority near the capacity")]
#[test_case([40, 5, 5]; "overload by low priority")]
fn overload_refuses_lower_priorities_first(per_ten: [u32; 3]) {
    let mut simulation = Simulation::new();
    simulation.run(2, [2, 3, 1]);
    let [low, normal, high] = simulation.run(20, per_ten);
    assert_eq!(high.admitted, high.offered);
    // Requests still queued at the end are neither late nor served.
    let open = u32::try_from(simulation.queue.len()).unwrap();
    assert!(high.on_time + open >= high.offered, "{high:?}, {open} open");
    let share = |counts: Counts| f64::from(counts.admitted) / f64::from(counts.offered);
    assert!(share(normal) > share(low), "{normal:?} {low:?}");
    // Requests on time use the capacity of 2,000 requests in 20 s.
    let on_time = low.on_time + normal.on_time + high.on_time;
    assert!(on_time >= 1_900, "{on_time}");
}

// Guards against a slow recovery from an overload: late requests that stay queued, or refusals that
// continue.
#[test]
fn service_recovers_within_one_second_of_an_overload() {
    let mut simulation = Simulation::new();
    simulation.run(10, [20, 20, 10]);
    simulation.run(1, [2, 3, 2]);
    let after = simulation.run(5, [2, 3, 2]);
    for counts in after {
        assert_eq!(counts.admitted, counts.offered, "{after:?}");
    }
}

// Guards against the admission of a request that cannot be on time, and against a retry delay after
// which it would be refused again.
#[test]
fn unreachable_deadline_is_refused_with_a_retry_delay() {
    let now = units::Timestamp(0);
    let control = admission::AdmissionControl::new(now);
    let request = admission::AdmissionRequest {
        priority: units::Priority::Normal,
        time_left: DEADLINE,
        wait: DEADLINE * 2,
        first_token: DEADLINE * 2,
    };
    let mut generator = ChaCha8Rng::seed_from_u64(5);
    let refusal = control.admit(&request, &mut generator, now).unwrap_err();
    let reason = admission::AdmissionReason::DeadlineUnreachable;
    assert_eq!(refusal.reason, reason);
    assert!(refusal.retry_after >= DEADLINE);
}
