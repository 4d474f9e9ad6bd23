//! Generated schedules of faults against the one rule: never two holders of one thing.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::Config;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use syc_member::Event;
use syc_member::Options;

use crate::cluster::Cluster;
use crate::cluster::Run;

/// VMs that may run at a time.
const SLOTS: usize = 7;

/// Time in which a healed cluster must have found one holder for everything.
const HEAL_LIMIT_MS: u64 = 150_000;

/// What happens to the cluster.
#[derive(Debug, Clone)]
enum Step {
    Run(u64),
    Crash(usize),
    LoseVm(usize),
    Restart(usize),
    Pause(usize),
    Suspend(usize),
    Resume(usize),
    CutOneWay(usize, usize),
    CutZone(u8),
    LogUp(bool),
    LogCut(usize),
    LoseAnswers(bool),
    Leave(usize),
    Retire(usize),
    Jump(usize, u64),
    Network { loss_percent: u32, delay_ms: u64 },
    Heal,
}

/// The schedule so far, as far as generating it needs.
#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    up: usize,
    /// Below the authority lease too: safety must not rest on slow suspicion.
    suspect_ms: u64,
}

impl ReferenceStateMachine for Schedule {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        let parts = (any::<u64>(), 5..=SLOTS, 1_200u64..4_000);
        let state = parts.prop_map(|(seed, up, suspect_ms)| Self {
            seed,
            up,
            suspect_ms,
        });
        state.boxed()
    }

    fn transitions(_state: &Self) -> BoxedStrategy<Step> {
        let slot = 0..SLOTS;
        prop_oneof![
            12 => (1u64..=12_000).prop_map(Step::Run),
            2 => slot.clone().prop_map(Step::Crash),
            1 => slot.clone().prop_map(Step::LoseVm),
            3 => slot.clone().prop_map(Step::Restart),
            2 => slot.clone().prop_map(Step::Pause),
            1 => slot.clone().prop_map(Step::Suspend),
            4 => slot.clone().prop_map(Step::Resume),
            2 => (slot.clone(), slot.clone()).prop_map(|(a, b)| Step::CutOneWay(a, b)),
            2 => any::<u8>().prop_map(Step::CutZone),
            2 => any::<bool>().prop_map(Step::LogUp),
            1 => slot.clone().prop_map(Step::LogCut),
            1 => any::<bool>().prop_map(Step::LoseAnswers),
            1 => slot.clone().prop_map(Step::Leave),
            1 => slot.clone().prop_map(Step::Retire),
            1 => (slot, 1u64..=20_000).prop_map(|(a, b)| Step::Jump(a, b)),
            2 => (0u32..40, 0u64..4_000).prop_map(|(loss_percent, delay_ms)| {
                Step::Network { loss_percent, delay_ms }
            }),
            2 => Just(Step::Heal),
        ]
        .boxed()
    }

    fn apply(state: Self, _transition: &Step) -> Self {
        state
    }
}

struct Rule;

impl StateMachineTest for Rule {
    type SystemUnderTest = Cluster;
    type Reference = Schedule;

    fn init_test(ref_state: &Schedule) -> Cluster {
        let options = Options {
            suspect_ms: ref_state.suspect_ms,
            ..Options::default()
        };
        Cluster::start(SLOTS, ref_state.up, ref_state.seed, options)
    }

    fn apply(mut state: Cluster, _schedule: &Schedule, transition: Step) -> Cluster {
        take_step(&mut state, &transition);
        state
    }

    fn check_invariants(state: &Cluster, _schedule: &Schedule) {
        assert_eq!(state.violations, Vec::<String>::new());
    }

    fn teardown(mut state: Cluster, _schedule: Schedule) {
        state.heal();
        let took = state.run_until(HEAL_LIMIT_MS, Cluster::all_held);
        assert_eq!(state.violations, Vec::<String>::new());
        assert!(took.is_some(), "nobody holds something after the healing");
    }
}

fn take_step(cluster: &mut Cluster, step: &Step) {
    match *step {
        Step::Run(duration_ms) => cluster.run(duration_ms),
        Step::Crash(slot) => cluster.crash(slot),
        Step::LoseVm(slot) => cluster.lose_vm(slot),
        Step::Restart(slot) => cluster.restart(slot),
        Step::Pause(slot) => cluster.halt(slot, Run::Paused),
        Step::Suspend(slot) => cluster.halt(slot, Run::Suspended),
        Step::Resume(slot) => cluster.resume(slot),
        Step::CutOneWay(from, to) => {
            cluster.cuts.insert((from, to));
        }
        Step::CutZone(zone) => cut_zone(cluster, zone),
        Step::LogUp(up) => cluster.log_up = up,
        Step::LogCut(slot) => cluster.nodes[slot].log = false,
        Step::LoseAnswers(lost) => cluster.lose_append_answers = lost,
        Step::Leave(slot) if cluster.nodes[slot].run == Run::Up => {
            cluster.tell(slot, Event::Leave);
        }
        Step::Retire(slot) if cluster.nodes[slot].run == Run::Up => {
            cluster.tell(slot, Event::Retire);
        }
        Step::Leave(_) | Step::Retire(_) => {}
        Step::Jump(slot, ahead_ms) => cluster.jump(slot, ahead_ms),
        Step::Network {
            loss_percent,
            delay_ms,
        } => {
            cluster.loss_percent = loss_percent;
            cluster.delay_ms = delay_ms;
        }
        Step::Heal => cluster.heal(),
    }
}

fn cut_zone(cluster: &mut Cluster, zone: u8) {
    let inside = |slot: usize| zone & (1 << slot) != 0;
    for from in 0..SLOTS {
        for to in 0..SLOTS {
            if inside(from) != inside(to) {
                cluster.cuts.insert((from, to));
            }
        }
    }
}

fn check_schedules(cases: u32) {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(
        config.clone(),
        TestRng::deterministic_rng(config.rng_algorithm),
    );
    let outcome = runner.run(&Schedule::sequential_strategy(10..60), |case| {
        let (state, steps, seen) = case;
        Rule::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

#[test]
fn nothing_has_two_holders_under_generated_faults() {
    check_schedules(8);
}

#[test]
#[ignore = "minutes in a release build: cargo test --release -p syc-member -- --ignored"]
fn nothing_has_two_holders_under_many_generated_faults() {
    check_schedules(2_000);
}

#[test]
fn the_check_notices_a_takeover_without_the_wait() {
    let mut runner = TestRunner::deterministic();
    let options = Options {
        skip_wait: true,
        suspect_ms: 1_500,
        ..Options::default()
    };
    let state = Schedule::init_state().new_tree(&mut runner);
    let state = state.expect("a start").current();
    let strategy = vec(Schedule::transitions(&state), 30);
    let mut noticed = false;
    for seed in 0..40 {
        let steps = strategy
            .new_tree(&mut runner)
            .expect("a schedule")
            .current();
        let mut cluster = Cluster::start(SLOTS, 5, seed, options);
        cluster.run(3_000);
        for step in &steps {
            take_step(&mut cluster, step);
        }
        noticed |= !cluster.violations.is_empty();
        if noticed {
            break;
        }
    }
    assert!(noticed, "no schedule showed two holders");
}
