//! How calls fare on their way: late, lost, refused, counted.

use smol_str::SmolStr;
use syc_cell::pause;
use syc_cell::ports::OrderError;
use syc_cell::ports::RenewalReply;
use syc_cell::ports::Topic;
use syc_types::WorkerId;

use super::SharedPlatform;

/// Time that each call takes at least.
pub(super) const CALL_MS: u64 = 1;

impl SharedPlatform {
    pub(super) fn begin_order(&self, worker: &WorkerId) {
        let mut state = self.lock();
        let orders = state.orders.entry(worker.clone()).or_default();
        *orders += 1;
        let orders = *orders;
        state.most_orders = state.most_orders.max(orders);
    }

    pub(super) fn end_order(&self, worker: &WorkerId) {
        if let Some(orders) = self.lock().orders.get_mut(worker) {
            *orders -= 1;
        }
    }

    /// Says whether the next read of a whole partition is never answered.
    pub(super) fn take_silent_read(&self) -> bool {
        let faults = &mut self.lock().faults;
        let silent = faults.silent_reads > 0;
        faults.silent_reads = faults.silent_reads.saturating_sub(1);
        silent
    }

    /// Says whether no connection is free for the next start.
    pub(super) fn take_busy_start(&self) -> bool {
        let faults = &mut self.lock().faults;
        let busy = faults.busy_starts > 0;
        faults.busy_starts = faults.busy_starts.saturating_sub(1);
        busy
    }

    /// Makes the answer of a worker tell an odd clock, where it is to.
    pub(super) fn spoil_clock(&self, worker: &WorkerId, renewed: RenewalReply) -> RenewalReply {
        let mut state = self.lock();
        if !state.faults.odd_clocks.contains(worker) {
            return renewed;
        }
        state.odd_clocks_read += 1;
        RenewalReply {
            clock_ms: u64::MAX,
            ..renewed
        }
    }

    /// Waits as long as answers to reads of a topic are under way beyond the usual.
    pub(super) async fn hold_back(&self, topic: Topic) {
        let late_ms = self.lock().faults.late_job_reads_ms;
        if topic == Topic::Jobs {
            pause(late_ms).await;
        }
    }

    /// Waits as long as a call to a worker takes, or until it times out where the worker is silent.
    pub(super) async fn reach_worker(
        &self,
        worker: &WorkerId,
        timeout_ms: u64,
    ) -> Result<(), OrderError> {
        pause(CALL_MS).await;
        if self.lock().faults.silent_workers.contains(worker) {
            pause(timeout_ms).await;
            return Err(OrderError::InDoubt(SmolStr::new_static("silent")));
        }
        Ok(())
    }

    /// The same for an order, which some workers reset.
    pub(super) async fn reach_with_order(
        &self,
        worker: &WorkerId,
        timeout_ms: u64,
    ) -> Result<(), OrderError> {
        self.reach_worker(worker, timeout_ms).await?;
        if self.lock().faults.resetting_workers.contains(worker) {
            return Err(OrderError::InDoubt(SmolStr::new_static("reset")));
        }
        Ok(())
    }

    /// Waits for the answer of a worker to a call that it has carried out, or until the call times out.
    pub(super) async fn await_answer(
        &self,
        spent_ms: u64,
        timeout_ms: u64,
    ) -> Result<(), OrderError> {
        let late_ms = self.lock().faults.late_worker_answers_ms;
        let left_ms = timeout_ms.saturating_sub(spent_ms);
        pause(late_ms.min(left_ms)).await;
        if late_ms > left_ms {
            return Err(OrderError::InDoubt(SmolStr::new_static("late")));
        }
        Ok(())
    }

    /// Waits as long as a call takes, or for ever where the node is cut off; says whether the store
    /// turns it away.
    pub(super) async fn reach_store(&self) -> bool {
        pause(CALL_MS).await;
        let (cut_off, turned_away) = {
            let faults = &self.lock().faults;
            (
                faults.cut_off.contains(&self.node),
                faults.turned_away.contains(&self.node),
            )
        };
        if cut_off {
            return std::future::pending().await;
        }
        turned_away
    }
}
