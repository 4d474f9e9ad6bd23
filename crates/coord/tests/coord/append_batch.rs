//! Group commit, the cap on appends, back-off, and settling an append in doubt.

use proptest::prelude::*;
use syc_coord::AppendOptions;
use syc_coord::AppendPace;
use syc_coord::Doubt;
use syc_coord::Settled;
use syc_coord::Tombstones;
use syc_coord::Waiting;
use syc_coord::records::AuditRecord;
use syc_coord::records::Content;
use syc_coord::records::Group;
use syc_coord::records::Record;
use syc_types::Millis;
use test_case::test_case;
use uuid::Uuid;

use crate::runner::runner;

const OPTIONS: AppendOptions = AppendOptions {
    prompt_delay_ms: 5,
    relaxed_delay_ms: 500,
    group_records: 10,
    group_bytes: 1_000,
    appends_per_s: 2,
    burst: 20,
    backoff_min_ms: 100,
    backoff_max_ms: 5_000,
};

const fn waiting(records: usize, prompt: Option<u64>, relaxed: Option<u64>) -> Waiting {
    Waiting {
        records,
        bytes: records,
        urgent_since: None,
        prompt_since: match prompt {
            Some(at) => Some(Millis(at)),
            None => None,
        },
        relaxed_since: match relaxed {
            Some(at) => Some(Millis(at)),
            None => None,
        },
    }
}

#[test_case(waiting(0, None, None), None; "nothing waits")]
#[test_case(waiting(1, Some(100), None), Some(105); "a prompt record waits for others a little")]
#[test_case(waiting(1, None, Some(100)), Some(600); "a relaxed record waits longer")]
#[test_case(waiting(2, Some(300), Some(100)), Some(305); "a prompt record takes relaxed ones along")]
#[test_case(waiting(10, None, Some(100)), Some(100); "a full group does not wait")]
fn a_quiet_writer_is_due(waiting: Waiting, due: Option<u64>) {
    let pace = AppendPace::new(OPTIONS, Millis(0));
    assert_eq!(pace.due(&waiting, Millis(100)), due.map(Millis));
}

#[test]
fn urgent_records_find_a_reserve() {
    let mut pace = AppendPace::new(OPTIONS, Millis(0));
    for _ in 0..15 {
        pace.started(Millis(0));
    }
    // Five appends are left, all of them to urgent records.
    let others = waiting(1, Some(0), Some(0));
    assert_eq!(pace.due(&others, Millis(0)), Some(Millis(500)));
    let urgent = Waiting {
        records: 2,
        urgent_since: Some(Millis(0)),
        ..others
    };
    assert_eq!(pace.due(&urgent, Millis(0)), Some(Millis(5)));
}

#[test_case(1; "a record each millisecond")]
#[test_case(40; "a record each 40 ms")]
fn the_cap_holds_under_load(interval_ms: u64) {
    let mut pace = AppendPace::new(OPTIONS, Millis(0));
    let mut since = None;
    let mut appends = 0;
    for now in 0..60_000 {
        if now % interval_ms == 0 {
            since.get_or_insert(now);
        }
        let waits = waiting(usize::from(since.is_some()), since, None);
        if pace
            .due(&waits, Millis(now))
            .is_some_and(|due| due.0 <= now)
        {
            pace.started(Millis(now));
            pace.succeeded();
            since = None;
            appends += 1;
        }
    }
    let cap = OPTIONS.burst + OPTIONS.appends_per_s * 60;
    assert!(
        appends <= cap,
        "{appends} appends in a minute, {cap} allowed"
    );
    assert!(appends > cap / 2, "{appends} appends in a minute");
}

#[test_case(0, [50, 100, 200]; "least jitter")]
#[test_case(1_000, [100, 200, 400]; "most jitter")]
fn failures_back_off(jitter: u64, pauses: [u64; 3]) {
    let mut pace = AppendPace::new(OPTIONS, Millis(0));
    for pause_ms in pauses {
        assert_eq!(pace.failed(Millis(1_000), jitter), pause_ms);
        let due = pace.due(&waiting(1, Some(0), None), Millis(1_000));
        assert_eq!(due, Some(Millis(1_000 + pause_ms)));
    }
    for _ in 0..40 {
        assert!(pace.failed(Millis(1_000), jitter) <= OPTIONS.backoff_max_ms);
    }
    pace.succeeded();
    assert_eq!(pace.failed(Millis(1_000), jitter), pauses[0]);
}

fn audit(id: u128) -> Record {
    let content = Content::Audit(AuditRecord {
        actor: "a".into(),
        action: "b".into(),
        detail: "c".into(),
    });
    Record {
        id: Uuid::from_u128(id),
        at_ms: 0,
        content,
    }
}

fn tombstone(id: u128, of: u128) -> Record {
    let content = Content::Tombstone {
        of: Uuid::from_u128(of),
    };
    Record {
        id: Uuid::from_u128(id),
        at_ms: 0,
        content,
    }
}

#[derive(Debug, Clone, Copy)]
enum Entry {
    Doubtful,
    Tombstone,
    Other,
    Unreadable,
}

// The writer and every reader come to the same verdict, whatever stands in the log in which order.
#[test]
fn the_writer_settles_as_the_readers_do() {
    let entry = prop_oneof![
        Just(Entry::Doubtful),
        Just(Entry::Tombstone),
        Just(Entry::Other),
        Just(Entry::Unreadable),
    ];
    let mut runner = runner(500);
    let entries = proptest::collection::vec(entry, 0..12);
    let checked = runner.run(&entries, |entries| {
        let group = Group {
            records: vec![audit(1), audit(2)],
        };
        let mut doubt = Doubt::new(&group, 7);
        let mut read = Tombstones::default();
        let mut applied = None;
        let mut voided = false;
        for (offset, entry) in (7..).zip(&entries) {
            let records = match entry {
                Entry::Doubtful => group.records.clone(),
                Entry::Tombstone => vec![tombstone(100, 1), tombstone(101, 2)],
                Entry::Other => vec![audit(9), tombstone(102, 8)],
                Entry::Unreadable => {
                    doubt.observe(offset, None);
                    continue;
                }
            };
            doubt.observe(
                offset,
                Some(&Group {
                    records: records.clone(),
                }),
            );
            for record in records {
                if record.id == Uuid::from_u128(1) && !read.void(record.id) {
                    applied.get_or_insert(offset);
                }
                if let Content::Tombstone { of } = record.content {
                    read.add(of);
                    voided |= of == Uuid::from_u128(1);
                }
            }
        }
        let expected = match applied {
            Some(offset) => Some(Settled::Counts { offset }),
            None if voided => Some(Settled::Void),
            None => None,
        };
        prop_assert_eq!(doubt.settled(), expected);
        prop_assert_eq!(doubt.tombstones().count(), 2);
        Ok(())
    });
    checked.expect("every order settles alike");
}
