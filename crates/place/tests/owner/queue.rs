//! Order of the queue, fair shares, gangs, reservations, backfill, urgent work.

use syc_place::Event;
use syc_place::Refusal;
use syc_types::Class;
use syc_types::JobId;
use syc_types::JobKind;
use syc_types::JobSpec;
use syc_types::TaskOutcome;
use syc_types::TeamId;
use test_case::test_case;
use uuid::Uuid;

use crate::bed::Bed;
use crate::bed::amount;
use crate::bed::spec;
use crate::bed::task;

const DONE: TaskOutcome = TaskOutcome::Done(smol_str::SmolStr::new_static("r"));

fn finish(bed: &mut Bed, job: u128) {
    bed.finish(task(job, 0), &DONE);
    bed.poll_all();
}

#[test]
fn a_repeated_offer_starts_nothing_again() {
    let mut bed = Bed::new(2, 1_000);
    let work = spec("a", Class::Normal, 600);
    let first = bed.offer(1, &[0], &work, 0);
    let again = bed.offer(1, &[0], &work, 0);
    assert_eq!(bed.answers[&first], bed.answers[&again]);
    assert_eq!(bed.runs(task(1, 0)), 1);
    finish(&mut bed, 1);
    bed.keep_ends();
    let late = bed.offer(1, &[0], &work, 0);
    assert_eq!(bed.answers[&late], Err(Refusal::AlreadyEnded));
}

#[test]
fn a_wait_ends_with_no_room() {
    let mut bed = Bed::new(1, 1_000);
    let work = spec("a", Class::Normal, 1_000);
    bed.offer(1, &[0], &work, 0);
    let waits = bed.offer(2, &[0], &work, 300);
    bed.pass(299);
    assert!(!bed.answers.contains_key(&waits));
    bed.pass(1);
    assert_eq!(bed.answers[&waits], Err(Refusal::NoRoom));
}

#[test]
fn classes_go_in_order_and_age_lifts_patient_work() {
    let mut bed = Bed::new(1, 1_000);
    let of = |class| spec("a", class, 1_000);
    bed.offer(1, &[0], &of(Class::Normal), 0);
    let patient = bed.offer(2, &[0], &of(Class::Patient), 1 << 40);
    bed.pass(60_000);
    let normal = bed.offer(3, &[0], &of(Class::Normal), 1 << 40);
    let urgent = bed.offer(4, &[0], &of(Class::Urgent), 1 << 40);
    finish(&mut bed, 1);
    assert!(bed.placed(urgent));
    finish(&mut bed, 4);
    assert!(bed.placed(patient) && !bed.placed(normal));
}

#[test]
fn teams_share_by_weight() {
    let mut bed = Bed::new(1, 1_000);
    bed.event(Event::Shares {
        teams: vec![(TeamId::new("a"), 3), (TeamId::new("b"), 1)],
        waiting_weight: 0,
        packing_weight: 1,
        spread_kinds: Vec::new(),
    });
    bed.offer(1, &[0], &spec("c", Class::Normal, 1_000), 0);
    let mut offers = Vec::new();
    for number in 0..20 {
        offers.push((
            "a",
            bed.offer(100 + number, &[0], &spec("a", Class::Normal, 125), 1 << 40),
        ));
        offers.push((
            "b",
            bed.offer(200 + number, &[0], &spec("b", Class::Normal, 125), 1 << 40),
        ));
    }
    finish(&mut bed, 1);
    let placed = |team| {
        let mut count = 0;
        for (owner, offer) in &offers {
            count += u32::from(*owner == team && bed.placed(*offer));
        }
        count
    };
    assert_eq!((placed("a"), placed("b")), (6, 2));
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut bed = Bed::new(3, 1_000);
    let gang = JobSpec {
        kind: JobKind::Gang,
        ..spec("a", Class::Normal, 800)
    };
    bed.offer(1, &[0], &spec("b", Class::Normal, 800), 0);
    let offer = bed.offer(2, &[0, 1, 2], &gang, 0);
    assert_eq!(bed.answers[&offer], Err(Refusal::NoRoom));
    assert_eq!(bed.owner.ledger().grants().count(), 1);
    finish(&mut bed, 1);
    let offer = bed.offer(2, &[0, 1, 2], &gang, 0);
    assert!(bed.placed(offer));
    let too_many = bed.offer(3, &[0, 1, 2, 3], &gang, 1_000);
    let refusal = Refusal::TooMany {
        fitting: 3,
        asked: 4,
    };
    assert_eq!(bed.answers[&too_many], Err(refusal));
}

#[test]
fn reservations_lapse_so_two_gangs_never_lock_each_other() {
    let mut bed = Bed::new(2, 1_000);
    let gang = spec("a", Class::Normal, 1_000);
    let first = bed.offer_as(1, &[0], &gang, 0, 1, 500);
    let second = bed.offer_as(2, &[0], &gang, 0, 1, 500);
    assert!(bed.placed(first) && bed.placed(second));
    assert_eq!(bed.runs(task(1, 0)) + bed.runs(task(2, 0)), 0);
    bed.pass(500);
    assert_eq!(bed.owner.ledger().grants().count(), 0);
    assert!(!bed.held(1, 1, true));
    let whole = bed.offer_as(1, &[0, 1], &gang, 0, 2, 500);
    assert!(bed.placed(whole));
    assert!(bed.held(1, 2, true) && bed.held(1, 2, true));
    assert_eq!((bed.runs(task(1, 0)), bed.runs(task(1, 1))), (1, 1));
}

#[test]
fn a_reservation_that_is_given_up_is_free_at_once() {
    let mut bed = Bed::new(1, 1_000);
    let work = spec("a", Class::Normal, 1_000);
    bed.offer_as(1, &[0], &work, 0, 1, 5_000);
    bed.held(1, 1, false);
    let offer = bed.offer(2, &[0], &work, 0);
    assert!(bed.placed(offer));
}

#[test]
fn a_repeated_offer_keeps_a_reservation_or_starts_it() {
    let mut bed = Bed::new(1, 1_000);
    let work = spec("a", Class::Normal, 1_000);
    bed.offer_as(1, &[0], &work, 0, 1, 1_000);
    bed.pass(600);
    bed.offer_as(1, &[0], &work, 0, 1, 1_000);
    bed.pass(600);
    let start = bed.offer_as(1, &[0], &work, 0, 1, 0);
    assert!(bed.placed(start));
    assert_eq!(bed.runs(task(1, 0)), 1);
    bed.pass(5_000);
    assert_eq!(bed.owner.ledger().grants().count(), 1);
}

#[test]
fn small_tasks_do_not_starve_a_large_one() {
    let mut bed = Bed::new(1, 1_000);
    let small = spec("a", Class::Normal, 500);
    bed.offer(1, &[0], &small, 0);
    bed.offer(2, &[0], &small, 0);
    let large = bed.offer(3, &[0], &spec("b", Class::Normal, 1_000), 1 << 40);
    bed.pass(2_000);
    finish(&mut bed, 1);
    let longer = JobSpec {
        run_time_ms: 10_000,
        ..small
    };
    let next = bed.offer(4, &[0], &longer, 1 << 40);
    assert!(!bed.placed(next));
    finish(&mut bed, 2);
    assert!(bed.placed(large));
}

#[test_case(100, true; "a task that ends in time fills the gap")]
#[test_case(50_000, false; "a longer one does not")]
fn backfill_goes_by_run_time(run_time_ms: u64, placed: bool) {
    let mut bed = Bed::new(1, 1_000);
    let long = JobSpec {
        run_time_ms: 20_000,
        ..spec("a", Class::Normal, 500)
    };
    bed.offer(1, &[0], &long, 0);
    bed.offer(2, &[0], &spec("b", Class::Normal, 1_000), 1 << 40);
    bed.pass(2_000);
    let filler = JobSpec {
        run_time_ms,
        ..spec("c", Class::Normal, 500)
    };
    let offer = bed.offer(3, &[0], &filler, 0);
    assert_eq!(bed.placed(offer), placed);
}

#[test]
fn a_learned_run_time_overrides_the_declared_one() {
    let mut bed = Bed::new(1, 1_000);
    // Declared as long, and ends after 10 ms each time.
    let filler = JobSpec {
        run_time_ms: 90_000,
        ..spec("c", Class::Normal, 500)
    };
    for job in 10..14 {
        bed.offer(job, &[0], &filler, 0);
        finish(&mut bed, job);
    }
    let long = JobSpec {
        run_time_ms: 20_000,
        ..spec("a", Class::Normal, 500)
    };
    bed.offer(1, &[0], &long, 0);
    bed.offer(2, &[0], &spec("b", Class::Normal, 1_000), 1 << 40);
    bed.pass(2_000);
    let offer = bed.offer(3, &[0], &filler, 0);
    assert!(bed.placed(offer));
}

#[test]
fn headroom_is_kept_for_urgent_work() {
    let mut bed = Bed::new(1, 1_000);
    bed.weigh_waiting();
    let normal = bed.offer(1, &[0], &spec("a", Class::Normal, 750), 0);
    assert!(bed.placed(normal));
    let more = bed.offer(2, &[0], &spec("a", Class::Normal, 50), 0);
    assert!(!bed.placed(more));
    let urgent = bed.offer(3, &[0], &spec("a", Class::Urgent, 250), 0);
    assert!(bed.placed(urgent));
}

#[test]
fn urgent_work_ends_the_least_patient_work_within_a_budget() {
    let mut bed = Bed::new(2, 1_000);
    bed.weigh_waiting();
    let patient = spec("a", Class::Patient, 700);
    bed.offer(1, &[0], &patient, 0);
    bed.pass(5_000);
    bed.offer(2, &[0], &patient, 0);
    bed.pass(200);
    let urgent = bed.offer(3, &[0], &spec("b", Class::Urgent, 500), 1_100);
    assert_eq!(bed.stops, [task(2, 0)]);
    bed.poll_all();
    assert!(bed.placed(urgent));
    assert_eq!(bed.outcome(task(2, 0)), Some(TaskOutcome::Unknown));
}

#[test]
fn without_a_budget_no_work_is_lost() {
    let mut bed = Bed::new(1, 1_000);
    bed.offer(1, &[0], &spec("a", Class::Patient, 900), 0);
    bed.pass(1_000);
    bed.offer(3, &[0], &spec("b", Class::Urgent, 500), 1_100);
    assert!(bed.stops.is_empty());
}

#[test]
fn non_idempotent_work_is_never_ended_for_urgent_work() {
    let mut bed = Bed::new(1, 1_000);
    bed.weigh_waiting();
    let patient = JobSpec {
        idempotent: false,
        ..spec("a", Class::Patient, 900)
    };
    bed.offer(1, &[0], &patient, 0);
    bed.offer(3, &[0], &spec("b", Class::Urgent, 500), 1_100);
    assert!(bed.stops.is_empty());
}

#[test]
fn a_job_that_fits_nowhere_is_refused_at_once_with_the_nearest_worker() {
    let mut bed = Bed::new(2, 1_000);
    let offer = bed.offer(1, &[0], &spec("a", Class::Normal, 1_500), 1 << 40);
    let Err(Refusal::NeverFits(miss)) = &bed.answers[&offer] else {
        panic!("{:?}", bed.answers[&offer]);
    };
    assert_eq!(miss.lacking, amount(500));
    let found = bed.owner.explain(&spec("a", Class::Normal, 1_500));
    assert_eq!((found.short_of_cpu, found.fitting), (2, 0));
    assert!(found.never.is_some());
}

#[test]
fn a_wave_of_cancellations_leaves_the_rest_of_the_queue() {
    let mut bed = Bed::new(1, 1_000);
    bed.offer(1, &[0], &spec("a", Class::Normal, 1_000), 0);
    for index in 0..10_000 {
        bed.offer(2, &[index], &spec("a", Class::Normal, 1_000), 1 << 40);
    }
    let other = bed.offer(3, &[0], &spec("b", Class::Normal, 1_000), 1 << 40);
    let indexes = (0..10_000).collect();
    bed.event(Event::Stopped {
        job_id: JobId(Uuid::from_u128(2)),
        indexes,
    });
    assert_eq!(bed.owner.queued_tasks(), 1);
    finish(&mut bed, 1);
    assert!(bed.placed(other));
}
