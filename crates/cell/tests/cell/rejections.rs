//! Submits that a node rejects because of load: what is rejected is not stored, and what may be stored is not rejected.

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;

use syc_cell::StateAnswer;
use syc_cell::StoreOutcome;
use syc_cell::ports::Topic;
use syc_cell::records;
use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_wire::cell::Knowledge;
use syc_wire::cell::ShedRow;
use syc_workspace::WorkspacePolicy;
use test_case::test_case;

use crate::cluster::Cluster;
use crate::cluster::QUEUE;
use crate::cluster::configuration;
use crate::cluster::job;
use crate::cluster::settings;
use crate::cluster::step;
use crate::fake_scheduler::Answers;
use crate::fake_scheduler::FakeScheduler;

const NODE: usize = 0;

/// Number of submits after which a test takes it that none is rejected.
const SUBMITS: u64 = 20;

fn spec(id: u64, workspace: Option<&str>) -> JobSpec {
    JobSpec {
        workspace: workspace.map(Into::into),
        ..job(id, vec![step(1, 20)])
    }
}

/// A node that follows a scheduler that lists workspace `a`, and does not know any job.
struct Overload {
    cluster: Cluster,
    scheduler: FakeScheduler,
    next_id: Cell<u64>,
}

impl Overload {
    fn start() -> Self {
        let mut cluster = Cluster::start(0, 1);
        let row = ShedRow {
            workspace: "a".into(),
            queue: QUEUE.into(),
            wait_ms: 60_000,
        };
        let answers = Answers {
            rows: vec![row],
            append_ms: 1,
            contacts: true,
            knowledge: Some(Knowledge::NoSuchJob),
            queried: Vec::new(),
            notices_to_refuse: 0,
            notices: 0,
        };
        let scheduler = FakeScheduler::start(&cluster.platform, answers);
        cluster.add_node();
        Self {
            cluster,
            scheduler,
            next_id: Cell::new(1),
        }
    }

    fn submit(&self, spec: JobSpec) -> StoreOutcome {
        self.cluster
            .on(NODE, move |node| async move { node.submit(&spec).await })
    }

    /// Submits a new job of a workspace and returns its ID with the outcome.
    fn submit_new(&self, workspace: Option<&str>) -> (u64, StoreOutcome) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        (id, self.submit(spec(id, workspace)))
    }

    /// Submits new jobs until one is rejected, and returns its ID.
    fn wait_for_rejection(&self) -> u64 {
        self.cluster.wait("a rejection", || {
            let (id, outcome) = self.submit_new(Some("a"));
            matches!(outcome, StoreOutcome::Shed(_)).then_some(id)
        })
    }

    /// Submits new jobs until the scheduler was asked about one. None may be rejected. Returns its ID.
    fn wait_for_query(&self) -> u64 {
        self.cluster.wait("a query for a job's state", || {
            let (id, outcome) = self.submit_new(Some("a"));
            assert_eq!(outcome, StoreOutcome::Stored);
            let answers = self.scheduler.answers();
            answers.queried.contains(&id).then_some(id)
        })
    }

    fn is_stored(&self, id: u64) -> bool {
        is_stored(&self.cluster, id)
    }
}

/// Returns whether the store has a job of workspace `a`.
fn is_stored(cluster: &Cluster, id: u64) -> bool {
    let key = records::job_key(JobId(id), Some(&"a".into()));
    let peers = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let partitions = settings(NODE, &peers).job_partitions();
    cluster.platform.with_store(|store| {
        (0..partitions).any(|partition| {
            let newest = store.newest(Topic::Jobs, partition);
            newest.records.iter().any(|(_, record)| record.key == key)
        })
    })
}

/// Guards against a rejected job that runs, and against a rejection that outlasts the overload.
#[test]
fn a_rejected_job_is_not_stored_and_may_be_accepted_later() {
    let cell = Overload::start();
    let id = cell.wait_for_rejection();
    assert!(!cell.is_stored(id));
    cell.scheduler.answers().rows.clear();
    cell.cluster.wait("the retry to be stored", || {
        let outcome = cell.submit(spec(id, Some("a")));
        (outcome == StoreOutcome::Stored).then_some(())
    });
    assert!(cell.is_stored(id));
}

/// The caller of an accepted job repeats the submit if it got no answer. It must not hear that the job does not run.
#[test_case(Some(Knowledge::Queued); "known job")]
#[test_case(Some(Knowledge::Completed); "ended job")]
#[test_case(Some(Knowledge::Unsure); "scheduler that is not sure")]
#[test_case(None; "scheduler that does not answer")]
fn a_job_that_may_be_stored_is_accepted(knowledge: Option<Knowledge>) {
    let cell = Overload::start();
    cell.wait_for_rejection();
    cell.scheduler.answers().knowledge = knowledge;
    let id = cell.wait_for_query();
    assert!(cell.is_stored(id));
}

/// One of them may be stored after the other was rejected.
#[test]
fn submits_of_the_same_id_under_way_are_not_rejected() {
    let cell = Overload::start();
    cell.wait_for_rejection();
    cell.cluster.wait("queries for both submits", || {
        let id = cell.next_id.replace(cell.next_id.get() + 1);
        let outcomes = cell.cluster.on(NODE, move |node| async move {
            let other = Rc::clone(&node);
            let first = actix_rt::spawn(async move { node.submit(&spec(id, Some("a"))).await });
            let second = other.submit(&spec(id, Some("a"))).await;
            [first.await.expect("an outcome"), second]
        });
        assert_eq!(outcomes, [StoreOutcome::Stored; 2]);
        let answers = cell.scheduler.answers();
        let queries = answers.queried.iter().filter(|queried| **queried == id);
        (queries.count() == 2).then_some(())
    });
}

/// Without the scheduler's answer, the job may have been stored by another node.
#[test]
fn a_node_cut_off_from_the_scheduler_rejects_nothing() {
    let cell = Overload::start();
    cell.wait_for_rejection();
    cell.scheduler.answers().contacts = false;
    cell.scheduler.answers().knowledge = None;
    for _ in 0..SUBMITS {
        let (_, outcome) = cell.submit_new(Some("a"));
        assert_eq!(outcome, StoreOutcome::Stored);
    }
}

/// The scheduler may still answer queries over a link on which it no longer gets contacts in time.
#[test]
fn a_view_that_is_not_renewed_is_no_longer_acted_on() {
    let cell = Overload::start();
    cell.wait_for_rejection();
    cell.scheduler.answers().contacts = false;
    cell.cluster.wait("an accepted job", || {
        let (_, outcome) = cell.submit_new(Some("a"));
        (outcome == StoreOutcome::Stored).then_some(())
    });
    for _ in 0..SUBMITS {
        let (_, outcome) = cell.submit_new(Some("a"));
        assert_eq!(outcome, StoreOutcome::Stored);
    }
}

/// With a slow store, an earlier attempt may be stored without the scheduler knowing of it yet.
#[test]
fn a_slow_store_at_the_scheduler_rejects_nothing() {
    let cell = Overload::start();
    cell.wait_for_rejection();
    cell.scheduler.answers().append_ms = 50;
    cell.cluster.wait("an accepted job", || {
        let (_, outcome) = cell.submit_new(Some("a"));
        (outcome == StoreOutcome::Stored).then_some(())
    });
    let (_, outcome) = cell.submit_new(Some("a"));
    assert_eq!(outcome, StoreOutcome::Stored);
}

/// A submit that is no candidate for a rejection must not wait for the scheduler either.
#[test_case(None; "no workspace")]
#[test_case(Some("b"); "workspace within its rate")]
fn jobs_of_others_are_accepted_without_a_query(workspace: Option<&str>) {
    let cell = Overload::start();
    cell.wait_for_rejection();
    cell.scheduler.answers().queried.clear();
    for _ in 0..SUBMITS {
        let (_, outcome) = cell.submit_new(workspace);
        assert_eq!(outcome, StoreOutcome::Stored);
    }
    assert_eq!(cell.scheduler.answers().queried, Vec::<u64>::new());
}

/// Publishes a workspace that may send one job a second.
fn publish_workspace(cluster: &Cluster) {
    let mut configuration = configuration(2);
    let policy = WorkspacePolicy::unlimited("a".into()).with_rate(Some(1.0), Some(1.0));
    let added = configuration.workspaces.add(policy, &[]);
    added.expect("a new workspace");
    cluster.platform.publish(configuration);
}

/// The scheduler's own view, at its node and at another one.
#[test_case(true; "at the scheduler's node")]
#[test_case(false; "at another node")]
fn a_workspace_far_beyond_its_rate_is_rejected_and_its_accepted_jobs_are_not(at_scheduler: bool) {
    let cluster = Cluster::start(2, 1);
    publish_workspace(&cluster);
    let scheduler = cluster.scheduler();
    let node = if at_scheduler {
        scheduler
    } else {
        1 - scheduler
    };
    // Each job takes the whole worker for a second, and is useful for nine.
    let spec = |id| JobSpec {
        workspace: Some("a".into()),
        ..job(id, vec![step(4, 1_000)])
    };
    let submit =
        |spec: JobSpec| cluster.on(node, move |node| async move { node.submit(&spec).await });
    let next_id = Cell::new(1);
    let rejected = cluster.wait("a rejection", || {
        let id = next_id.replace(next_id.get() + 1);
        match submit(spec(id)) {
            StoreOutcome::Shed(_) => Some(id),
            outcome => {
                assert_eq!(outcome, StoreOutcome::Stored);
                None
            }
        }
    });
    assert!(!is_stored(&cluster, rejected));
    for accepted in 1..rejected {
        assert_eq!(submit(spec(accepted)), StoreOutcome::Stored);
    }
    let unowned = JobSpec {
        workspace: None,
        ..spec(rejected + 1)
    };
    assert_eq!(submit(unowned), StoreOutcome::Stored);
    let state = cluster.on(scheduler, move |node| async move {
        node.state(JobId(rejected), Some(&"a".into())).await
    });
    assert_eq!(state, StateAnswer::NoSuchJob);
}
