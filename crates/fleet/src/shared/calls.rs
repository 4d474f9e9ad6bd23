//! Simulated network: delays, lost and refused calls, and call counts.

use smol_str::SmolStr;
use syc_cell::pause;
use syc_cell::ports::Condition;
use syc_cell::ports::OrderError;
use syc_cell::ports::Renewal;
use syc_cell::ports::RenewalReply;
use syc_cell::ports::StartCommand;
use syc_cell::ports::Topic;
use syc_types::WorkerId;

use super::HeldCall;
use super::SharedPlatform;

/// Minimum duration of a call.
pub(super) const CALL_MS: u64 = 1;

impl SharedPlatform {
    pub(super) fn begin_start(&self, worker: &WorkerId) {
        let mut state = self.lock();
        let in_flight = state.starts_in_flight.entry(worker.clone()).or_default();
        *in_flight += 1;
        let in_flight = *in_flight;
        state.max_starts_in_flight = state.max_starts_in_flight.max(in_flight);
    }

    pub(super) fn end_start(&self, worker: &WorkerId) {
        if let Some(in_flight) = self.lock().starts_in_flight.get_mut(worker) {
            *in_flight -= 1;
        }
    }

    /// Counts a renewal and records the wait that it asks for.
    pub(super) fn note_renewal(&self, worker: &WorkerId, wait_ms: u64) {
        let mut state = self.lock();
        *state.renewals.entry(worker.clone()).or_default() += 1;
        let longest_ms = state.longest_waits_ms.entry(worker.clone()).or_default();
        *longest_ms = (*longest_ms).max(wait_ms);
    }

    /// Counts a read of the store by this node.
    pub(super) fn count_read(&self) {
        *self
            .lock()
            .reads_by_node
            .entry(self.node.clone())
            .or_default() += 1;
    }

    /// Returns whether the next read of a full partition is never answered, and counts it.
    pub(super) fn take_unanswered_read(&self) -> bool {
        let faults = &mut self.lock().faults;
        let silent = faults.unanswered_reads > 0;
        faults.unanswered_reads = faults.unanswered_reads.saturating_sub(1);
        silent
    }

    /// Holds a start up if the faults say so. Returns whether it is held up.
    pub(super) fn hold_start(&self, process: &WorkerId, command: &StartCommand) -> bool {
        let mut state = self.lock();
        let is_held = state.faults.held_starts > 0;
        if is_held {
            state.faults.held_starts -= 1;
            let call = HeldCall::Start(process.clone(), command.clone());
            state.held_calls.push(call);
        }
        is_held
    }

    /// Holds a renewal up that carries an acknowledgement, if the faults say so. Returns whether it is held up.
    pub(super) fn hold_renewal(&self, process: &WorkerId, renewal: &Renewal) -> bool {
        let mut state = self.lock();
        let is_held = renewal.acknowledged > 0 && state.faults.held_acknowledgements > 0;
        if is_held {
            state.faults.held_acknowledgements -= 1;
            let call = HeldCall::Renewal(process.clone(), *renewal);
            state.held_calls.push(call);
        }
        is_held
    }

    /// Waits until a call to a life that gets no answers times out. The worker may have carried it out.
    pub(super) async fn await_silent_life(
        &self,
        life: &WorkerId,
        timeout_ms: u64,
    ) -> Result<(), OrderError> {
        let is_silent = self.lock().faults.silent_lives.contains(life);
        if is_silent {
            pause(timeout_ms).await;
            return Err(OrderError::InDoubt(SmolStr::new_static("no reply")));
        }
        Ok(())
    }

    /// Returns whether no connection is free for the next start, and counts it.
    pub(super) fn take_start_without_connection(&self) -> bool {
        let faults = &mut self.lock().faults;
        let busy = faults.starts_without_connection > 0;
        faults.starts_without_connection = faults.starts_without_connection.saturating_sub(1);
        busy
    }

    /// Replaces the clock in a renewal reply if the faults of the worker say so.
    pub(super) fn corrupt_clock(&self, worker: &WorkerId, renewed: RenewalReply) -> RenewalReply {
        let mut state = self.lock();
        if !state.faults.corrupt_clocks.contains(worker) {
            return renewed;
        }
        state.corrupt_clocks_returned += 1;
        RenewalReply {
            clock_ms: u64::MAX,
            ..renewed
        }
    }

    /// Delays the answer to a read of a topic by the configured time.
    pub(super) async fn delay_read(&self, topic: Topic) {
        let late_ms = self.lock().faults.job_read_delay_ms;
        if topic == Topic::Jobs {
            pause(late_ms).await;
        }
    }

    /// Returns whether a worker neither executes nor answers calls of this node.
    pub(super) fn is_silent(&self, worker: &WorkerId) -> bool {
        let faults = &self.lock().faults;
        let link = (self.node.clone(), worker.clone());
        faults.unresponsive_workers.contains(worker) || faults.unreachable_workers.contains(&link)
    }

    /// Waits for the duration of a call to a worker, or for the timeout if the worker is unresponsive or out
    /// of the node's reach.
    pub(super) async fn reach_worker(
        &self,
        worker: &WorkerId,
        timeout_ms: u64,
    ) -> Result<(), OrderError> {
        let link = (self.node.clone(), worker.clone());
        *self.lock().calls.entry(link).or_default() += 1;
        pause(CALL_MS).await;
        if self.is_silent(worker) {
            pause(timeout_ms).await;
            return Err(OrderError::InDoubt(SmolStr::new_static("no reply")));
        }
        Ok(())
    }

    /// Like [`Self::reach_worker`] for a command, whose connection some workers reset.
    pub(super) async fn reach_worker_with_order(
        &self,
        worker: &WorkerId,
        timeout_ms: u64,
    ) -> Result<(), OrderError> {
        self.reach_worker(worker, timeout_ms).await?;
        if self.lock().faults.resetting_workers.contains(worker) {
            return Err(OrderError::InDoubt(SmolStr::new_static("connection reset")));
        }
        Ok(())
    }

    /// Waits for the reply to a call that the worker has executed, or until the call times out.
    pub(super) async fn await_reply(
        &self,
        spent_ms: u64,
        timeout_ms: u64,
    ) -> Result<(), OrderError> {
        let late_ms = self.lock().faults.worker_reply_delay_ms;
        let left_ms = timeout_ms.saturating_sub(spent_ms);
        pause(late_ms.min(left_ms)).await;
        if late_ms > left_ms {
            return Err(OrderError::InDoubt(SmolStr::new_static(
                "reply delayed beyond the timeout",
            )));
        }
        Ok(())
    }

    /// Returns whether an append is lost because it repeats none.
    pub(super) fn is_unrepeated_append_lost(
        &self,
        topic: Topic,
        partition: u32,
        condition: &Condition,
    ) -> bool {
        let state = self.lock();
        let is_repeat = state.store.is_repeat(topic, partition, condition);
        state.faults.only_repeats_answered && !is_repeat
    }

    /// Returns whether the store refuses this node.
    pub(super) fn is_refused(&self) -> bool {
        self.lock().faults.refused_nodes.contains(&self.node)
    }

    /// Returns whether this node can't read a partition.
    pub(super) fn is_unreadable(&self, topic: Topic, partition: u32) -> bool {
        let faults = &self.lock().faults;
        faults.unavailable_partitions.contains(&(topic, partition))
            || faults
                .unreadable_topics
                .contains(&(self.node.clone(), topic))
    }

    /// Waits for the duration of a call to the store, or forever if the node is partitioned from it. Returns whether
    /// the store refuses the call.
    pub(super) async fn reach_store(&self) -> bool {
        pause(CALL_MS).await;
        let (partitioned, refused) = {
            let faults = &self.lock().faults;
            (
                faults.partitioned_nodes.contains(&self.node),
                faults.refused_nodes.contains(&self.node),
            )
        };
        if partitioned {
            return std::future::pending().await;
        }
        refused
    }
}
