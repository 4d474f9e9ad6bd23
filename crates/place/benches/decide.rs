//! Decisions a second and the slowest hundredth, by index and by full scan, in one run.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use syc_place::Action;
use syc_place::Ended;
use syc_place::Event;
use syc_place::Ledger;
use syc_place::OfferKey;
use syc_place::Order;
use syc_place::Owner;
use syc_place::OwnerOptions;
use syc_place::Report;
use syc_place::Reported;
use syc_place::StartAnswer;
use syc_place::Tier;
use syc_place::WorkerInfo;
use syc_place::WorkerKey;
use syc_types::JobId;
use syc_types::JobSpec;
use syc_types::Millis;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::TeamId;
use syc_types::WorkerId;
use syc_types::Zone;
use uuid::Uuid;

/// Tasks that run while decisions are made.
const RUNNING: u32 = 13_000;

/// Decisions of each kind.
const DECISIONS: u32 = 30_000;

/// Longest time that each kind is measured.
const LIMIT: Duration = Duration::from_secs(4);

/// Longest decision that is told apart.
const LONGEST_NS: u64 = 1_000_000_000;

type Choose = fn(&Ledger, &Resources) -> Option<WorkerKey>;

fn main() {
    println!("workers choice decisions_per_s p50_us p99_us max_us");
    for workers in [50, 990, 10_000] {
        measure(workers, "index", |ledger, need| {
            ledger.best_fit_in(need, Tier::Ordinary)
        });
        measure(workers, "scan", |ledger, need| {
            ledger.best_fit_by_scan(need, Tier::Ordinary)
        });
        measure_owner(workers);
    }
    measure_cancelling();
}

/// Measures an owner's whole decision: a task ends, its end is taken from a report, another is
/// offered, placed, and its start is answered.
fn measure_owner(workers: u32) {
    let mut random = SmallRng::seed_from_u64(7);
    let mut owner = Owner::new(OwnerOptions::default());
    let infos = (0..workers).map(info).collect();
    let mut actions = Vec::new();
    owner.handle(Event::Workers { workers: infos }, Millis(0), &mut actions);
    let keys: Vec<_> = owner.ledger().workers().map(|(key, _)| key).collect();
    for key in keys {
        report(&mut owner, key, Vec::new(), Vec::new());
    }
    let mut running = Vec::new();
    for number in 0..RUNNING {
        running.extend(place(&mut owner, &mut random, workers, number));
    }
    let mut times = Histogram::<u64>::new_with_max(LONGEST_NS, 3).expect("histogram");
    let began = Instant::now();
    let mut decided = 0;
    while decided < DECISIONS && began.elapsed() < LIMIT {
        let ended = running.swap_remove(random.random_range(0..running.len()));
        let start = Instant::now();
        end(&mut owner, &ended);
        let next = place(&mut owner, &mut random, workers, RUNNING + decided);
        let took = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        times.saturating_record(took);
        running.extend(next);
        decided += 1;
    }
    show(workers, "owner", &times, decided);
}

/// Measures the cancelling of 10,000 waiting tasks, in the turns that the daemon takes.
fn measure_cancelling() {
    let mut owner = Owner::new(OwnerOptions::default());
    let mut actions = Vec::new();
    owner.handle(
        Event::Workers {
            workers: vec![info(0)],
        },
        Millis(0),
        &mut actions,
    );
    let spec = Rc::new(JobSpec {
        team: TeamId::new("a"),
        ..JobSpec::default()
    });
    let job_id = JobId(Uuid::from_u128(1));
    for index in 0..10_000 {
        let order = order(job_id, index, &spec);
        let offer = OfferKey(u64::from(index));
        owner.handle(Event::Offered { offer, order }, Millis(0), &mut actions);
    }
    let indexes: Vec<u32> = (0..10_000).collect();
    let mut longest = Duration::ZERO;
    let began = Instant::now();
    for part in indexes.chunks(256) {
        let start = Instant::now();
        let indexes = part.to_vec();
        owner.handle(Event::Stopped { job_id, indexes }, Millis(1), &mut actions);
        longest = longest.max(start.elapsed());
    }
    println!(
        "10,000 cancelled in {} us, longest turn {} us",
        began.elapsed().as_micros(),
        longest.as_micros()
    );
}

fn order(job_id: JobId, index: u32, spec: &Rc<JobSpec>) -> Order {
    Order {
        job_id,
        spec: Rc::clone(spec),
        indexes: vec![index],
        attempt: 1,
        wait_ms: 1_000_000,
        hold_ms: 0,
    }
}

fn place(
    owner: &mut Owner,
    random: &mut SmallRng,
    workers: u32,
    number: u32,
) -> Option<(WorkerKey, Reported)> {
    let task = task(number);
    let spec = Rc::new(JobSpec {
        team: TeamId::new(format!("team-{}", number % 21)),
        resources: need(random, workers),
        run_time_ms: 60_000,
        ..JobSpec::default()
    });
    let mut order = order(task.job_id, task.index, &spec);
    order.wait_ms = 0;
    let offer = OfferKey(u64::from(number));
    let mut actions = Vec::new();
    owner.handle(Event::Offered { offer, order }, Millis(1), &mut actions);
    let Some(Action::Start { worker, .. }) = actions.pop() else {
        return None;
    };
    let answered = Event::StartAnswered {
        task,
        attempt: 1,
        answer: StartAnswer::Started,
    };
    owner.handle(answered, Millis(1), &mut actions);
    let reported = Reported {
        task,
        attempt: 1,
        team: spec.team.clone(),
        name: spec.name.clone(),
        idempotent: true,
        urgent: false,
        resources: spec.resources,
    };
    report(owner, worker, vec![reported.clone()], Vec::new());
    Some((worker, reported))
}

fn end(owner: &mut Owner, (worker, reported): &(WorkerKey, Reported)) {
    let ended = Ended {
        task: reported.task,
        attempt: reported.attempt,
        team: reported.team.clone(),
        name: reported.name.clone(),
        outcome: TaskOutcome::Done("r".into()),
        ran_ms: 60_000,
    };
    report(owner, *worker, Vec::new(), vec![ended]);
    let kept = Event::EndKept {
        task: reported.task,
        attempt: reported.attempt,
    };
    owner.handle(kept, Millis(1), &mut Vec::new());
}

fn report(owner: &mut Owner, worker: WorkerKey, running: Vec<Reported>, finished: Vec<Ended>) {
    let Some(plan) = owner.plan_poll(worker, Millis(1)) else {
        return;
    };
    let report = Report {
        version: 1,
        full: false,
        running,
        gone: Vec::new(),
        finished,
    };
    let seq = plan.seq;
    let polled = Event::Polled {
        worker,
        seq,
        report,
    };
    owner.handle(polled, Millis(1), &mut Vec::new());
}

fn measure(workers: u32, name: &str, choose: Choose) {
    let mut random = SmallRng::seed_from_u64(7);
    let mut ledger = ledger(workers);
    let mut running = Vec::new();
    for number in 0..RUNNING {
        let need = need(&mut random, workers);
        if let Some(key) = ledger.best_fit_in(&need, Tier::Ordinary) {
            let granted = ledger.grant_in(task(number), key, need, Tier::Ordinary);
            running.extend(granted.ok().map(|()| task(number)));
        }
    }
    let mut times = Histogram::<u64>::new_with_max(LONGEST_NS, 3).expect("histogram");
    let began = Instant::now();
    let mut decided = 0;
    while decided < DECISIONS && began.elapsed() < LIMIT {
        let ended = running.swap_remove(random.random_range(0..running.len()));
        let need = need(&mut random, workers);
        let next = task(RUNNING + decided);
        let start = Instant::now();
        ledger.release(ended);
        if let Some(key) = choose(&ledger, &need) {
            let granted = ledger.grant_in(next, key, need, Tier::Ordinary);
            running.extend(granted.ok().map(|()| next));
        }
        let took = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        times.saturating_record(took);
        decided += 1;
    }
    show(workers, name, &times, decided);
}

fn show(workers: u32, name: &str, times: &Histogram<u64>, decided: u32) {
    let total_ns: f64 = times.mean() * f64::from(decided);
    let micros = |quantile| {
        let nanos = u32::try_from(times.value_at_quantile(quantile)).unwrap_or(u32::MAX);
        f64::from(nanos) / 1_000.0
    };
    println!(
        "{workers} {name} {:.0} {:.2} {:.2} {:.2}",
        f64::from(decided) / total_ns * 1e9,
        micros(0.5),
        micros(0.99),
        micros(1.0),
    );
}

fn ledger(workers: u32) -> Ledger {
    let mut ledger = Ledger::new();
    for number in 0..workers {
        ledger.upsert_worker(info(number));
    }
    ledger.set_headroom(50);
    ledger
}

fn info(number: u32) -> WorkerInfo {
    WorkerInfo {
        id: WorkerId::new(format!("worker-{number}")),
        address: "127.0.0.1:1".into(),
        zone: Zone::new(format!("zone-{}", number / 8 % 5)),
        rack: RackId::new(format!("rack-{}", number / 8)),
        capacity: Resources {
            cpu_millis: 64_000,
            memory_bytes: 256 << 30,
            accelerators: (number % 2) * 4,
        },
    }
}

/// Sizes whose sum fills about nine tenths of the workers.
fn need(random: &mut SmallRng, workers: u32) -> Resources {
    let mean_cpu = u64::from(workers) * 64_000 * 9 / 10 / u64::from(RUNNING);
    let mean_memory = u64::from(workers) * (256 << 30) * 8 / 10 / u64::from(RUNNING);
    Resources {
        cpu_millis: random
            .random_range(mean_cpu / 4..mean_cpu * 7 / 4)
            .min(60_000),
        memory_bytes: random
            .random_range(mean_memory / 4..mean_memory * 7 / 4)
            .min(240 << 30),
        accelerators: u32::from(random.random_ratio(1, 20)),
    }
}

fn task(number: u32) -> TaskRef {
    TaskRef {
        job_id: JobId(Uuid::from_u128(u128::from(number / 4))),
        index: number % 4,
    }
}
