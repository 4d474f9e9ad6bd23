//! When a planned stop may free the role, while progress is written.

use syc_cell::progress_batches::ProgressBatches;

/// On a large cell some run ends during every write, so that a stop which waited for a moment without changes waited for
/// its time limit.
#[test]
fn a_stop_waits_for_one_batch_while_changes_keep_coming() {
    let mut batches = ProgressBatches::default();
    batches.begin(true);
    // The stop begins during a write, which does not have the latest changes.
    let enough = batches.next_complete();
    batches.end(true);
    assert!(!batches.is_written(enough, true));
    batches.begin(true);
    assert!(!batches.is_written(enough, true));
    batches.end(true);
    assert!(batches.is_written(enough, true));
}

/// A batch may have a part of the pending changes only.
#[test]
fn a_batch_without_all_changes_is_not_enough() {
    let mut batches = ProgressBatches::default();
    let enough = batches.next_complete();
    batches.begin(false);
    batches.end(false);
    assert!(!batches.is_written(enough, true));
}

/// The changes of a batch are pending no more once it begins.
#[test]
fn a_batch_that_is_being_written_is_waited_for() {
    let mut batches = ProgressBatches::default();
    batches.begin(true);
    let enough = batches.next_complete();
    assert!(!batches.is_written(enough, false));
    batches.end(true);
    assert!(batches.is_written(enough, false));
}
