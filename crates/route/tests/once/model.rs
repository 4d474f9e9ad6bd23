//! Generated histories with deaths, pauses, lost answers, duplicates and view changes.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use crate::cluster::Cluster;

#[derive(Debug, Clone)]
pub enum Step {
    Create(u64),
    Arrive(usize, usize),
    Serve(usize, usize),
    Send(usize),
    Finish(usize, bool),
    Ask(usize, bool),
    Kill(usize),
    Start,
    ChangeView,
    Learn(usize),
    Lapse,
    Reform(usize),
    Tick(usize),
    Pass(u64),
}

/// The model is all-knowing: `Cluster` holds one table of what ran, and compares with it.
pub struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let pick = 0..12_usize;
        prop_oneof![
            8 => (0..20_u64).prop_map(Step::Create),
            10 => (pick.clone(), pick.clone()).prop_map(|(id, at)| Step::Arrive(id, at)),
            14 => (pick.clone(), pick.clone()).prop_map(|(id, at)| Step::Serve(id, at)),
            6 => pick.clone().prop_map(Step::Send),
            4 => (pick.clone(), any::<bool>()).prop_map(|(run, lost)| Step::Finish(run, lost)),
            6 => (pick.clone(), prop::bool::weighted(0.2)).prop_map(|(ask, lost)| Step::Ask(ask, lost)),
            2 => pick.clone().prop_map(Step::Kill),
            3 => Just(Step::Start),
            4 => Just(Step::ChangeView),
            12 => pick.clone().prop_map(Step::Learn),
            5 => Just(Step::Lapse),
            4 => pick.clone().prop_map(Step::Reform),
            10 => pick.prop_map(Step::Tick),
            12 => prop_oneof![0..4_u64, 0..40_u64, 0..700_u64].prop_map(Step::Pass),
        ]
        .boxed()
    }

    fn apply((): (), _transition: &Step) {}
}

pub struct AtMostOnce;

impl StateMachineTest for AtMostOnce {
    type SystemUnderTest = Cluster;
    type Reference = Model;

    fn init_test((): &()) -> Cluster {
        Cluster::new()
    }

    fn apply(mut state: Cluster, (): &(), transition: Step) -> Cluster {
        match transition {
            Step::Create(ahead_ms) => state.create(ahead_ms),
            Step::Arrive(id, member) => state.arrive(id, member),
            Step::Serve(id, member) => {
                state.arrive(id, member);
                state.settle();
            }
            Step::Send(run) => state.send(run),
            Step::Finish(run, lost) => state.finish(run, lost),
            Step::Ask(asking, lost) => state.ask(asking, lost),
            Step::Kill(member) => state.kill(member),
            Step::Start => state.start_member(),
            Step::ChangeView => state.change_view(),
            Step::Learn(member) => state.learn(member),
            Step::Lapse => state.lapse(),
            Step::Reform(paused) => state.reform(paused),
            Step::Tick(member) => state.tick(member),
            Step::Pass(passed_ms) => state.pass(passed_ms),
        }
        state
    }

    fn check_invariants(state: &Cluster, (): &()) {
        state.assert_bounded();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_history_runs_a_request_twice_or_denies_a_run(sequential 1..250 => AtMostOnce);
}

/// A fixed history shows that the cluster above does run requests after changes of the view.
#[test]
fn requests_run_after_a_change_of_the_view_too() {
    let mut cluster = Cluster::new();
    for round in 0..20 {
        cluster.pass(50);
        for member in 0..5 {
            cluster.tick(member);
        }
        cluster.create(5);
        for member in 0..5 {
            cluster.arrive(round, member);
        }
        if round % 4 == 0 {
            cluster.start_member();
            cluster.reform(usize::MAX);
            for member in 0..5 {
                cluster.arrive(round, member);
            }
        }
        cluster.settle();
        cluster.pass(400);
    }
    assert!(cluster.executed >= 15, "{} runs", cluster.executed);
}

/// A member that missed a change of the view must not deny what the new home ran.
#[test]
fn a_paused_former_home_denies_nothing() {
    for paused in 0..3 {
        let mut cluster = Cluster::new();
        cluster.pass(50);
        for member in 0..3 {
            cluster.tick(member);
        }
        cluster.start_member();
        cluster.reform(paused);
        cluster.pass(50);
        for id in 0..20 {
            cluster.create(5);
            cluster.pass(20);
            for member in [3, 0, 1, 2] {
                cluster.arrive(id, member);
                cluster.settle();
            }
        }
        assert!(cluster.executed >= 10, "{} runs", cluster.executed);
    }
}

/// An id whose clock is ahead was created before the new home, whatever the clocks say.
#[test]
fn clocks_that_differ_lead_to_no_second_run() {
    let mut cluster = Cluster::new();
    cluster.pass(50);
    for member in 0..3 {
        cluster.tick(member);
    }
    cluster.pass(50);
    for id in 0..20 {
        cluster.create(9);
        for member in 0..3 {
            cluster.arrive(id, member);
            cluster.settle();
        }
    }
    assert!(cluster.executed >= 10, "{} runs", cluster.executed);
    cluster.start_member();
    cluster.reform(usize::MAX);
    for id in 0..20 {
        cluster.arrive(id, 3);
        cluster.settle();
    }
}
