//! Time of applying the log's records and of deciding, and memory of live jobs and tasks:
//! `cargo bench -p syc-coord --bench fold`.

use std::hint::black_box;
use std::time::Instant;

use syc_coord::AuditTrail;
use syc_coord::Home;
use syc_coord::HomeOptions;
use syc_coord::Jobs;
use syc_coord::LogState;
use syc_coord::TaskState;
use syc_coord::Tombstones;
use syc_coord::home::Action;
use syc_coord::home::StartOutcome;
use syc_coord::records::Content;
use syc_coord::records::Group;
use syc_coord::records::Record;
use syc_coord::snapshot;
use syc_member::Views;
use syc_types::Epoch;
use syc_types::JobId;
use syc_types::JobSpec;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::TeamId;
use uuid::Uuid;

const RECORDS: u32 = 100_000;
const GROUP: u32 = 32;
const JOBS: u32 = 40_000;
const TASKS: u32 = 400_000;
const TEAMS: u32 = 21;

fn main() {
    // First, as memory that was given back would be used again unseen.
    let job_bytes = memory(JOBS, 1);
    let task_bytes = memory(TASKS / 1_000, 1_000) / 1_000;
    println!("memory of a live job with one running task: {job_bytes} bytes");
    println!("memory of a running task of a large job: {task_bytes} bytes");
    fold();
    for tasks in [1_000, 4_000, 13_000, 52_000] {
        decide(tasks);
    }
    cut();
}

fn job_id(number: u32) -> JobId {
    JobId(Uuid::from_u128(u128::from(number) + 1))
}

fn spec(number: u32, tasks: u32) -> JobSpec {
    JobSpec {
        team: TeamId::new(format!("team-{}", number % TEAMS)),
        name: "temperature-log reconstruction".into(),
        tasks,
        resources: Resources {
            cpu_millis: 2_000,
            memory_bytes: 1 << 30,
            accelerators: 1,
        },
        run_time_ms: 60_000,
        payload: "dossier/1234567890/run".into(),
        ..JobSpec::default()
    }
}

fn record(number: u32) -> Record {
    let job = number / 2;
    let content = if number.is_multiple_of(2) {
        Content::JobAccepted {
            job_id: job_id(job),
            spec: spec(job, 1),
        }
    } else {
        Content::TaskEnded {
            task: TaskRef {
                job_id: job_id(job),
                index: 0,
            },
            outcome: TaskOutcome::Done("result".into()),
        }
    };
    Record {
        id: Uuid::from_u128(u128::from(number)),
        at_ms: 0,
        content,
    }
}

fn apply(jobs: &mut Jobs, record: &Record, offset: u64) {
    match &record.content {
        Content::JobAccepted { job_id, spec } => {
            jobs.accept(*job_id, spec);
        }
        Content::TaskEnded { task, outcome } => {
            jobs.set(*task, TaskState::Ended(outcome.clone()));
            jobs.note_end(task.job_id, offset);
        }
        _ => {}
    }
}

fn fold() {
    let mut groups = Vec::new();
    let mut bytes = 0;
    for first in (0..RECORDS).step_by(GROUP as usize) {
        let records = (first..first + GROUP).map(record).collect();
        let encoded = Group { records }.to_bytes().expect("JSON");
        bytes += encoded.len();
        groups.push(encoded);
    }
    let began = Instant::now();
    let mut jobs = Jobs::default();
    for (offset, encoded) in (0..).zip(&groups) {
        let group = Group::from_bytes(encoded).expect("group");
        for record in &group.records {
            apply(&mut jobs, record, offset);
        }
        jobs.forget_before(offset.saturating_sub(1_000));
    }
    let elapsed = began.elapsed();
    let thousands = RECORDS / 1_000;
    println!(
        "reading and applying 1,000 records in groups of {GROUP}: {:.2} ms; a record has {} bytes",
        elapsed.as_secs_f64() * 1_000.0 / f64::from(thousands),
        bytes / RECORDS as usize,
    );
    black_box(jobs);
}

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").expect("statm");
    let pages = text.split_whitespace().nth(1).expect("resident pages");
    pages.parse::<usize>().expect("number") * 4_096
}

// Bytes for each job, its tasks running.
fn memory(count: u32, tasks: u32) -> usize {
    let before = resident_bytes();
    let (home, jobs) = running(count, tasks);
    let after = resident_bytes();
    // Kept, so that the next measurement finds nothing to use again.
    std::mem::forget(black_box((home, jobs)));
    after.saturating_sub(before) / count as usize
}

fn running(count: u32, tasks: u32) -> (Home, Jobs) {
    let mut jobs = Jobs::default();
    let mut home = Home::new(HomeOptions {
        offers: usize::MAX,
        ..HomeOptions::default()
    });
    let members = vec![MemberId::new("entry-0"), MemberId::new("entry-1")];
    home.enter(Epoch(1), members, |_| true, &jobs, Millis(0));
    for number in 0..count {
        let id = job_id(number);
        home.accepting(id);
        jobs.accept(id, &spec(number, tasks));
        home.learn(jobs.get(id).expect("job"), true, Millis(0));
    }
    for action in home.actions(|_| true, &jobs, &[], true, Millis(0)) {
        let Action::Place(placement) = action else {
            continue;
        };
        let owner = placement.parts[0].owner.clone();
        let started = StartOutcome::Started {
            owner,
            worker: "worker-17".into(),
        };
        let index = placement.parts[0].indexes[0];
        home.placed(&placement, &[(index, started)], &jobs, Millis(0));
    }
    (home, jobs)
}

// Time of a decision with so many tasks running and nothing to do, and of one start.
fn decide(tasks: u32) {
    let (mut home, mut jobs) = running(tasks, 1);
    let rounds = 200;
    let began = Instant::now();
    for _ in 0..rounds {
        black_box(home.actions(|_| true, &jobs, &[], true, Millis(1)));
    }
    let idle_us = began.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
    let began = Instant::now();
    for number in tasks..tasks + rounds {
        let id = job_id(number);
        home.accepting(id);
        jobs.accept(id, &spec(number, 1));
        home.learn(jobs.get(id).expect("job"), true, Millis(1));
        black_box(home.actions(|_| true, &jobs, &[], true, Millis(1)));
    }
    let start_us = began.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
    println!("{tasks} tasks running: idle decision {idle_us:.1} us, one start {start_us:.1} us");
}

fn cut() {
    let (_home, jobs) = running(13_000, 1);
    let state = LogState {
        config: &syc_coord::ConfigStore::default(),
        jobs: &jobs,
        views: &Views::default(),
        tombstones: &Tombstones::default(),
        audit: &AuditTrail::default(),
    };
    let began = Instant::now();
    let parts = snapshot::cut(Uuid::nil(), 0, &state);
    let cut_ms = began.elapsed().as_secs_f64() * 1_000.0;
    let mut bytes = 0;
    for part in &parts {
        bytes += serde_json::to_vec(part).expect("JSON").len();
    }
    println!(
        "snapshot of 13,000 live jobs: {cut_ms:.1} ms, {} parts, {bytes} bytes",
        parts.len()
    );
}
