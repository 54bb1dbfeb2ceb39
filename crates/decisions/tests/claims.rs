//! Claim window and claim batcher.

use std::time;

use decisions::{
    claim_batch,
    claims::{ClaimBatch, ClaimEffect, ClaimKey, ClaimRecord, ClaimWindow, WallTime},
    ids, units,
};
use proptest::prelude::*;

const LENGTH: time::Duration = time::Duration::from_mins(10);

fn claim(entry: u64, attempt: u32, seconds: u64) -> ClaimRecord {
    let request = |sequence| ids::RequestId {
        entry: ids::Incarnation(entry),
        sequence,
    };
    ClaimRecord {
        key: ClaimKey {
            operator: "northlink".to_owned(),
            key: "k".to_owned(),
        },
        attempt,
        supersedes: None,
        request: request(u64::from(attempt)),
        agent: ids::Incarnation(9),
        body_hash: 1,
        claimed_at: WallTime(seconds * 1_000),
    }
}

fn apply(window: &mut ClaimWindow, claim: ClaimRecord) -> ClaimEffect {
    let claims = vec![claim];
    window.apply(window.next_offset(), &ClaimBatch { claims })[0]
}

// Guards against a second winner: a later claim, a duplicate, another body, or an attempt that does
// not supersede the winner's request.
#[test]
fn first_claim_wins_until_it_is_superseded() {
    let mut window = ClaimWindow::new(LENGTH, 0);
    let first = claim(1, 0, 0);
    assert_eq!(apply(&mut window, first.clone()), ClaimEffect::Won);
    assert_eq!(apply(&mut window, first.clone()), ClaimEffect::Duplicate);
    assert_eq!(apply(&mut window, claim(2, 0, 1)), ClaimEffect::Lost);
    assert_eq!(apply(&mut window, claim(2, 1, 1)), ClaimEffect::Lost);
    let mut other_body = claim(3, 0, 1);
    other_body.body_hash = 2;
    assert_eq!(apply(&mut window, other_body), ClaimEffect::KeyReused);
    let mut next = claim(2, 1, 1);
    next.supersedes = Some(first.request);
    assert_eq!(apply(&mut window, next.clone()), ClaimEffect::Won);
    assert_eq!(apply(&mut window, first), ClaimEffect::Lost);
    assert_eq!(window.winner(&next.key, WallTime(2_000)), Some(&next));
}

// Guards against a claim that counts longer than the window, a late append that wins, and unbounded
// memory.
#[test]
fn claims_expire_by_times_in_the_log() {
    let mut window = ClaimWindow::new(LENGTH, 5);
    assert!(!window.is_complete(WallTime(0)));
    assert_eq!(apply(&mut window, claim(1, 0, 0)), ClaimEffect::Won);
    assert!(window.is_complete(WallTime(600_000)));
    assert!(
        window
            .winner(&claim(1, 0, 0).key, WallTime(600_000))
            .is_none()
    );
    assert_eq!(apply(&mut window, claim(2, 0, 599)), ClaimEffect::Lost);
    assert_eq!(apply(&mut window, claim(3, 0, 600)), ClaimEffect::Won);
    assert_eq!(apply(&mut window, claim(4, 0, 0)), ClaimEffect::Stale);
    let mut other = claim(5, 0, 1_800);
    other.key.key = "other".to_owned();
    assert_eq!(apply(&mut window, other), ClaimEffect::Won);
    assert_eq!(window.len(), 1);
}

// Guards against two outstanding appends on one stream, and a claim that is twice in one batch.
#[test]
fn one_batch_is_outstanding_per_stream() {
    let gap = time::Duration::from_millis(50);
    let mut batcher = claim_batch::ClaimBatcher::new(gap);
    batcher.push(claim(1, 0, 0));
    batcher.push(claim(1, 0, 0));
    batcher.push(claim(2, 0, 0));
    let now = units::Timestamp(0);
    assert_eq!(batcher.next_batch(now).unwrap().claims.len(), 2);
    batcher.push(claim(3, 0, 0));
    assert!(batcher.next_batch(now + gap).is_none());
    batcher.finish_append();
    assert!(batcher.next_batch(now).is_none());
    assert_eq!(batcher.next_batch(now + gap).unwrap().claims.len(), 1);
}

proptest! {
    // Guards against readers of one stream that see different winners because one reads records
    // twice.
    #[test]
    fn readers_agree_on_the_winner(
        claims in prop::collection::vec((0..4_u64, 0..3_u32, 0..1_500_u64, any::<bool>()), 1..60),
    ) {
        let mut once = ClaimWindow::new(LENGTH, 0);
        let mut again = ClaimWindow::new(LENGTH, 0);
        for (offset, (entry, attempt, seconds, supersedes_winner)) in (0..).zip(claims) {
            let mut record = claim(entry, attempt, seconds);
            let now = record.claimed_at;
            if supersedes_winner {
                record.supersedes = once.winner(&record.key, now).map(|winner| winner.request);
            }
            let claims = vec![record.clone()];
            let batch = ClaimBatch { claims };
            once.apply(offset, &batch);
            again.apply(offset, &batch);
            prop_assert!(again.apply(offset, &batch).is_empty());
            prop_assert_eq!(once.winner(&record.key, now), again.winner(&record.key, now));
        }
    }
}
