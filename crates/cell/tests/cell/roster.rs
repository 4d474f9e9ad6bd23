//! Encoding of the worker roster in the store.

use syc_cell::ports::Record;
use syc_cell::records::RosterRecord;
use syc_cell::records::read_roster;
use syc_cell::records::roster;
use syc_sched::WorkerSpec;
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
