//! Counts the allocations of leaf calls. The test has a file of its own, because the counting
//! allocator is global.

mod entry_support;

use allocation_counter::measure;
use camphorhold::coordination::query::Action;
use camphorhold::coordination::query::Query;
use camphorhold::state::id::ShardId;

use self::entry_support::Entry;
use self::entry_support::answer_to;

/// The most allocations of one query, which does not depend on the number of shards: the shards,
/// the set of shards seen, the set of shards answered, the contents and the first actions.
const MAX_ALLOCATIONS_PER_QUERY: u64 = 5;

/// Runs one query without failures and returns the allocations of its start and of its answers.
fn allocations(entry: &mut Entry, id: u64, scope: &[ShardId]) -> (u64, u64) {
    let request = entry.request(id, scope);
    let mut started = None;
    let start = measure(|| started = Some(Query::start(&mut entry.context(), &request)));
    let (mut query, actions) = started.expect("measure runs the closure");
    let mut later_actions: Vec<Action<u64>> = Vec::with_capacity(4);
    let answers = measure(|| {
        for action in &actions {
            let Action::Send(send) = action else { continue };
            let result = query.on_answer(
                &mut entry.context(),
                &answer_to(send),
                0,
                &mut later_actions,
            );
            assert_eq!(result, Ok(()));
            assert!(query.next_wakeup().is_some() || query.is_finished());
        }
    });
    assert!(query.is_finished());
    (start.count_total, answers.count_total)
}

/// Guards against an allocation in the replica choice, accounting, correlation or merge of a leaf
/// call, which a query over 830 shards would repeat 830 times.
#[test]
fn a_leaf_call_allocates_nothing_at_830_shards() {
    let mut entry = Entry::new(830, 2, 1);
    let scope: Vec<ShardId> = (0..830).map(ShardId).collect();
    // The first query grows the table of calls in flight to the size that the next ones need.
    allocations(&mut entry, 1, &scope);
    for id in 2..10 {
        let (start, answers) = allocations(&mut entry, id, &scope);
        assert!(
            start <= MAX_ALLOCATIONS_PER_QUERY,
            "{start} allocations at the start of a query"
        );
        assert_eq!(answers, 0, "allocations while merging 830 answers");
    }
}
