//! Encoding of the worker roster in the store.

use syc_cell::ports::Record;
use syc_cell::records::DRAINS_KEY;
use syc_cell::records::DrainsRecord;
use syc_cell::records::RosterRecord;
use syc_cell::records::drains;
use syc_cell::records::is_job_progress;
use syc_cell::records::read_draining;
use syc_cell::records::read_drains;
use syc_cell::records::read_roster;
use syc_cell::records::roster;
use syc_cell::roster::Listing;
use syc_cell::roster::Roster;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;
use test_case::test_case;

use crate::cluster::worker;

fn roster_of(workers: usize, token: u64, change: u64) -> RosterRecord {
    RosterRecord {
        token,
        change,
        workers: (0..workers).map(worker).collect(),
    }
}

fn read(records: &[Record]) -> Vec<WorkerSpec> {
    let (mut workers, unreadable) = read_roster(records);
    assert!(unreadable.is_empty());
    workers.sort_by(|left, right| left.id.cmp(&right.id));
    workers
}

fn sorted(mut workers: Vec<WorkerSpec>) -> Vec<WorkerSpec> {
    workers.sort_by(|left, right| left.id.cmp(&right.id));
    workers
}

#[test_case(0)]
#[test_case(1)]
#[test_case(200)]
#[test_case(450)]
fn a_roster_round_trips(workers: usize) {
    let written = roster_of(workers, 7, 1);
    let records = roster(&written);
    assert!(records.iter().all(|record| record.value.len() < 64 * 1024));
    assert_eq!(read(&records), sorted(written.workers));
}

#[test_case(7, 2; "a later change")]
#[test_case(8, 1; "a later scheduler")]
fn leftover_parts_of_an_older_roster_are_ignored(token: u64, change: u64) {
    let older = roster(&roster_of(450, 7, 1));
    let newer = roster(&roster_of(3, token, change));
    // The store keeps the newest record of each key, so parts that the newer roster does not
    // overwrite remain.
    let mut kept = newer;
    let rest: Vec<_> = older
        .into_iter()
        .filter(|record| kept.iter().all(|newer| newer.key != record.key))
        .collect();
    assert!(!rest.is_empty());
    kept.extend(rest);
    assert_eq!(read(&kept), sorted(roster_of(3, token, change).workers));
}

#[test]
fn an_unreadable_part_is_reported() {
    let mut records = roster(&roster_of(1, 7, 1));
    records[0].value = b"{".to_vec().into();
    let (workers, unreadable) = read_roster(&records);
    assert!(workers.is_empty());
    assert_eq!(unreadable[0].0, records[0].key);
}

fn drains_of(workers: usize, token: u64, change: u64) -> Record {
    drains(&DrainsRecord {
        token,
        change,
        workers: (0..workers).map(|index| worker(index).id).collect(),
        ..DrainsRecord::default()
    })
}

#[test_case(7, 2; "a later change")]
#[test_case(8, 1; "a later scheduler")]
fn the_latest_drains_are_read(token: u64, change: u64) {
    // An append in doubt may have left a record in each partition.
    let records = [drains_of(1, token, change), drains_of(3, 7, 1)];
    let (read, unreadable) = read_drains(&records);
    assert!(unreadable.is_empty());
    assert_eq!(read, [worker(0).id]);
    assert!(!is_job_progress(&records[0]), "it is not read as a job");
}

/// A scheduler of an earlier version may have used the workers again without taking them off this record.
#[test]
fn drains_of_an_earlier_scheduler_than_the_roster_do_not_hold() {
    let mut records = roster(&roster_of(3, 8, 1));
    records.push(drains_of(2, 7, 5));
    assert_eq!(read_drains(&records).0, []);
    records.push(drains_of(1, 8, 1));
    assert_eq!(read_drains(&records).0, [worker(0).id]);
}

#[test]
fn unreadable_drains_are_reported_and_do_not_hold() {
    let mut record = drains_of(2, 7, 1);
    record.value = b"{".to_vec().into();
    let (read, unreadable) = read_drains([&record]);
    assert_eq!(read, []);
    assert_eq!(unreadable.len(), 1);
    assert_eq!(record.key, DRAINS_KEY);
}

// Guards against an older record of the other partition that is trusted although the newest can't be read.
#[test]
fn an_older_record_does_not_count_if_the_newest_is_unreadable() {
    let mut newest = drains_of(0, 7, 3);
    newest.value = b"{".to_vec().into();
    let mut records = roster(&roster_of(1, 7, 1));
    records.extend([drains_of(1, 7, 2), newest]);
    let (trusted, unreadable) = read_drains(&records);
    assert_eq!(unreadable.len(), 1);
    assert_eq!(trusted, [], "they may be in use again");
}

fn draining(index: usize) -> WorkerSpec {
    WorkerSpec {
        draining: true,
        ..worker(index)
    }
}

/// Stores the pending change. Returns the drains that a successor would read then.
fn store(roster: &Roster, stored: &mut Vec<Record>) -> Vec<WorkerId> {
    if let Some(change) = roster.pending_change(7) {
        for record in change.records {
            stored.retain(|older| older.key != record.key);
            stored.push(record);
        }
        roster.mark_recorded(change.number);
    }
    read_drains(&*stored).0
}

/// Creates the roster of a scheduler that has recorded the drain of a worker.
fn with_recorded_drain(stored: &mut Vec<Record>) -> Roster {
    let roster = Roster::default();
    roster.list(&worker(0));
    store(&roster, stored);
    assert_eq!(roster.list(&draining(0)), Listing::Usable);
    assert!(roster.add_recorded_drain(worker(0).id));
    assert_eq!(store(&roster, stored), [worker(0).id]);
    roster
}

/// The roster itself is written only if a worker joins or leaves it. A successor that did not know that a worker drains
/// would take its end for a crash, and lay it to the tasks that were there.
#[test]
fn a_successor_reads_which_workers_drain() {
    let mut stored = Vec::new();
    let roster = Roster::default();
    roster.list(&worker(0));
    roster.list(&worker(1));
    store(&roster, &mut stored);
    assert_eq!(read_draining(&stored), []);
    roster.list(&draining(0));
    store(&roster, &mut stored);
    assert_eq!(read_draining(&stored), [worker(0).id]);
    assert!(roster.pending_change(7).is_none(), "it is written once");
    assert_eq!(roster.list(&worker(0)), Listing::Usable);
    store(&roster, &mut stored);
    assert_eq!(read_draining(&stored), []);
}

/// A successor would take what is started on the worker as over.
#[test]
fn a_worker_that_stops_draining_is_used_only_once_the_store_has_that() {
    let mut stored = Vec::new();
    let roster = with_recorded_drain(&mut stored);
    assert_eq!(roster.list(&worker(0)), Listing::StillDraining);
    let change = roster.pending_change(7).expect("a change to be stored");
    assert_eq!(roster.list(&worker(0)), Listing::StillDraining);
    let usable = roster.mark_recorded(change.number);
    assert_eq!(usable, [worker(0)], "as it is listed");
    assert_eq!(read_drains(&change.records).0, []);
    assert_eq!(roster.list(&worker(0)), Listing::Usable);
}

/// The scheduler still takes the worker as draining until the store has the change, and records the drain again. A worker in
/// use would be stored as drained.
#[test]
fn a_worker_that_stopped_draining_is_not_recorded_again() {
    let mut stored = Vec::new();
    let roster = with_recorded_drain(&mut stored);
    assert_eq!(roster.list(&worker(0)), Listing::StillDraining);
    assert!(!roster.add_recorded_drain(worker(0).id));
    assert_eq!(store(&roster, &mut stored), []);
    assert_eq!(roster.list(&worker(0)), Listing::Usable);
    assert_eq!(store(&roster, &mut stored), []);
}

/// The same in a takeover: the successor finds the drain in the store and the worker listed as ready.
#[test]
fn a_worker_that_stopped_draining_between_schedulers_is_not_recorded_again() {
    let mut stored = Vec::new();
    with_recorded_drain(&mut stored);
    let successor = Roster::default();
    successor.restore([&draining(0)]);
    successor.restore_recorded_drains(read_drains(&stored).0);
    assert_eq!(successor.list(&worker(0)), Listing::StillDraining);
    assert_eq!(successor.recorded_drains().len(), 0, "it is waited for");
    assert!(!successor.add_recorded_drain(worker(0).id));
    let change = successor.pending_change(8).expect("a change to be stored");
    assert_eq!(successor.list(&worker(0)), Listing::StillDraining);
    assert_eq!(successor.mark_recorded(change.number), [worker(0)]);
    assert_eq!(read_drains(&change.records).0, []);
}

/// A worker that is gone by the time that the store has the change would be registered again.
#[test]
fn a_worker_that_left_after_it_stopped_draining_is_not_listed_again() {
    let mut stored = Vec::new();
    let roster = with_recorded_drain(&mut stored);
    roster.list(&worker(0));
    assert!(roster.unlist(&worker(0).id));
    let change = roster.pending_change(7).expect("a change to be stored");
    assert_eq!(roster.mark_recorded(change.number), []);
}
