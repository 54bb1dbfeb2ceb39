//! Budget of the bytes that are buffered.

use std::sync::Arc;

use gateway::buffers::{BufferBudget, BufferError, BufferLimits};

const TOTAL_BYTES: usize = 1_000;
const RESPONSE_BYTES: usize = 400;

// Guards against a response, or many of them, that hold more than their limit.
#[test]
fn limits_hold_for_one_and_for_all_responses() {
    let budget = Arc::new(BufferBudget::new(TOTAL_BYTES, RESPONSE_BYTES));
    let mut one = budget.reserve();
    assert_eq!(
        one.grow_to(401, 401),
        Err(BufferError::BufferTooLong { limit: 400 })
    );
    assert_eq!(one.grow_to(400, 400), Ok(()));
    let mut second = budget.reserve();
    assert_eq!(second.grow_to(300, 400), Ok(()));
    assert!(budget.is_nearly_exhausted());
    let mut third = budget.reserve();
    assert_eq!(
        third.grow_to(201, 201),
        Err(BufferError::BudgetExhausted { limit: 1_000 })
    );
}

// Guards against a budget that is not returned, which would refuse all requests for good.
#[test]
fn dropped_reservations_are_returned() {
    let budget = Arc::new(BufferBudget::new(TOTAL_BYTES, RESPONSE_BYTES));
    for _ in 0..10 {
        let mut reservations: Vec<_> = (0..4).map(|_| budget.reserve()).collect();
        let failed = reservations
            .iter_mut()
            .filter_map(|reservation| reservation.grow_to(300, 300).err());
        assert_eq!(failed.count(), 1);
        drop(reservations);
        assert!(!budget.is_nearly_exhausted());
    }
}

// Guards against limits that leave a small instance without memory, or that no response meets.
#[test]
fn limits_follow_from_the_memory() {
    let small = BufferLimits::of_memory(160_000_000);
    assert_eq!(small.total_bytes, 40_000_000);
    assert_eq!(small.response_bytes, 5_000_000);
    assert_eq!(small.upload_bytes, 80_000_000);
    assert!(small.event_bytes * 512 <= small.total_bytes);
    let large = BufferLimits::of_memory(4_000_000_000);
    assert_eq!(large.response_bytes, 16 * 1024 * 1024);
    assert_eq!(large.event_bytes, 256 * 1024);
}
