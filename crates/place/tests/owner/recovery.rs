//! Takeover of workers, adoption, lapsed leases, retirement.

use syc_place::Event;
use syc_place::Owner;
use syc_place::OwnerOptions;
use syc_place::Refusal;
use syc_types::Class;
use syc_types::Millis;
use syc_types::TaskOutcome;
use syc_types::TeamId;
use syc_types::WorkerId;

use crate::bed::Bed;
use crate::bed::DRIFT_MS;
use crate::bed::LEASE_MS;
use crate::bed::info;
use crate::bed::spec;
use crate::bed::task;

const DONE: TaskOutcome = TaskOutcome::Done(smol_str::SmolStr::new_static("r"));

/// Replaces the owner by one that knows nothing.
fn restart(bed: &mut Bed, workers: usize) {
    bed.owner = Owner::new(OwnerOptions {
        lease_ms: LEASE_MS,
        drift_ms: DRIFT_MS,
        ..OwnerOptions::default()
    });
    let infos = (0..workers).map(|number| info(number, 1_000)).collect();
    bed.event(Event::Workers { workers: infos });
}

#[test]
fn an_unheard_worker_grants_nothing() {
    let mut bed = Bed::unpolled(1, 1_000);
    let work = spec("a", Class::Normal, 100);
    let waits = bed.offer(1, &[0], &work, 1_000);
    assert!(!bed.placed(waits) && !bed.owner.settled());
    bed.poll_all();
    assert!(bed.placed(waits) && bed.owner.settled());
}

#[test]
fn a_new_owner_adopts_what_runs() {
    let mut bed = Bed::new(2, 1_000);
    let work = spec("a", Class::Normal, 600);
    bed.offer(1, &[0], &work, 0);
    bed.offer(1, &[1], &work, 0);
    restart(&mut bed, 2);
    bed.poll_all();
    assert_eq!(bed.owner.known_tasks(&TeamId::new("a")).len(), 2);
    let other = bed.offer(2, &[0], &work, 0);
    assert_eq!(bed.answers[&other], Err(Refusal::NoRoom));
    let again = bed.offer(1, &[0], &work, 0);
    assert!(bed.placed(again));
    bed.finish(task(1, 0), &DONE);
    bed.poll_all();
    let end = bed.ends.last().expect("end");
    assert_eq!((end.team.as_str(), end.attempt), ("a", 1));
}

#[test]
fn a_lost_worker_ends_its_attempts_only_when_its_leases_have_lapsed() {
    let mut bed = Bed::new(1, 1_000);
    bed.offer(1, &[0], &spec("a", Class::Normal, 600), 0);
    for fake in bed.workers.values_mut() {
        fake.silent = true;
    }
    // The first lost poll may have renewed the lease; later ones renew nothing.
    bed.poll_all();
    let mut waited = 0;
    while bed.ends.is_empty() {
        bed.pass(100);
        bed.poll_all();
        waited += 100;
        assert!(waited <= 2 * LEASE_MS + DRIFT_MS);
    }
    assert!(waited >= LEASE_MS + DRIFT_MS);
    assert_eq!(bed.outcome(task(1, 0)), Some(TaskOutcome::Unknown));
    assert!(bed.owner.settled());
    let more = bed.offer(2, &[0], &spec("a", Class::Normal, 600), 0);
    assert!(!bed.placed(more));
}

#[test]
fn an_owner_that_may_not_act_takes_no_lease_for_lapsed() {
    let mut bed = Bed::new(1, 1_000);
    bed.offer(1, &[0], &spec("a", Class::Normal, 600), 0);
    bed.now = Millis(10 * LEASE_MS);
    bed.event(Event::Ticked { acting: false });
    assert!(bed.ends.is_empty());
    bed.event(Event::Ticked { acting: true });
    assert_eq!(bed.outcome(task(1, 0)), Some(TaskOutcome::Unknown));
}

#[test]
fn a_former_owner_that_may_still_act_puts_the_lapse_off() {
    let mut bed = Bed::unpolled(1, 1_000);
    bed.pass(LEASE_MS);
    let key = bed.owner.ledger().workers().next().expect("worker").0;
    bed.owner.note_former_owner(key, bed.now);
    bed.pass(LEASE_MS + DRIFT_MS - 1);
    assert!(!bed.owner.settled());
    bed.pass(1);
    assert!(bed.owner.settled());
}

#[test]
fn a_takeover_of_a_silent_worker_settles_after_its_leases() {
    let mut bed = Bed::unpolled(1, 1_000);
    for fake in bed.workers.values_mut() {
        fake.silent = true;
    }
    bed.pass(LEASE_MS + DRIFT_MS - 1);
    assert!(!bed.owner.settled());
    bed.pass(1);
    assert!(bed.owner.settled());
}

#[test]
fn a_disowned_worker_is_not_acted_on() {
    let mut bed = Bed::new(2, 1_000);
    bed.offer(1, &[0], &spec("a", Class::Normal, 600), 0);
    let keys = bed.owner.ledger().workers().map(|(key, _)| key).collect();
    bed.event(Event::Disowned { workers: keys });
    assert!(bed.ends.is_empty() && bed.stops.is_empty());
    assert_eq!(bed.owner.ledger().grants().count(), 0);
    bed.poll_all();
    let offer = bed.offer(2, &[0], &spec("a", Class::Normal, 600), 0);
    assert!(!bed.placed(offer));
}

#[test]
fn a_worker_that_left_the_inventory_finishes_its_tasks() {
    let mut bed = Bed::new(1, 1_000);
    bed.offer(1, &[0], &spec("a", Class::Normal, 600), 0);
    bed.event(Event::Workers {
        workers: Vec::new(),
    });
    let more = bed.offer(2, &[0], &spec("a", Class::Normal, 100), 0);
    assert!(!bed.placed(more));
    bed.finish(task(1, 0), &DONE);
    bed.poll_all();
    assert_eq!(bed.outcome(task(1, 0)), Some(DONE));
    bed.pass(1);
    assert_eq!(bed.owner.ledger().workers().count(), 0);
}

#[test]
fn a_task_that_vanished_from_a_worker_ends_as_unknown() {
    let mut bed = Bed::new(1, 1_000);
    bed.offer(1, &[0], &spec("a", Class::Normal, 600), 0);
    for fake in bed.workers.values_mut() {
        fake.running.clear();
    }
    bed.poll_all();
    assert_eq!(bed.outcome(task(1, 0)), Some(TaskOutcome::Unknown));
    assert_eq!(bed.owner.ledger().grants().count(), 0);
}

#[test]
fn a_new_home_finds_the_queue_empty() {
    let mut bed = Bed::new(1, 1_000);
    let work = spec("a", Class::Normal, 1_000);
    bed.offer(1, &[0], &work, 0);
    let waits = bed.offer(2, &[0], &work, 1 << 40);
    bed.event(Event::HomeChanged {
        team: TeamId::new("a"),
    });
    assert_eq!(bed.answers[&waits], Err(Refusal::Cancelled));
    let known = bed.owner.known_tasks(&TeamId::new("a"));
    assert_eq!(known.len(), 1);
    assert_eq!(known[0].worker, WorkerId::new("w0"));
}

#[test]
fn an_end_is_reported_once_and_acknowledged_once_kept() {
    let mut bed = Bed::new(1, 1_000);
    bed.offer(1, &[0], &spec("a", Class::Normal, 600), 0);
    bed.finish(task(1, 0), &DONE);
    bed.poll_all();
    bed.poll_all();
    assert_eq!(bed.ends.len(), 1);
    let key = bed.owner.ledger().workers().next().expect("worker").0;
    let plan = bed.owner.plan_poll(key, Millis(0)).expect("plan");
    assert!(plan.acknowledged.is_empty());
    bed.keep_ends();
    let plan = bed.owner.plan_poll(key, Millis(0)).expect("plan");
    assert_eq!(plan.acknowledged.len(), 1);
}
