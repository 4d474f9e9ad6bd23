//! Compares which workers this scheduler and other nodes reach, while most workers are silent.

use std::rc::Rc;

use futures_util::future::join_all;
use smol_str::SmolStr;
use syc_net::PeerClient;
use syc_sched::Reach;
use syc_sched::WorkerKey;

use crate::clock::now;
use crate::leader::Leader;
use crate::leader::worker_calls::call_through;
use crate::leader::worker_calls::is_reached;
use crate::log;
use crate::ports::Platform;
use crate::ports::Renewal;
use crate::ports::WorkerAddress;
use crate::worker_command::RelayedCall;
use crate::worker_command::WorkerCommand;

/// Largest number of workers that each of the other nodes is asked to query.
const MAX_QUERIED_WORKERS: usize = 8;

/// A silent worker that other nodes query.
#[derive(Debug)]
struct QueriedWorker {
    key: WorkerKey,
    address: WorkerAddress,
    /// How long the worker is given to answer, as long as for the calls of this node.
    timeout_ms: u64,
    /// Asks for its report.
    query: WorkerCommand,
}

impl<P> Leader<P>
where
    P: Platform,
{
    /// Starts to compare the reach of this node with that of the candidates for its role, if most workers are silent.
    pub(super) fn compare_reach_if_due(self: &Rc<Self>) {
        if self.is_comparing_reach.get() {
            return;
        }
        let counts = self.scheduler.borrow().worker_counts();
        let mut isolation = self.worker_isolation.borrow_mut();
        let slack_ms = || self.median_slack_ms();
        if !isolation.is_comparison_due(counts, slack_ms, now()) {
            return;
        }
        self.is_comparing_reach.set(true);
        let leader = Rc::clone(self);
        // Not one of the tasks of this tenure: they are aborted when the role is handed over.
        actix_rt::spawn(async move {
            leader.compare_reach().await;
            leader.is_comparing_reach.set(false);
        });
    }

    /// Compares the reach, and hands over the role if another node reaches more workers.
    async fn compare_reach(self: &Rc<Self>) {
        let workers = self.workers_to_query();
        let candidates = self.candidate_clients();
        let queries = candidates
            .iter()
            .map(|(_, client)| self.query_through(client, &workers));
        let results = join_all(queries).await;
        let mut best = (SmolStr::default(), Vec::new());
        let mut best_reach = Reach::default();
        for ((name, _), reached) in candidates.iter().zip(results) {
            let reach = self.reach_of(&workers, &reached);
            if reach.is_better_than(best_reach) {
                best = (name.clone(), reached);
                best_reach = reach;
            }
        }
        if best_reach.asked == 0 {
            self.worker_isolation.borrow_mut().note_unanswered(now());
        }
        let (successor, reached) = best;
        let reached = self.leave_out_answering(&workers, reached).await;
        if self.ended.get() || self.handing_over.get() {
            return;
        }
        let counts = self.scheduler.borrow().worker_counts();
        let reach = self.reach_of(&workers, &reached);
        let hands_over = reach.exceeds(counts);
        log::reach_compared(&log::ReachComparison {
            token: self.token,
            counts,
            candidates: candidates.len(),
            best: &successor,
            reach,
            hands_over,
        });
        if hands_over {
            self.hand_over_to(successor, "cut_off_from_workers").await;
        }
    }

    /// Queries the workers that another node reached from this node as well, and leaves out those that answer. They were
    /// slow, or have come back only just.
    async fn leave_out_answering(
        &self,
        workers: &[QueriedWorker],
        reached: Vec<Option<bool>>,
    ) -> Vec<Option<bool>> {
        let queries = workers.iter().zip(reached).map(|(worker, reached)| {
            let port = &self.node.platform;
            let answer = worker.query.send(port, &worker.address, worker.timeout_ms);
            async move {
                let answers_here = reached == Some(true) && is_reached(&answer.await);
                reached.filter(|_| !answers_here)
            }
        });
        join_all(queries).await
    }

    /// Chooses silent workers from all over the list. They are others each time if there are many.
    fn workers_to_query(&self) -> Vec<QueriedWorker> {
        let scheduler = self.scheduler.borrow();
        let sessions = self.sessions.borrow();
        let mut silent = Vec::new();
        for (key, session) in sessions.iter() {
            let link = session.link();
            if !scheduler.is_silent(key) || link.address.address.is_empty() {
                continue;
            }
            silent.push(QueriedWorker {
                key,
                timeout_ms: self.renewal_slack_ms(&link),
                address: link.address.clone(),
                query: query(link.fence.token_for_query()),
            });
        }
        let interval = silent.len().div_ceil(MAX_QUERIED_WORKERS).max(1);
        let first = usize::try_from(now().0).unwrap_or(0) % interval;
        silent.into_iter().skip(first).step_by(interval).collect()
    }

    fn candidate_clients(&self) -> Vec<(SmolStr, Rc<PeerClient>)> {
        let plans = self.contact_plans.borrow();
        let clients = self.peer_clients.borrow();
        let mut candidates = Vec::new();
        for name in plans.candidates() {
            if let Some(client) = clients.get(name) {
                candidates.push((name.clone(), Rc::clone(client)));
            }
        }
        candidates
    }

    /// Has another node query workers. Returns for each whether it was reached; nothing if the node did not reply.
    async fn query_through(
        &self,
        client: &PeerClient,
        workers: &[QueriedWorker],
    ) -> Vec<Option<bool>> {
        let queries = workers.iter().map(|worker| {
            let call = RelayedCall {
                worker: worker.address.clone(),
                timeout_ms: worker.timeout_ms,
                valid_until_ms: now().plus(worker.timeout_ms).0,
                command: worker.query.clone(),
            };
            async move { call_through(client, &call).await }
        });
        let mut reached = Vec::with_capacity(workers.len());
        for answer in join_all(queries).await {
            reached.push(answer.ok().map(|answer| is_reached(&answer)));
        }
        reached
    }

    /// Counts the workers that are still silent to this node. One that has answered it meanwhile was only slow.
    fn reach_of(&self, workers: &[QueriedWorker], reached: &[Option<bool>]) -> Reach {
        let scheduler = self.scheduler.borrow();
        let mut reach = Reach::default();
        for (worker, reached) in workers.iter().zip(reached) {
            let Some(is_reached) = *reached else {
                continue;
            };
            if scheduler.is_silent(worker.key) {
                reach.asked += 1;
                reach.reached += usize::from(is_reached);
            }
        }
        reach
    }
}

/// Returns a renewal that only asks for a report. One that sets a lease would delay the time at which the leases of the
/// worker have expired.
const fn query(token: u64) -> WorkerCommand {
    WorkerCommand::Renew(Renewal {
        lease_until_ms: None,
        acknowledged: 0,
        wait_ms: 0,
        token,
    })
}
