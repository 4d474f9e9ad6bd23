//! Worker sessions: a loop of renewals extends the leases and collects the runs that ended.

use std::rc::Rc;
use std::time::Duration;

use syc_sched::Event;
use syc_sched::WorkerKey;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;

use crate::clock::now;
use crate::clock::pause;
use crate::leader::Leader;
use crate::leader::lease_trace::LeaseCall;
use crate::leader::lease_trace::LifeEnd;
use crate::leader::worker_link::WorkerLink;
use crate::log;
use crate::ports::OrderError;
use crate::ports::Platform;
use crate::ports::Renewal;
use crate::ports::WorkerAddress;
use crate::unreadable::Source;
use crate::worker_command::WorkerCommand;

/// Maximum time that a renewal waits until previously reported ends are written.
const WRITE_WAIT_MS: u64 = 150;

/// Backoff after a failed renewal; it doubles up to the limit.
const RETRY_MS: u64 = 60;

/// How long a worker that runs nothing holds a renewal open where calls are relayed: the longest that workers allow.
/// Ends and starts are noticed as before, since a worker with an end answers at once and orders are calls of their own.
const IDLE_WAIT_MS: u64 = 2_000;

/// Maximum backoff after failed renewals.
const MAX_RETRY_MS: u64 = 400;

/// A session with one worker.
#[derive(Debug)]
pub(super) struct Session {
    link: Rc<WorkerLink>,
    task: Option<actix_rt::task::JoinHandle<()>>,
}

impl Session {
    /// Aborts the renewal task, and ends the orders that wait to be sent.
    pub(super) fn abort(&self) {
        self.link.close();
        if let Some(task) = &self.task {
            task.abort();
        }
    }

    /// Returns the link for sending orders to the worker.
    pub(super) fn link(&self) -> Rc<WorkerLink> {
        Rc::clone(&self.link)
    }

    /// Returns the worker's id.
    pub(super) fn worker(&self) -> &WorkerId {
        &self.link.address.id
    }
}

impl<P> Leader<P>
where
    P: Platform,
{
    pub(super) fn attach(self: &Rc<Self>, worker: WorkerKey, spec: &WorkerSpec) {
        // A takeover states the number of workers that it loads.
        if self.loaded.get() {
            log::worker_listed(&spec.id, "listed");
        }
        let address = WorkerAddress {
            id: spec.id.clone(),
            address: spec.address.clone(),
        };
        let fence = self.call_fences.attach(spec.id.name());
        let link = Rc::new(WorkerLink::new(address, fence));
        // A worker without a known address cannot be queried.
        let has_address = !link.address.address.is_empty();
        if has_address {
            let mut carriers = self.carriers.borrow_mut();
            carriers.add_worker(&spec.id, &spec.zone, now());
        }
        let session = renew_leases(Rc::clone(self), worker, Rc::clone(&link));
        let session = Session {
            link,
            task: has_address.then(|| actix_rt::spawn(session)),
        };
        self.sessions.borrow_mut().insert(worker, session);
    }

    /// Returns the attached lives of a worker that began before this one.
    pub(super) fn sessions_with_former_lives(&self, id: &WorkerId) -> Vec<WorkerKey> {
        let sessions = self.sessions.borrow();
        let former = sessions
            .iter()
            .filter(|(_, session)| session.worker().is_followed_by(id));
        former.map(|(key, _)| key).collect()
    }

    /// Returns the median of the slack that workers are given to answer a renewal.
    pub(super) fn median_slack_ms(&self) -> u64 {
        let sessions = self.sessions.borrow();
        let slacks_ms = sessions
            .values()
            .map(|session| self.renewal_slack_ms(&session.link));
        let mut slacks_ms: Vec<_> = slacks_ms.collect();
        slacks_ms.sort_unstable();
        slacks_ms.get(slacks_ms.len() / 2).copied().unwrap_or(0)
    }

    /// Returns how long to wait for the answer to a renewal beyond the wait it requests.
    pub(super) fn renewal_slack_ms(&self, link: &WorkerLink) -> u64 {
        let settings = &self.node.settings;
        let min_slack_ms = settings.timing.renewal_slack_ms;
        link.answer_timeout
            .renewal_slack_ms(min_slack_ms, settings.lease_ms())
    }

    pub(super) fn detach(&self, worker: WorkerKey) {
        let removed = self.sessions.borrow_mut().remove(worker);
        if let Some(session) = removed {
            let id = session.worker();
            log::worker_listed(id, "detached");
            self.report_life_end(&session.link);
            session.abort();
            self.remove_from_carriers(id);
            self.forget_call_fence(id);
            self.node
                .unreadable
                .forget(Source::WorkerAnswers, id.as_str());
        }
    }

    /// Ends the assignment of a worker to a carrier, unless another session has the same id: without a start time, all
    /// incarnations of a worker do.
    fn remove_from_carriers(&self, id: &WorkerId) {
        let sessions = self.sessions.borrow();
        if !sessions.values().any(|session| session.worker() == id) {
            self.carriers.borrow_mut().remove_worker(id);
        }
    }

    /// Forgets the token of the calls to a worker, unless another life of it is attached.
    fn forget_call_fence(&self, id: &WorkerId) {
        let sessions = self.sessions.borrow();
        let mut names = sessions.values().map(|session| session.worker().name());
        if !names.any(|name| name == id.name()) {
            self.call_fences.forget(id.name());
        }
    }

    /// Returns how long the worker may hold a renewal open, waiting for a run to end.
    fn renewal_wait_ms(&self, worker: WorkerKey, link: &WorkerLink) -> u64 {
        let default_ms = self.node.settings.timing.renewal_wait_ms;
        let default_ms = if link.is_idle() && self.carriers.borrow().is_relaying() {
            default_ms.max(IDLE_WAIT_MS)
        } else {
            default_ms
        };
        self.scheduler.borrow().renewal_wait_ms(worker, default_ms)
    }

    /// Waits until the ends reported by the worker are written, so that the next renewal
    /// acknowledges them. Returns the number of the latest end to acknowledge and whether unwritten
    /// ends remain.
    async fn acknowledged_ends(&self, worker: WorkerKey) -> (u64, bool) {
        let (acknowledged, has_unwritten) = self.scheduler.borrow_mut().acknowledged_ends(worker);
        if !has_unwritten {
            return (acknowledged, has_unwritten);
        }
        let deadline = now().plus(WRITE_WAIT_MS);
        loop {
            let remaining_ms = deadline.since(now());
            let written = self.progress_written.notified();
            let waited = tokio::time::timeout(Duration::from_millis(remaining_ms), written).await;
            let (acknowledged, has_unwritten) =
                self.scheduler.borrow_mut().acknowledged_ends(worker);
            if !has_unwritten || waited.is_err() {
                return (acknowledged, has_unwritten);
            }
        }
    }
}

/// Renews the leases on a worker until the session ends.
async fn renew_leases<P>(leader: Rc<Leader<P>>, worker: WorkerKey, link: Rc<WorkerLink>)
where
    P: Platform,
{
    let lease_ms = leader.node.settings.lease_ms();
    let mut failures: u32 = 0;
    // A worker answers immediately while it lists unacknowledged ends, so ends that were skipped as
    // unreadable have to be acknowledged too.
    let mut skipped_end = 0;
    loop {
        let (mut acknowledged, has_unwritten) = leader.acknowledged_ends(worker).await;
        if !has_unwritten {
            acknowledged = acknowledged.max(skipped_end);
        }
        if leader.ended.get() {
            return;
        }
        // After a failure, renewals only query the worker and set no lease: any renewal may still
        // arrive, and would delay the time at which the worker's leases have certainly expired. The
        // same holds for a worker that takes no orders, whose lease is left to expire deliberately.
        let is_answering = failures == 0 && link.has_clock_reading();
        let may_renew = is_answering && leader.scheduler.borrow().may_renew(worker);
        let sent_at = now();
        let lease_from = leader.lease_from(sent_at).filter(|_| may_renew);
        let lease_until_ms = lease_from.and_then(|from| link.lease_until_ms(from, lease_ms));
        let may_wait = is_answering && !has_unwritten;
        let wait_ms = if may_wait {
            leader.renewal_wait_ms(worker, &link)
        } else {
            0
        };
        if lease_until_ms.is_some() {
            leader.apply(Event::Renewing { worker });
        }
        let token = link.fence.token_for_renewal(lease_until_ms, acknowledged);
        let lease = link.lease_term(LeaseCall::Renewal, lease_until_ms);
        let lease = lease.map(|term| link.trace.begin_lease(term, sent_at));
        let renewal = Renewal {
            lease_until_ms,
            acknowledged,
            wait_ms,
            token,
        };
        let answer_timeout = &link.answer_timeout;
        let slack_ms = leader.renewal_slack_ms(&link);
        let renewal = WorkerCommand::Renew(renewal);
        let renewed = leader
            .renew_worker(&link.address, &renewal, wait_ms + slack_ms)
            .await;
        let took_ms = now().since(sent_at);
        link.trace.record_renewal(renewed.as_ref().err());
        if let Some(lease) = lease {
            link.trace.end_lease(lease, renewed.as_ref().err());
        }
        match renewed {
            Ok(renewed) => {
                failures = 0;
                skipped_end = renewed.skipped_end;
                let reported_ends = skipped_end > 0 || !renewed.report.ended.is_empty();
                answer_timeout.record_renewal(took_ms, wait_ms, reported_ends);
                leader.node.report_skipped(
                    Source::WorkerAnswers,
                    link.address.id.as_str(),
                    &renewed.skipped,
                );
                if !link.has_clock_reading() {
                    leader.log_first_answer(&link, renewed.clock_ms);
                }
                link.record_clock(renewed.clock_ms);
                link.record_report(&renewed.report);
                leader.apply(Event::Renewed {
                    worker,
                    sent_at,
                    report: renewed.report,
                });
            }
            Err(OrderError::Replaced) => {
                leader.record_life_end(worker, LifeEnd::Replaced);
                leader.apply(Event::Replaced { worker });
                return;
            }
            Err(OrderError::Restarted) => {
                leader.record_life_end(worker, LifeEnd::Reborn);
                leader.apply(Event::Restarted { worker });
                return;
            }
            Err(OrderError::Fenced) if !link.has_superseded(token) => {
                leader.step_down("fenced_by_worker");
                return;
            }
            Err(error) => {
                failures += 1;
                leader.call_fences.raise_after_failure(&link.fence);
                skipped_end = 0;
                // Requests that were not sent or whose connection broke tell nothing about response
                // times.
                if matches!(error, OrderError::InDoubt(_)) && took_ms >= wait_ms + slack_ms {
                    answer_timeout.record(slack_ms);
                }
                leader.apply(Event::RenewalFailed { worker });
                let wait_ms = (RETRY_MS << failures.min(4)).min(MAX_RETRY_MS);
                pause(wait_ms).await;
            }
        }
    }
}
