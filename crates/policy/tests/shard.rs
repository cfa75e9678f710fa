//! Ownership of queue shards.

use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::shard::{ShardRow, next_row, preferred_owner, shard_of};
use chervilledge_policy::task::{Epoch, TaskId};

const SHARDS: u32 = 256;

fn entries(count: u64) -> Vec<BootId> {
    (1..=count).map(|number| BootId(number * 7919)).collect()
}

#[test]
fn an_entry_more_moves_only_its_own_part() {
    let (before, after) = (entries(4), entries(5));
    let moved: Vec<u32> =
        (0..SHARDS).filter(|shard| preferred_owner(*shard, &before) != preferred_owner(*shard, &after)).collect();
    assert!(moved.iter().all(|shard| preferred_owner(*shard, &after) == Some(after[4])));
    assert!((25..=80).contains(&moved.len()), "{} of {SHARDS} moved", moved.len());
    assert_eq!(preferred_owner(0, &[]), None);
}

#[test]
fn tasks_are_spread_over_shards() {
    let mut counts = vec![0_u32; SHARDS as usize];
    for index in 0..65_000 {
        let job = Name::from(format!("job{}", index / 50));
        counts[shard_of(&TaskId { job, index: index % 50 }, SHARDS) as usize] += 1;
    }
    assert!(counts.iter().all(|count| (150..=400).contains(count)), "{counts:?}");
}

#[test]
fn a_shard_is_taken_released_and_taken_over_under_rising_epochs() {
    let live = entries(2);
    let row = ShardRow::unowned(3);
    let owner = preferred_owner(3, &live).expect("there are entries");
    let other = live.iter().copied().find(|entry| *entry != owner).expect("there are two");
    assert_eq!(next_row(&row, other, &live), None);
    let taken = next_row(&row, owner, &live).expect("it should own the shard");
    assert_eq!((taken.owner, taken.epoch), (Some(owner), Epoch(1)));
    assert_eq!(next_row(&taken, owner, &live), None);
    assert_eq!(next_row(&taken, other, &live), None, "the owner is live");
    let taken_over = next_row(&taken, other, &[other]).expect("the owner's lease has ended");
    assert_eq!((taken_over.owner, taken_over.epoch), (Some(other), Epoch(2)));
    assert_eq!(next_row(&taken_over, owner, &live), None, "the present owner releases it first");
    let released = next_row(&taken_over, other, &live).expect("another should own the shard");
    assert_eq!((released.owner, released.epoch), (None, Epoch(3)));
    assert_eq!(next_row(&released, other, &live), None);
    assert_eq!(next_row(&released, owner, &live).expect("it is free").owner, Some(owner));
}
