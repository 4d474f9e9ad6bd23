//! Which nodes follow the store and how often nodes contact the scheduler, as a cell grows.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_sched::ContactPlan;
use syc_sched::ContactPlans;
use syc_sched::NodeTraits;
use syc_sched::jittered_interval_ms;
use syc_sched::may_replace_yielding;
use syc_types::Millis;
use syc_types::Zone;
use test_case::test_case;

const MIN_INTERVAL_MS: u64 = 150;

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Every tenth node is large, as in a cell where the scheduler's candidates are few.
fn traits(number: usize) -> NodeTraits {
    let is_large = number.is_multiple_of(10);
    NodeTraits {
        has_fast_link: is_large,
        files_limit: if is_large { 16_384 } else { 4_096 },
        zone: Zone::new(ZONES[number / 10 % ZONES.len()]),
    }
}

fn name(number: usize) -> SmolStr {
    format_smolstr!("n-{number:04}")
}

/// Returns the contacts a second of all nodes, with the jitter of their times.
fn contacts_per_s(plans: &[(usize, ContactPlan)]) -> u64 {
    let draws = 1_000;
    let mut in_draws = 0;
    for (_, plan) in plans {
        let planned = plan.interval_ms;
        let times = (0..draws).map(|draw| match planned {
            MIN_INTERVAL_MS => planned,
            longer => jittered_interval_ms(longer, draw),
        });
        in_draws += draws * draws * 1_000 / times.sum::<u64>();
    }
    in_draws / draws
}

/// Has these nodes make their contacts for a time, each when its plan says so. Returns the plans at the end.
fn run(
    plans: &mut ContactPlans,
    nodes: &[usize],
    (from, until): (u64, u64),
) -> Vec<(usize, ContactPlan)> {
    let mut next: Vec<_> = nodes.iter().map(|node| (*node, from, None)).collect();
    for at in from..until {
        for (node, due_at, plan) in &mut next {
            if at < *due_at {
                continue;
            }
            let planned = plans.note_contact(&name(*node), traits(*node), Millis(at));
            *due_at = at + planned.interval_ms;
            *plan = Some(planned);
        }
    }
    let made = next.into_iter();
    made.filter_map(|(node, _, plan)| Some((node, plan?)))
        .collect()
}

fn candidates(plans: &[(usize, ContactPlan)]) -> Vec<usize> {
    let mut ranked: Vec<_> = plans
        .iter()
        .filter(|(_, plan)| plan.candidate_rank > 0)
        .map(|(node, plan)| (plan.candidate_rank, *node))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// With contacts of every node at a fixed interval and reads of the store by every node, both grow with the cell.
#[test_case(9)]
#[test_case(100)]
#[test_case(584)]
#[test_case(1_168)]
fn contacts_and_readers_of_the_store_are_bounded(count: usize) {
    let nodes: Vec<_> = (0..count).collect();
    let mut plans = ContactPlans::new(MIN_INTERVAL_MS);
    let settled = run(&mut plans, &nodes, (1, 4_000));
    let contacts_per_s = contacts_per_s(&settled);
    assert!(contacts_per_s < 1_000, "{contacts_per_s} contacts a second");
    let readers = settled.iter().filter(|(_, plan)| plan.follows_store);
    assert_eq!(readers.count(), count.min(10));
}

/// A cell of usual size must work as if there were no plans.
#[test]
fn all_nodes_of_a_small_cell_follow_the_store_at_the_shortest_interval() {
    let nodes: Vec<_> = (0..9).collect();
    let mut plans = ContactPlans::new(MIN_INTERVAL_MS);
    for (_, plan) in run(&mut plans, &nodes, (1, 3_000)) {
        assert!(plan.follows_store && plan.candidate_rank > 0);
        assert_eq!(plan.interval_ms, MIN_INTERVAL_MS);
    }
}

/// A scheduler on a slow link is replaced again and again, and zones are lost as a whole.
#[test]
fn candidates_are_the_nodes_that_suit_the_role_best_from_all_zones() {
    let nodes: Vec<_> = (0..300).collect();
    let mut plans = ContactPlans::new(MIN_INTERVAL_MS);
    let chosen = candidates(&run(&mut plans, &nodes, (1, 4_000)));
    assert_eq!(chosen.len(), 10);
    assert!(chosen.iter().all(|node| traits(*node).has_fast_link));
    let zones = |chosen: &[usize]| -> BTreeSet<_> {
        chosen.iter().map(|node| traits(*node).zone).collect()
    };
    assert_eq!(zones(&chosen[..5]).len(), ZONES.len());
}

/// Without candidates, nobody would read of a lost scheduler in time.
#[test]
fn lost_candidates_are_replaced() {
    let nodes: Vec<_> = (0..300).collect();
    let mut plans = ContactPlans::new(MIN_INTERVAL_MS);
    let lost = candidates(&run(&mut plans, &nodes, (1, 4_000)));
    let rest: Vec<_> = nodes
        .into_iter()
        .filter(|node| !lost.contains(node))
        .collect();
    let chosen = candidates(&run(&mut plans, &rest, (4_000, 8_000)));
    assert_eq!(chosen.len(), 10);
}

/// A scheduler that was paused reads all contacts late. If it took its candidates for lost, nodes would take turns to
/// follow the store.
#[test]
fn candidates_stay_if_the_scheduler_was_paused() {
    let nodes: Vec<_> = (0..300).collect();
    let mut plans = ContactPlans::new(MIN_INTERVAL_MS);
    let before = candidates(&run(&mut plans, &nodes, (1, 4_000)));
    let after = candidates(&run(&mut plans, &nodes, (9_000, 9_600)));
    assert_eq!(before, after);
}

/// Nodes that share a partition of the store wait for each other's appends.
#[test]
fn nodes_have_distinct_numbers() {
    let nodes: Vec<_> = (0..40).collect();
    let mut plans = ContactPlans::new(MIN_INTERVAL_MS);
    let settled = run(&mut plans, &nodes, (1, 3_000));
    let numbers: BTreeSet<_> = settled.iter().map(|(_, plan)| plan.index).collect();
    assert_eq!(numbers, (0..40).collect());
}

/// A scheduler that was cut off together with part of the cell could be heard by nodes with slow links only. One of them
/// took the role, and took seconds to read the state, before the others had noticed.
#[test_case(Some(1), true, true; "the first candidate")]
#[test_case(Some(8), false, false; "a candidate with a slow link")]
#[test_case(Some(0), true, false; "no candidate")]
#[test_case(None, true, false; "a node without a rank")]
fn only_candidates_with_fast_links_replace_a_yielding_scheduler(
    rank: Option<u32>,
    has_fast_link: bool,
    expected: bool,
) {
    assert_eq!(may_replace_yielding(rank, has_fast_link), expected);
}
