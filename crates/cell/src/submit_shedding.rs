//! Carries out the decisions of [`crate::shedding`] on submits, and makes sure that a rejected job never runs.
//!
//! Before a rejection, the scheduler is asked for the state of the job's ID. Only if there is certainly no such job,
//! and this node is not storing one either, the submit is rejected.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_types::Millis;

use crate::Node;
use crate::StateAnswer;
use crate::clock::now;
use crate::ports::Platform;
use crate::shedding::Decision;
use crate::shedding::Rejection;
use crate::shedding::ShedView;
use crate::shedding::StoreTimes;
use crate::shedding::decide;

/// Longest time for which a submit waits for the scheduler's answer about its ID.
const QUERY_TIMEOUT_MS: u64 = 200;

/// Largest part of a caller's own timeout that this wait may take, as its divisor.
const TIMEOUT_DIVISOR: u64 = 4;

/// Nothing is rejected for this long after an append of a job was in doubt, or the scheduler was not notified of one.
/// An append may be carried out up to 3 s after it was sent, and the scheduler answers for unknown jobs if it has read
/// all partitions within the last 2.5 s.
const IN_DOUBT_HOLD_MS: u64 = 6_000;

/// Submits that this node is handling.
#[derive(Debug, Default)]
pub(crate) struct SubmitsUnderWay {
    counts: RefCell<HashMap<JobId, u32>>,
    /// When there last was a job that may be in the store and that the scheduler may not know.
    in_doubt_at: Cell<Option<Millis>>,
}

impl SubmitsUnderWay {
    /// Counts a submit of this ID until the returned guard is dropped.
    pub(crate) fn begin(self: &Rc<Self>, id: JobId) -> SubmitGuard {
        *self.counts.borrow_mut().entry(id).or_default() += 1;
        SubmitGuard {
            submits: Rc::clone(self),
            id,
        }
    }

    /// Records that a job may be in the store, or may still be stored, without the scheduler being notified.
    pub(crate) fn note_in_doubt(&self) {
        self.in_doubt_at.set(Some(now()));
    }

    fn was_in_doubt_recently(&self) -> bool {
        let in_doubt_at = self.in_doubt_at.get();
        in_doubt_at.is_some_and(|at| now().since(at) < IN_DOUBT_HOLD_MS)
    }
}

/// A submit that this node is handling.
#[derive(Debug)]
pub(crate) struct SubmitGuard {
    submits: Rc<SubmitsUnderWay>,
    id: JobId,
}

impl SubmitGuard {
    /// Returns whether this node handles another submit of the same ID.
    fn has_duplicate(&self) -> bool {
        let counts = self.submits.counts.borrow();
        counts.get(&self.id).is_some_and(|count| *count > 1)
    }
}

impl Drop for SubmitGuard {
    fn drop(&mut self) {
        let mut counts = self.submits.counts.borrow_mut();
        let Some(count) = counts.get_mut(&self.id) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            counts.remove(&self.id);
        }
    }
}

impl<P> Node<P>
where
    P: Platform,
{
    /// Returns the rejection of a submit whose job would end too late, if it is certain that the job never runs.
    pub(crate) async fn rejection(
        self: &Rc<Self>,
        spec: &JobSpec,
        submit: &SubmitGuard,
        timeout_ms: u64,
    ) -> Option<Rejection> {
        self.late_job(spec)?;
        let timeout_ms = QUERY_TIMEOUT_MS.min(timeout_ms / TIMEOUT_DIVISOR);
        let caller = spec.workspace.as_ref();
        let known = self.state_within(spec.id, caller, timeout_ms).await;
        // The view and the store's times may have changed while the scheduler was asked.
        let late = self.late_job(spec);
        let kept = match known {
            StateAnswer::Known(_) => Some("job_known"),
            StateAnswer::Unsure => Some("unsure"),
            StateAnswer::NoSuchJob if self.may_be_storing(spec, submit) => Some("being_stored"),
            StateAnswer::NoSuchJob if late.is_none() => Some("no_longer_late"),
            StateAnswer::NoSuchJob => None,
        };
        let queue = &spec.policy.queue;
        if let Some(reason) = kept {
            self.metrics.shed_decision(queue, "accepted", reason);
            return None;
        }
        let reason = late.as_ref()?.reason.as_str();
        self.metrics.shed_decision(queue, "rejected", reason);
        late
    }

    /// Returns the rejection of a job that would end too late, regardless of whether it is stored already.
    fn late_job(&self, spec: &JobSpec) -> Option<Rejection> {
        spec.workspace.as_ref()?;
        let view = self.shed_view()?;
        match decide(&view, self.store_times(), spec, now()) {
            Decision::Admit => None,
            Decision::Shed(rejection) => Some(rejection),
        }
    }

    fn may_be_storing(&self, spec: &JobSpec, submit: &SubmitGuard) -> bool {
        submit.has_duplicate()
            || self.submit_queue.is_storing(spec)
            || self.submits.was_in_doubt_recently()
    }

    /// Returns the newest view of the scheduler that this node follows, or of its own.
    fn shed_view(&self) -> Option<Rc<ShedView>> {
        if let Some(leader) = self.leader() {
            return leader.shed_view();
        }
        self.link.borrow().as_ref()?.shed_view()
    }

    fn store_times(&self) -> StoreTimes {
        let own_append_ms = self.submit_queue.append_ms();
        let own_append_ms = self.store_answers().then_some(own_append_ms);
        let scheduler_append_ms = if self.leader().is_some() {
            own_append_ms
        } else {
            let link = self.link.borrow();
            let link = link.as_ref().filter(|link| link.can_relay());
            link.map(|link| link.append_ms())
        };
        StoreTimes {
            own_append_ms,
            scheduler_append_ms,
        }
    }
}
