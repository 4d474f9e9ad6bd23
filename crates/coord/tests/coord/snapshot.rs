//! A snapshot and what follows it make the same state as the whole log.

use proptest::prelude::*;
use syc_config::Document;
use syc_config::Team;
use syc_coord::AuditTrail;
use syc_coord::ConfigStore;
use syc_coord::Jobs;
use syc_coord::LogState;
use syc_coord::Place;
use syc_coord::TaskState;
use syc_coord::Tombstones;
use syc_coord::Verdict;
use syc_coord::records::ConfigRecord;
use syc_coord::snapshot;
use syc_coord::snapshot::SnapshotItem;
use syc_coord::snapshot::SnapshotOptions;
use syc_coord::snapshot::SnapshotPart;
use syc_coord::snapshot::SnapshotProgress;
use syc_coord::snapshot::SnapshotReader;
use syc_member::Views;
use syc_types::JobId;
use syc_types::JobSpec;
use syc_types::Revision;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::TeamId;
use test_case::test_case;
use uuid::Uuid;

use crate::runner::runner;

const JOBS: u8 = 4;
const TASKS: u32 = 3;
const KEPT_MS: u64 = 5;

#[derive(Debug, Clone)]
enum Op {
    Publish {
        publication: u8,
        base: u8,
        scope: u8,
    },
    Accept(u8),
    Intend(u8, u32),
    End(u8, u32, bool),
    Cancel(u8),
    Tombstone(u8),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        (0..20_u8, 0..4_u8, 0..2_u8).prop_map(|(publication, base, scope)| Op::Publish {
            publication,
            base,
            scope
        }),
        (0..JOBS).prop_map(Op::Accept),
        (0..JOBS, 0..TASKS).prop_map(|(job, index)| Op::Intend(job, index)),
        (0..JOBS, 0..TASKS, any::<bool>()).prop_map(|(job, index, done)| Op::End(job, index, done)),
        (0..JOBS).prop_map(Op::Cancel),
        (0..20_u8).prop_map(Op::Tombstone),
    ]
}

#[derive(Debug, Clone, Default)]
struct State {
    config: ConfigStore,
    audit: AuditTrail,
    jobs: Jobs,
    tombstones: Tombstones,
}

fn job_id(job: u8) -> JobId {
    JobId(Uuid::from_u128(u128::from(job) + 1))
}

fn config_record(publication: u8, base: u8, scope: u8) -> ConfigRecord {
    ConfigRecord {
        publication: Uuid::from_u128(u128::from(publication)),
        author: "a".into(),
        base: Revision(u64::from(base)),
        document: Document::Team(Team {
            name: TeamId::new(format!("team-{scope}")),
            weight: u32::from(publication) + 1,
            ..Team::default()
        }),
    }
}

impl State {
    fn apply(&mut self, offset: u64, op: &Op) {
        match op {
            Op::Publish {
                publication,
                base,
                scope,
            } => {
                let record = config_record(*publication, *base, *scope);
                let verdict = self.config.apply(offset, &record);
                let place = Place {
                    id: record.publication,
                    offset,
                    at_ms: offset,
                };
                self.audit.config(place, &record, &verdict);
            }
            Op::Accept(job) => {
                let spec = JobSpec {
                    tasks: TASKS,
                    ..JobSpec::default()
                };
                self.jobs.accept(job_id(*job), &spec);
            }
            Op::Intend(job, index) => self.jobs.intend(TaskRef {
                job_id: job_id(*job),
                index: *index,
            }),
            Op::End(job, index, done) => {
                let outcome = if *done {
                    TaskOutcome::Done("r".into())
                } else {
                    TaskOutcome::Unknown
                };
                let task = TaskRef {
                    job_id: job_id(*job),
                    index: *index,
                };
                self.jobs.set(task, TaskState::Ended(outcome));
                self.jobs.note_end(task.job_id, offset);
            }
            Op::Cancel(job) => {
                self.jobs.cancel(job_id(*job));
                self.jobs.note_end(job_id(*job), offset);
            }
            Op::Tombstone(of) => self.tombstones.add(Uuid::from_u128(u128::from(*of))),
        }
        self.jobs.forget_before(offset.saturating_sub(KEPT_MS));
    }

    fn cut(&self, covers: u64) -> Vec<SnapshotPart> {
        let state = LogState {
            config: &self.config,
            audit: &self.audit,
            jobs: &self.jobs,
            views: &Views::default(),
            tombstones: &self.tombstones,
        };
        snapshot::cut(Uuid::nil(), covers, &state)
    }

    fn restored(parts: &[SnapshotPart]) -> Self {
        let mut reader = SnapshotReader::default();
        let mut progress = SnapshotProgress::default();
        let mut found = None;
        for part in parts {
            let json = serde_json::to_string(part).expect("JSON");
            let part = serde_json::from_str(&json).expect("part");
            assert_eq!(found, None, "complete before its last part");
            found = reader.observe(&part);
            let covers = found.as_ref().map(|found| found.covers);
            assert_eq!(progress.observe(&part), covers);
        }
        let found = found.expect("complete");
        let mut state = Self::default();
        for item in &found.items {
            match item {
                SnapshotItem::Config(in_force) => {
                    state.config.restore(in_force.clone());
                }
                SnapshotItem::Verdict {
                    publication,
                    verdict,
                } => state.config.restore_verdict(*publication, verdict.clone()),
                SnapshotItem::Audit(entry) => state.audit.restore(entry.clone()),
                SnapshotItem::Tombstone { of } => state.tombstones.add(*of),
                SnapshotItem::Views(_) | SnapshotItem::Job { .. } | SnapshotItem::Tasks { .. } => {}
            }
        }
        for job in snapshot::jobs_of(&found.items) {
            state.jobs.restore(job);
        }
        state
    }
}

#[test]
fn a_snapshot_and_its_tail_equal_the_whole_log() {
    let mut runner = runner(500);
    let schedule = (
        proptest::collection::vec(op(), 0..60),
        any::<prop::sample::Index>(),
    );
    let checked = runner.run(&schedule, |(ops, cut)| {
        let cut = cut.index(ops.len() + 1);
        let mut whole = State::default();
        let mut resumed = State::default();
        for (offset, op) in (0..).zip(&ops) {
            if offset == cut as u64 {
                resumed = State::restored(&whole.cut(offset));
            }
            whole.apply(offset, op);
            if offset >= cut as u64 {
                resumed.apply(offset, op);
            }
        }
        if cut == ops.len() {
            resumed = State::restored(&whole.cut(0));
        }
        prop_assert_eq!(whole.cut(0), resumed.cut(0));
        prop_assert_eq!(&whole.config, &resumed.config);
        Ok(())
    });
    checked.expect("every cut resumes alike");
}

// The naive store: a list of everything accepted, searched from its beginning.
#[test]
fn the_store_decides_as_a_list_of_all_records_does() {
    let mut runner = runner(500);
    let record = (0..12_u8, 0..5_u8, 0..2_u8);
    let records = proptest::collection::vec(record, 0..40);
    let checked = runner.run(&records, |records| {
        let mut store = ConfigStore::default();
        let mut decided: Vec<(Uuid, String, Verdict)> = Vec::new();
        for (offset, (publication, base, scope)) in (0..).zip(records) {
            let record = config_record(publication, base, scope);
            let name = record.document.scope().to_string();
            let before = decided.iter().find(|it| it.0 == record.publication);
            let decide = || {
                let accepted = decided.iter().filter(|(_, scope, verdict)| {
                    *scope == name && matches!(verdict, Verdict::Accepted(_))
                });
                let current = accepted.count() as u64;
                if current == u64::from(base) {
                    Verdict::Accepted(Revision(current + 1))
                } else {
                    Verdict::Conflict(Revision(current))
                }
            };
            let expected = before.map_or_else(decide, |it| it.2.clone());
            if before.is_none() {
                decided.push((record.publication, name, expected.clone()));
            }
            prop_assert_eq!(store.apply(offset, &record), expected);
        }
        Ok(())
    });
    checked.expect("every order is decided alike");
}

#[test]
fn a_document_of_a_peer_never_reverts_one_in_force() {
    let mut old = ConfigStore::default();
    old.apply(0, &config_record(1, 0, 0));
    let mut new = old.clone();
    new.apply(1, &config_record(2, 1, 0));
    for (_, in_force) in old.documents() {
        assert!(!new.restore(in_force.clone()));
    }
    assert_eq!(new.revision("team/team-0"), Revision(2));
    for (_, in_force) in new.documents() {
        assert!(old.restore(in_force.clone()));
    }
    assert_eq!(old.revision("team/team-0"), Revision(2));
}

#[test]
fn verdicts_are_bounded() {
    let mut store = ConfigStore::default();
    for number in 0..10_000 {
        store.restore_verdict(Uuid::from_u128(number), Verdict::Conflict(Revision(1)));
    }
    assert_eq!(store.verdicts().count(), 4_096);
    assert_eq!(store.verdict(Uuid::from_u128(0)), None);
    assert!(store.verdict(Uuid::from_u128(9_999)).is_some());
}

#[test]
fn a_large_state_is_cut_into_bounded_parts() {
    let mut state = State::default();
    let spec = JobSpec {
        tasks: 1_000,
        ..JobSpec::default()
    };
    for number in 0..4 {
        state.jobs.accept(job_id(number), &spec);
        for index in 0..1_000 {
            let task = TaskRef {
                job_id: job_id(number),
                index,
            };
            let result = TaskOutcome::Done("a result of some size".repeat(4).into());
            state.jobs.set(task, TaskState::Ended(result));
        }
    }
    let parts = state.cut(5);
    assert!(parts.len() > 2);
    for part in &parts {
        let size = serde_json::to_vec(part).expect("JSON").len();
        assert!(size < 160 * 1024, "{size} bytes");
    }
    assert_eq!(State::restored(&parts).cut(5), parts);
}

#[test_case(0, 100, 0, true; "the first by entries")]
#[test_case(1, 100, 0, false; "the second waits longer")]
#[test_case(1, 125, 0, true; "the second stands in")]
#[test_case(0, 1, 1_000, true; "the first by age")]
#[test_case(0, 0, 9_000, false; "nothing new")]
fn one_member_writes_and_others_stand_in(rank: u64, entries: u64, age_ms: u64, due: bool) {
    let options = SnapshotOptions {
        entries: 100,
        age_ms: 1_000,
    };
    assert_eq!(snapshot::due(&options, rank, entries, age_ms), due);
}
