//! Notices of stored jobs while the scheduler changes.

use syc_cell::StoreOutcome;

use crate::cluster::Cluster;
use crate::cluster::step;
use crate::fake_scheduler::Answers;
use crate::fake_scheduler::FakeScheduler;

const NODE: usize = 0;

/// A notice that met a node without the role was lost, and the job waited until its partition was read.
#[test]
fn a_notice_is_repeated_until_the_scheduler_takes_it() {
    let mut cluster = Cluster::start(0, 1);
    let answers = Answers {
        rows: Vec::new(),
        append_ms: 1,
        contacts: true,
        knowledge: None,
        queried: Vec::new(),
        notices_to_refuse: 2,
        notices: 0,
    };
    let scheduler = FakeScheduler::start(&cluster.platform, answers);
    cluster.add_node();
    cluster.wait("a submit while the scheduler answers", || {
        let outcome = cluster.submit_once(NODE, 1, vec![step(1, 20)]);
        assert_eq!(outcome, StoreOutcome::Stored);
        (scheduler.answers().notices > 0).then_some(())
    });
    cluster.wait("a notice that is taken", || {
        let answers = scheduler.answers();
        (answers.notices > answers.notices_to_refuse).then_some(())
    });
}
