//! Log lines and metrics about the lives of workers: what a life's clock showed at first, and which leases it was sent.

use syc_sched::WorkerKey;

use crate::clock::now;
use crate::leader::Leader;
use crate::leader::lease_trace::LifeEnd;
use crate::leader::worker_link::WorkerLink;
use crate::log;
use crate::ports::Platform;

impl<P> Leader<P>
where
    P: Platform,
{
    /// Logs the first answer of a life to this scheduler.
    pub(super) fn log_first_answer(&self, link: &WorkerLink, clock_ms: u64) {
        let attached_ms = now().since(link.trace.attached_at());
        log::worker_answered_first(&link.address.id, clock_ms, attached_ms, self.token);
    }

    /// Records how a life was found to be over, for the line that tells its end.
    pub(super) fn record_life_end(&self, worker: WorkerKey, end: LifeEnd) {
        if let Some(link) = self.link_to(worker) {
            link.trace.record_life_end(end);
        }
    }

    /// Logs and counts that the session with a life has ended. What it was sent may have reached the next one.
    pub(super) fn report_life_end(&self, link: &WorkerLink) {
        let how = link.trace.life_end().as_str();
        let calls = link.trace.unconfirmed();
        let counts = [("in_doubt", calls.in_doubt), ("answered", calls.answered)];
        self.node.metrics.worker_life_over(how);
        for (result, count) in counts {
            self.node.metrics.former_life_calls(how, result, count);
        }
        log::worker_life_over(&log::LifeOver {
            worker: &link.address.id,
            how,
            calls,
            under_way: link.orders_in_flight(),
            clock_age_ms: link.clock_age_ms(),
            lease: link.trace.last_lease(),
            token: self.token,
        });
    }
}
