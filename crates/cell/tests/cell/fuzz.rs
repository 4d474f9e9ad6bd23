//! Fuzzes the decoders of records in the store and of frames between nodes.

use bytes::Bytes;
use syc_cell::ports::OrderError;
use syc_cell::ports::Record;
use syc_cell::records;
use syc_cell::records::DrainsRecord;
use syc_cell::records::HolderRecord;
use syc_cell::records::JobRecord;
use syc_cell::records::RosterRecord;
use syc_cell::shedding::ShedView;
use syc_cell::worker_command::RelayedCall;
use syc_cell::worker_command::read_reply;
use syc_cell::worker_command::write_reply;
use syc_fleet::SchedulerHarness;
use syc_fleet::fuzz::mutated_bytes;
use syc_fleet::fuzz::mutated_fields;
use syc_fleet::fuzz::random_bytes;
use syc_fleet::fuzz::unknown_fields;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobProgress;
use syc_sched::JobSpec;
use syc_sched::JobState;
use syc_sched::Run;
use syc_sched::Schedule;
use syc_sched::StartInDoubtProgress;
use syc_sched::StartRefusal;
use syc_sched::StepProgress;
use syc_sched::StepSpec;
use syc_sched::UnitProgress;
use syc_sched::Version;
use syc_sched::WaveProgress;
use syc_sched::WorkerSpec;
use syc_types::CellTime;
use syc_types::Millis;
use syc_types::TimeOfDay;
use syc_types::WorkerId;
use syc_wire::Body;
use syc_wire::Message;
use syc_wire::RunRequest;
use syc_wire::Submit;
use syc_wire::WireJobSpec;
use syc_wire::cell::AdviceQuery;
use syc_wire::cell::AdviceReply;
use syc_wire::cell::AllowedWorker;
use syc_wire::cell::CellBody;
use syc_wire::cell::CellMessage;
use syc_wire::cell::ConfigurationQuery;
use syc_wire::cell::ConfigurationReply;
use syc_wire::cell::Contact;
use syc_wire::cell::ContactReply;
use syc_wire::cell::ElectedScheduler;
use syc_wire::cell::SHED_ROWS_LIMIT;
use syc_wire::cell::ShedRow;
use syc_wire::cell::StoredNotice;
use syc_wire::worker_call::WorkerCall;

use crate::cluster::job;
use crate::cluster::step;
use crate::cluster::worker;
use crate::relaying;

const JOB: u64 = 0x0a0b_0c0d_0e0f_0001;

/// Runs a decoder on each kind of generated input.
fn fuzz<T, F>(valid: &[Vec<u8>], read: F)
where
    T: PartialEq + std::fmt::Debug,
    F: Fn(&[u8]) -> Option<T>,
{
    random_bytes(&read);
    mutated_bytes(valid, &read);
    mutated_fields(valid, &read);
    unknown_fields(valid, false, &read);
}

fn record(key: &str, value: &[u8]) -> Record {
    Record {
        key: key.into(),
        value: Bytes::copy_from_slice(value),
    }
}

fn specs() -> [JobSpec; 2] {
    let gang = StepSpec {
        gang: true,
        after: vec![0],
        checkpointed: true,
        tasks_per_worker: Some(1),
        data_rack: Some("rack".into()),
        ..step(2, 900)
    };
    let lasting = StepSpec {
        long_running: true,
        image: "shop".into(),
        tail_limit_ms: Some(40),
        unavailable_limit: Some(1),
        ..step(2, 0)
    };
    let repeated = JobSpec {
        schedule: Schedule {
            occurrences: 2,
            first_at_ms: TimeOfDay(1_790_000_000_000),
            interval_ms: 500,
        },
        accepted_at_ms: TimeOfDay(1_790_000_000_000),
        ..job(JOB, vec![lasting])
    };
    let plain = JobSpec {
        accepted_at_ms: TimeOfDay(1_790_000_000_000),
        ..job(JOB, vec![step(3, 100), gang])
    };
    [plain, repeated]
}

fn values<const N: usize>(records: [Record; N]) -> Vec<Vec<u8>> {
    records.map(|record| record.value.to_vec()).to_vec()
}

fn read_spec(value: &[u8]) -> Option<JobSpec> {
    let key = format!("{JOB:016x}");
    match records::read_job(&record(&key, value)) {
        JobRecord::Submitted(spec) => Some(*spec),
        JobRecord::Cancelled(_) | JobRecord::Removed | JobRecord::Unreadable { .. } => None,
    }
}

#[test]
fn records_of_jobs() {
    fuzz(
        &values(specs().map(|spec| records::submitted(&spec))),
        |value| {
            let spec = read_spec(value)?;
            let mut core = SchedulerHarness::start(Some((spec.clone(), None)));
            core.run_ticks();
            Some(spec)
        },
    );
}

fn progress() -> JobProgress {
    let running = UnitProgress {
        failures: 1,
        last_started: Run(3),
        last_accounted: Run(2),
        last_failed: Run(2),
        checkpoint: "c".into(),
        workers: vec![worker(0).id],
        unanswered_until_cell_ms: Some(CellTime(86_400_000)),
        ..UnitProgress::default()
    };
    let done = UnitProgress {
        done: true,
        ..UnitProgress::default()
    };
    JobProgress {
        version: Version {
            token: 7,
            change: 3,
        },
        state: JobState::Running,
        steps: vec![
            StepProgress {
                done: false,
                units: [(0, done), (1, running)].into(),
            },
            StepProgress::default(),
        ],
        starts_in_doubt: vec![StartInDoubtProgress {
            occurrence: 0,
            step: 0,
            index: 0,
            run: Run(1),
            worker: worker(0).id,
            until_cell_ms: CellTime(86_400_000),
        }],
        workspace: Some("a".into()),
        ended_at_ms: TimeOfDay(0),
        ended_at_cell_ms: None,
    }
}

#[test]
fn records_of_progress() {
    let ended = JobProgress {
        state: JobState::Completed,
        ended_at_ms: TimeOfDay(1_790_000_000_000),
        ended_at_cell_ms: Some(CellTime(86_400_000)),
        ..JobProgress::default()
    };
    let kept = [progress(), ended].map(|kept| records::progress(JobId(JOB), &kept));
    fuzz(&values(kept), |value| {
        let key = format!("{JOB:016x}");
        let (_, progress) = records::read_progress(&record(&key, value)).ok()?;
        for spec in specs() {
            let mut core = SchedulerHarness::start(Some((spec, Some(progress.clone()))));
            core.run_ticks();
        }
        Some(progress)
    });
}

#[test]
fn rosters() {
    let roster = RosterRecord {
        token: 7,
        change: 1,
        workers: vec![worker(0), worker(1)],
    };
    let parts = records::roster(&roster);
    let valid: Vec<_> = parts.iter().map(|part| part.value.to_vec()).collect();
    fuzz(&valid, read_roster);
}

fn read_roster(value: &[u8]) -> Option<Vec<WorkerSpec>> {
    let (workers, unreadable) = records::read_roster(&[record("workers/0", value)]);
    let mut core = SchedulerHarness::start(Some((specs()[0].clone(), None)));
    for worker in workers.clone() {
        core.handle(Event::WorkerListed(worker));
    }
    core.run_ticks();
    unreadable.is_empty().then_some(workers)
}

#[test]
fn records_of_drains() {
    let drains = DrainsRecord {
        token: 7,
        change: 1,
        workers: vec![worker(0).id, worker(1).id],
        draining: vec![worker(2).id],
    };
    let valid = records::drains(&drains).value.to_vec();
    fuzz(&[valid], read_drains);
}

fn read_drains(value: &[u8]) -> Option<Vec<WorkerId>> {
    let (workers, unreadable) = records::read_drains(&[record(records::DRAINS_KEY, value)]);
    unreadable.is_empty().then_some(workers)
}

/// The capacities of all workers are summed, and one worker must not overflow the sum.
#[test]
fn a_roster_with_an_impossible_capacity_is_rejected() {
    let mut workers = vec![worker(0), worker(1)];
    workers[1].capacity.cpu_millis = u64::MAX;
    let roster = RosterRecord {
        token: 7,
        change: 1,
        workers,
    };
    let part = records::roster(&roster).remove(0);
    assert_eq!(read_roster(&part.value), None);
}

#[test]
fn records_of_waves() {
    let wave = WaveProgress {
        number: 4,
        ordered: vec!["m-0".into()],
        begun: vec!["m-1".into()],
        completed: false,
    };
    fuzz(&values([records::wave(7, 1, &wave)]), |value| {
        let (waves, unreadable) = records::read_waves(&[record("waves/4", value)]);
        unreadable.is_empty().then_some(waves)
    });
}

#[test]
fn heartbeats() {
    let holder = HolderRecord {
        node: "node-0".into(),
        address: "10.0.0.1:7000".into(),
        incarnation: 9,
        token: 7,
        released: true,
        successor: "node-1".into(),
        proves: true,
        workers: 3_000,
    };
    fuzz(&values([records::holder(&holder)]), |value| {
        serde_json::from_slice::<HolderRecord>(value).ok()
    });
}

fn elected_scheduler() -> ElectedScheduler {
    ElectedScheduler {
        node: "node-2".into(),
        address: "10.0.0.2:7000".into(),
        incarnation: 14,
        token: 9,
    }
}

fn shed_row(workspace: &str) -> ShedRow {
    ShedRow {
        workspace: workspace.into(),
        queue: "queue".into(),
        wait_ms: 9_000,
    }
}

#[test]
fn frames_between_nodes() {
    let bodies = [
        CellBody::Contact(Contact {
            node: "node-1".into(),
            address: "10.0.0.1:7000".into(),
            store_answers: true,
            token: 7,
            day_ms: 1_790_000_000_000,
            heard_at_ms: 11,
            predecessor_incarnation: 12,
            elected: Some(elected_scheduler()),
            files_limit: 4_100,
            zone: "zone".into(),
            has_fast_link: true,
            is_informed: true,
            has_read_ahead: true,
            configuration_version: 3,
            configuration_age_ms: Some(40),
        }),
        CellBody::ContactReply(ContactReply {
            token: 7,
            incarnation: 13,
            elected: Some(elected_scheduler()),
            shed_rows: vec![shed_row("a"), shed_row("b")],
            shed_rows_age_ms: 90,
            next_contact_ms: 600,
            candidate_rank: 2,
            informs: true,
            configuration_version: 4,
            hands_over_soon: true,
            configuration_age_ms: Some(50),
            ..ContactReply::default()
        }),
        CellBody::ConfigurationQuery(ConfigurationQuery {
            known_version: 3,
            lacks_store: true,
        }),
        CellBody::ConfigurationReply(ConfigurationReply {
            key: "config".into(),
            value: Bytes::from_static(b"{}"),
        }),
        CellBody::AdviceQuery(AdviceQuery {
            job: JOB,
            step: 1,
            workers: vec!["w-0".into(), "w-1".into()],
            timeout_ms: 300,
            occurrence: 2,
        }),
        CellBody::AdviceReply(AdviceReply {
            given: true,
            allowed: vec![AllowedWorker {
                worker: "w-0".into(),
                ticket: "t".into(),
            }],
            validity_ms: 1_800,
        }),
        CellBody::StoredNotice(StoredNotice {
            key: "0a0b0c0d0e0f0001".into(),
            value: Bytes::from_static(b"{}"),
            partition: 3,
        }),
        CellBody::WorkerCall(WorkerCall::from(&relaying::relayed_start())),
        CellBody::WorkerCallReply(write_reply(&Ok(relaying::renewed_answer()))),
        CellBody::WorkerCallReply(write_reply(&Err(OrderError::Refused(StartRefusal::Late)))),
    ];
    let valid = bodies.map(|body| CellMessage::encode_body(body).to_vec());
    let read = |frame: &[u8]| {
        let body = CellMessage::decode_body(frame).ok()?;
        match &body {
            CellBody::ContactReply(reply) => {
                let view = ShedView::from_reply(reply, Millis(7));
                assert!(view.rows.len() <= SHED_ROWS_LIMIT);
            }
            CellBody::WorkerCall(call) => {
                let _call = RelayedCall::try_from(call.clone()).ok()?;
            }
            CellBody::WorkerCallReply(reply) => {
                let _answer = read_reply(reply.clone()).ok()?;
            }
            _other => {}
        }
        Some(body)
    };
    random_bytes(read);
    mutated_bytes(&valid, read);
    frames_with_an_unknown_field(&valid, read);
}

/// Checks that a decoder ignores an unknown string field (number 100), as a later version may add one.
fn frames_with_an_unknown_field<T, F>(valid: &[Vec<u8>], read: F)
where
    T: PartialEq + std::fmt::Debug,
    F: Fn(&[u8]) -> Option<T>,
{
    for frame in valid {
        let mut later = frame.clone();
        prost::encoding::string::encode(100, &"later".to_owned(), &mut later);
        assert_eq!(read(&later), read(frame));
    }
}

/// Frames between daemons use the same decoder.
#[test]
fn frames_between_daemons() {
    let spec = WireJobSpec {
        team: "team".into(),
        name: "name".into(),
        kind: 1,
        class: 2,
        tasks: 3,
        cpu_millis: 250,
        payload: "p".into(),
        ..WireJobSpec::default()
    };
    let bodies = [
        Body::Submit(Submit {
            job_id: vec![7; 16],
            spec,
        }),
        Body::RunRequest(RunRequest {
            request_id: vec![9; 16],
            service: "s".into(),
            path: "/p".into(),
            class: 1,
            remaining_ms: 900,
            ..RunRequest::default()
        }),
    ];
    let valid = bodies.map(|body| Message::new(3, body).to_bytes().to_vec());
    let read = |frame: &[u8]| {
        let (epoch, body) = Message::from_bytes(Bytes::copy_from_slice(frame)).ok()?;
        if let Body::Submit(submit) = &body {
            let _spec = syc_types::JobSpec::try_from(submit.spec.clone()).ok()?;
        }
        Some((epoch, body))
    };
    random_bytes(read);
    mutated_bytes(&valid, read);
    frames_with_an_unknown_field(&valid, read);
}
