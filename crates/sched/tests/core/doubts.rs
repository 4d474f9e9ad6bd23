//! Workers that answer renewals and take no order: nothing holds them shut, and no task waits for them for ever.

use syc_sched::Event;
use syc_sched::Options;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_sched::StartRefusal;
use syc_sched::StepSpec;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::site::Sent;
use crate::site::Site;

const FOR_EVER_MS: u64 = 1_000_000;

/// Starts without an answer that a worker has at most.
const STARTS_IN_FLIGHT: usize = 8;

/// Longest time that a task may wait for a worker that takes no order, beside its own run and its next start.
fn longest_doubt_ms() -> u64 {
    let options = Options::default();
    options.doubt_limit_ms + options.lease_bound_ms
}

/// Three workers, the first of which resets each order for so long from the first one on; some jobs come.
fn site_with_a_shut_worker(time_ms: u64) -> Site {
    let mut site = Site::new(3, 4);
    site.shut(0, time_ms);
    site.submit(1..13);
    site
}

/// Returns the shortest time between two orders about the same run on a worker.
fn shortest_gap_ms(sent: &[Sent]) -> u64 {
    let mut shortest = u64::MAX;
    for (index, later) in sent.iter().enumerate() {
        let same = |earlier: &&Sent| earlier.task == later.task && earlier.run == later.run;
        let Some(earlier) = sent[..index].iter().rev().find(same) else {
            continue;
        };
        shortest = shortest.min(later.at.since(earlier.at));
    }
    shortest
}

/// Counts the most orders that were sent in any second.
fn most_a_second(sent: &[Sent]) -> usize {
    let in_second = |from: &Sent| {
        let within = |other: &&Sent| other.at >= from.at && other.at.since(from.at) < 1_000;
        sent.iter().filter(within).count()
    };
    sent.iter().map(in_second).max().unwrap_or(0)
}

#[test_case(2_000; "for two seconds")]
#[test_case(FOR_EVER_MS; "for ever")]
fn every_task_runs_though_a_worker_takes_no_order(time_ms: u64) {
    let mut site = site_with_a_shut_worker(time_ms);
    let took_ms = site.play_until_done(1..13, 60_000);
    assert!(took_ms <= longest_doubt_ms() + 2_500, "{took_ms}");
    assert_eq!(site.twice, []);
}

#[test_case(2_000; "for two seconds")]
#[test_case(FOR_EVER_MS; "for ever")]
fn no_order_is_repeated_within_milliseconds(time_ms: u64) {
    let mut site = site_with_a_shut_worker(time_ms);
    site.play(20_000);
    let shortest_ms = shortest_gap_ms(&site.sent_to(0));
    let bound_ms = Options::default().order_retry_ms / 2;
    assert!(shortest_ms >= bound_ms, "{shortest_ms}");
}

#[test]
fn what_a_shut_worker_is_sent_does_not_grow_with_the_tasks() {
    for tasks in [5, 100] {
        let mut site = Site::new(3, 100);
        site.shut(0, FOR_EVER_MS);
        site.submit(1..tasks + 1);
        site.play(2_000);
        site.submit(200..200 + tasks);
        site.play(30_000);
        let sent = site.sent_to(0);
        let starts = sent.iter().filter(|sent| sent.is_start).count();
        assert!(starts <= 24, "{starts} starts, {tasks} tasks");
        let later: Vec<_> = sent.into_iter().filter(|s| s.at.0 > 3_000).collect();
        assert!(most_a_second(&later) <= 3, "{tasks} tasks");
    }
}

#[test]
fn a_worker_that_takes_no_order_gets_no_other_task_until_it_has_taken_one() {
    let mut site = Site::new(3, 100);
    site.shut(0, FOR_EVER_MS);
    site.submit(1..13);
    site.play(1_500);
    let before = site.sent_to(0);
    site.submit(20..40);
    site.play(1_500);
    let is_new = |sent: &&Sent| sent.task.step.job.0 >= 20;
    assert!(!before.is_empty());
    assert_eq!(site.sent_to(0).iter().filter(is_new).count(), 0);
    site.shut(0, 0);
    site.play(3_000);
    site.submit(40..60);
    site.play(1_500);
    let is_newer = |sent: &&Sent| sent.task.step.job.0 >= 40;
    assert!(site.sent_to(0).iter().filter(is_newer).count() > 0);
}

#[test]
fn a_worker_whose_lease_was_let_lapse_is_used_again_once_it_takes_orders() {
    let mut site = site_with_a_shut_worker(30_000);
    site.play(35_000);
    site.submit(20..32);
    site.play(100);
    let sent = site.sent_to(0);
    assert!(sent.iter().any(|sent| sent.task.step.job.0 >= 20));
    site.play_until_done(20..32, 10_000);
    assert_eq!(site.twice, []);
}

#[test]
fn what_else_runs_there_runs_again_elsewhere_and_never_twice_at_a_time() {
    let mut site = Site::new(3, 4);
    site.work_ms = 12_000;
    site.submit(1..7);
    site.play(500);
    site.shut(0, FOR_EVER_MS);
    site.submit(7..13);
    let took_ms = site.play_until_done(1..13, 90_000);
    assert!(took_ms < longest_doubt_ms() + 4 * 12_000, "{took_ms}");
    assert_eq!(site.twice, []);
}

/// Two workers, each with one task of a step of which so many may be missing, and with a start that it did not take.
fn serving_workers_in_doubt(unavailable_limit: u32) -> (Driver, Vec<StartOrder>) {
    let mut driver = Driver::new(2, 4);
    let lasting = StepSpec {
        long_running: true,
        unavailable_limit: Some(unavailable_limit),
        tasks_per_worker: Some(1),
        ..step(2, 2)
    };
    driver.submit(1, policy(0), vec![lasting]);
    let serving = driver.start_all();
    driver.submit(2, policy(0), vec![step(2, 2)]);
    driver.advance(10);
    driver.schedule();
    let untaken = std::mem::take(&mut driver.starts);
    assert_eq!((serving.len(), untaken.len()), (2, 2));
    (driver, serving)
}

/// Lets time pass while the workers answer renewals, serve, and take no order.
fn pass_without_orders(driver: &mut Driver, serving: &[StartOrder], time_ms: u64) {
    for _ in 0..time_ms / 100 {
        driver.advance(100);
        driver.renew_leases();
        for start in serving {
            driver.report_running(start.worker, &[(start.task, start.run, 100)]);
        }
        for start in std::mem::take(&mut driver.starts) {
            answer(driver, &start, StartAnswer::InDoubt);
        }
        for stop in std::mem::take(&mut driver.stops) {
            driver.apply(Event::StopAnswered {
                worker: stop.worker,
                task: stop.task,
                run: stop.run,
                taken: false,
            });
        }
        driver.apply(Event::Ticked);
    }
}

fn lapsing(driver: &Driver) -> usize {
    let may_renew = |key: &&_| !driver.scheduler.may_renew(**key);
    driver.workers.iter().filter(may_renew).count()
}

#[test_case(0, 0; "none may be missing")]
#[test_case(1, 1; "one may be missing")]
#[test_case(2, 2; "both may be missing")]
fn leases_are_let_lapse_as_far_as_what_serves_there_may_be_missing(limit: u32, expected: usize) {
    let (mut driver, serving) = serving_workers_in_doubt(limit);
    let limit_ms = Options::default().doubt_limit_ms;
    pass_without_orders(&mut driver, &serving, 2 * limit_ms);
    assert_eq!(lapsing(&driver), expected);
}

#[test]
fn what_is_believed_of_it_is_told_once_on_each_change() {
    let mut site = site_with_a_shut_worker(2_000);
    site.play(8_000);
    assert_eq!(site.beliefs_of(0), ["takes_no_orders", "takes_orders"]);
    assert_eq!(site.beliefs_of(1), Vec::<&str>::new());
    let mut site = site_with_a_shut_worker(FOR_EVER_MS);
    site.play(40_000);
    assert_eq!(
        site.beliefs_of(0),
        ["takes_no_orders", "lease_let_lapse", "lease_renewed"]
    );
}

/// Many steps become ready at once after a takeover, and the first worker to answer has room for all of them.
#[test]
fn no_worker_is_given_more_than_it_takes_in() {
    for (mut driver, most) in [
        (Driver::with_untried_workers(3, 100), 2),
        (Driver::new(3, 100), STARTS_IN_FLIGHT),
    ] {
        driver.submit(1, policy(0), vec![step(100, 1)]);
        driver.schedule();
        driver.schedule();
        for worker in driver.workers.clone() {
            let given = driver.starts.iter().filter(|s| s.worker == worker);
            assert_eq!(given.count(), most);
        }
    }
}

#[test]
fn sound_workers_are_given_all_that_they_have_room_for_within_a_few_answers() {
    let mut driver = Driver::with_untried_workers(3, 100);
    driver.submit(1, policy(0), vec![step(200, 1)]);
    let mut started = 0;
    let mut answers = 0;
    while started < 200 {
        driver.schedule();
        started += driver.confirm_starts().len();
        answers += 1;
    }
    // Two each, and then eight each time: 3 * 2 + 9 * 24 are more than 200.
    assert!(answers <= 10, "{answers}");
}

#[test]
fn room_that_waits_for_answers_is_neither_reserved_nor_made_free() {
    let mut driver = Driver::new(1, 40);
    let patient = StepSpec {
        checkpointed: true,
        ..step(10, 1)
    };
    driver.submit(1, policy(2), vec![patient]);
    let mut running = Vec::new();
    for _ in 0..5 {
        driver.schedule();
        for start in driver.confirm_starts() {
            running.push((start.task, start.run, 50));
        }
    }
    assert_eq!(running.len(), 10);
    driver.report_running(driver.workers[0], &running);
    driver.submit(2, policy(0), vec![step(20, 1)]);
    for _ in 0..3 {
        driver.schedule();
    }
    assert_eq!(driver.stops, []);
    assert!(driver.starts.len() <= STARTS_IN_FLIGHT);
}

#[test]
fn an_urgent_task_does_not_wait_for_room_where_orders_are_not_taken() {
    let mut driver = Driver::new(2, 4);
    driver.advance(10);
    driver.submit(1, policy(0), vec![step(3, 1)]);
    driver.schedule();
    let untaken = std::mem::take(&mut driver.starts);
    for start in &untaken {
        answer(&mut driver, start, StartAnswer::InDoubt);
    }
    let patient = StepSpec {
        checkpointed: true,
        ..step(4, 1)
    };
    driver.submit(2, policy(2), vec![patient]);
    let running = driver.start_all();
    let held: Vec<_> = running.iter().map(|s| (s.task, s.run, 50)).collect();
    driver.report_running(running[0].worker, &held);
    assert_eq!(held.len(), 4);
    driver.submit(3, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let stopped: Vec<_> = driver.stops.iter().map(|stop| stop.worker).collect();
    assert_eq!(stopped, [running[0].worker]);
}

/// On a day when four of ten orders go without an answer, workers are still of use.
#[test]
fn a_worker_that_leaves_some_orders_unanswered_goes_on_getting_tasks() {
    let mut driver = Driver::new(1, 64);
    driver.submit(1, policy(0), vec![step(40, 1)]);
    for _ in 0..20 {
        driver.schedule();
        let starts = std::mem::take(&mut driver.starts);
        driver.advance(1);
        for (index, start) in starts.iter().enumerate() {
            if index % 5 < 3 {
                answer(&mut driver, start, StartAnswer::Started);
            }
        }
        driver.advance(300);
        for (index, start) in starts.iter().enumerate() {
            if index % 5 >= 3 {
                answer(&mut driver, start, StartAnswer::InDoubt);
            }
        }
        driver.apply(Event::Ticked);
    }
    assert_eq!(driver.status_changes, []);
    assert_eq!(driver.scheduler.counts(driver.now).waiting_tasks, 0);
}

fn answer(driver: &mut Driver, start: &StartOrder, answer: StartAnswer) {
    driver.apply(Event::StartAnswered {
        worker: start.worker,
        task: start.task,
        run: start.run,
        answer,
    });
}

#[test]
fn a_start_that_never_left_goes_elsewhere_at_once() {
    let mut driver = Driver::new(2, 2);
    driver.submit(1, policy(0), vec![step(1, 2)]);
    driver.schedule();
    let first = driver.starts.remove(0);
    answer(&mut driver, &first, StartAnswer::NotSent);
    driver.record();
    driver.schedule();
    assert_eq!(driver.stops, []);
    assert_eq!(driver.starts.len(), 1);
    assert_ne!(driver.starts[0].worker, first.worker);
}

/// Others were under way for too long: what the node itself held back says nothing of the worker.
#[test]
fn starts_that_never_left_say_nothing_of_their_worker() {
    let mut driver = Driver::new(1, 8);
    driver.advance(10);
    driver.submit(1, policy(0), vec![step(8, 1)]);
    driver.schedule();
    let starts = std::mem::take(&mut driver.starts);
    assert_eq!(starts.len(), 8);
    for start in &starts {
        answer(&mut driver, start, StartAnswer::NotSent);
    }
    assert_eq!(driver.status_changes, []);
    driver.advance(Options::default().order_retry_ms);
    driver.record();
    assert_eq!(driver.start_all().len(), 8);
}

#[test]
fn a_repeat_that_never_left_leaves_its_start_in_doubt() {
    let mut driver = Driver::new(2, 2);
    driver.submit(1, policy(0), vec![step(1, 2)]);
    driver.schedule();
    let first = driver.starts.remove(0);
    driver.advance(Options::default().order_retry_ms);
    answer(&mut driver, &first, StartAnswer::InDoubt);
    driver.advance(Options::default().order_retry_ms);
    driver.apply(Event::Ticked);
    assert_eq!(driver.starts.len(), 1);
    answer(&mut driver, &first, StartAnswer::NotSent);
    driver.starts.clear();
    driver.record();
    driver.schedule();
    assert_eq!(driver.starts, [], "the first copy may be under way");
}

#[test]
fn a_start_that_never_left_and_is_being_stopped_is_over() {
    let mut driver = Driver::new(1, 2);
    driver.submit(1, policy(0), vec![step(1, 2)]);
    driver.schedule();
    let first = driver.starts.remove(0);
    driver.cancel(1);
    answer(&mut driver, &first, StartAnswer::NotSent);
    assert_eq!(driver.scheduler.counts(driver.now).runs, 0);
}

/// An earlier copy may be carried out late though a later one was refused, also where a stop came in between.
#[test]
fn a_refusal_after_a_stop_does_not_end_a_run_of_which_an_earlier_copy_is_under_way() {
    let mut driver = Driver::new(1, 2);
    driver.submit(1, policy(0), vec![step(1, 2)]);
    driver.schedule();
    let first = driver.starts.remove(0);
    driver.advance(Options::default().order_retry_ms);
    answer(&mut driver, &first, StartAnswer::InDoubt);
    driver.advance(Options::default().order_retry_ms);
    driver.apply(Event::Ticked);
    driver.cancel(1);
    answer(
        &mut driver,
        &first,
        StartAnswer::Refused(StartRefusal::NoRoom),
    );
    assert_eq!(driver.scheduler.counts(driver.now).runs, 1);
}
