//! Queries of callers that only the scheduler can answer.

use std::rc::Rc;

use syc_sched::JobId;
use syc_sched::JobState;
use syc_types::WorkspaceName;
use syc_wire::cell::CellBody;
use syc_wire::cell::JobStateQuery;
use syc_wire::cell::JobStateReply;
use syc_wire::cell::Knowledge;
use syc_wire::cell::PendingQuery;
use syc_wire::cell::PendingReply;

use crate::Node;
use crate::clock::now;
use crate::clock::pause;
use crate::ports::Platform;

/// Interval between attempts while the scheduler is changing.
const RETRY_MS: u64 = 100;

/// Timeout of a query. The caller can still retry within its own timeout.
const QUERY_TIMEOUT_MS: u64 = 1_500;

/// Answer to a query for the state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateAnswer {
    /// The job is in this state.
    Known(JobState),
    /// The job does not exist.
    NoSuchJob,
    /// No node can answer at the moment.
    Unsure,
}

impl From<Knowledge> for StateAnswer {
    fn from(knowledge: Knowledge) -> Self {
        match knowledge {
            Knowledge::Unsure => Self::Unsure,
            Knowledge::NoSuchJob => Self::NoSuchJob,
            Knowledge::Queued => Self::Known(JobState::Queued),
            Knowledge::Running => Self::Known(JobState::Running),
            Knowledge::Completed => Self::Known(JobState::Completed),
            Knowledge::Failed => Self::Known(JobState::Failed),
            Knowledge::Cancelled => Self::Known(JobState::Cancelled),
        }
    }
}

impl From<StateAnswer> for Knowledge {
    fn from(answer: StateAnswer) -> Self {
        match answer {
            StateAnswer::Unsure => Self::Unsure,
            StateAnswer::NoSuchJob => Self::NoSuchJob,
            StateAnswer::Known(JobState::Queued) => Self::Queued,
            StateAnswer::Known(JobState::Running) => Self::Running,
            StateAnswer::Known(JobState::Completed) => Self::Completed,
            StateAnswer::Known(JobState::Failed) => Self::Failed,
            StateAnswer::Known(JobState::Cancelled) => Self::Cancelled,
        }
    }
}

/// Answer to a query for the pending jobs of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingAnswer {
    /// Number of jobs of the queue that have not started.
    Known(u64),
    /// No node can answer at the moment.
    Unsure,
}

impl<P> Node<P>
where
    P: Platform,
{
    /// Returns the state of a job, as a caller of a workspace may know it.
    pub async fn state(self: &Rc<Self>, id: JobId, caller: Option<&WorkspaceName>) -> StateAnswer {
        let deadline = now().plus(QUERY_TIMEOUT_MS);
        loop {
            let answer = match self.leader() {
                Some(leader) => leader.job_state(id, caller),
                None => self.query_state(id, caller).await,
            };
            if answer != StateAnswer::Unsure || now() >= deadline || self.stopping.get() {
                return answer;
            }
            pause(RETRY_MS).await;
        }
    }

    /// Returns how many jobs of a queue have not started.
    pub async fn pending(self: &Rc<Self>, queue: &str) -> PendingAnswer {
        let deadline = now().plus(QUERY_TIMEOUT_MS);
        loop {
            let answer = match self.leader() {
                Some(leader) => leader.pending_jobs(queue),
                None => self.query_pending(queue).await,
            };
            if answer != PendingAnswer::Unsure || now() >= deadline || self.stopping.get() {
                return answer;
            }
            pause(RETRY_MS).await;
        }
    }

    /// Returns the state of a job without retries. The answer is `Unsure` if the scheduler's node gives none in time.
    ///
    /// A timeout does not reset the link to the scheduler, because it may be much shorter than other calls take.
    pub(crate) async fn state_within(
        &self,
        id: JobId,
        caller: Option<&WorkspaceName>,
        timeout_ms: u64,
    ) -> StateAnswer {
        if let Some(leader) = self.leader() {
            return leader.job_state(id, caller);
        }
        let Some(link) = self.link.borrow().clone() else {
            return StateAnswer::Unsure;
        };
        let query = state_query(id, caller);
        match link.call_without_reset(query, timeout_ms).await {
            Ok(CellBody::JobStateReply(reply)) => reply.knowledge().into(),
            Ok(_) | Err(_) => StateAnswer::Unsure,
        }
    }

    async fn query_state(&self, id: JobId, caller: Option<&WorkspaceName>) -> StateAnswer {
        let query = state_query(id, caller);
        let Some(CellBody::JobStateReply(reply)) = self.query_scheduler(query).await else {
            return StateAnswer::Unsure;
        };
        reply.knowledge().into()
    }

    async fn query_pending(&self, queue: &str) -> PendingAnswer {
        let query = CellBody::PendingQuery(PendingQuery {
            queue: queue.to_owned(),
        });
        match self.query_scheduler(query).await {
            Some(CellBody::PendingReply(reply)) if reply.known => PendingAnswer::Known(reply.jobs),
            _ => PendingAnswer::Unsure,
        }
    }

    async fn query_scheduler(&self, query: CellBody) -> Option<CellBody> {
        let link = self.link.borrow().clone()?;
        let timeout_ms = self.settings.timing.peer_timeout_ms;
        // A failed call is retried until the query times out; then the answer is `Unsure`.
        link.call(query, timeout_ms).await.ok()
    }
}

fn state_query(id: JobId, caller: Option<&WorkspaceName>) -> CellBody {
    CellBody::JobStateQuery(JobStateQuery {
        job: id.0,
        workspace: caller.map(ToString::to_string),
    })
}

/// Answers another node's query for the state of a job.
pub(crate) fn answer_state<P>(node: &Rc<Node<P>>, query: &JobStateQuery) -> CellBody
where
    P: Platform,
{
    let leader = node.leader();
    let caller = query.workspace.as_deref().map(WorkspaceName::from);
    let answer = leader.map_or(StateAnswer::Unsure, |leader| {
        leader.job_state(JobId(query.job), caller.as_ref())
    });
    let mut reply = JobStateReply::default();
    reply.set_knowledge(answer.into());
    CellBody::JobStateReply(reply)
}

/// Answers another node's query for the pending jobs of a queue.
pub(crate) fn answer_pending<P>(node: &Rc<Node<P>>, query: &PendingQuery) -> CellBody
where
    P: Platform,
{
    let leader = node.leader();
    let answer = leader.map_or(PendingAnswer::Unsure, |leader| {
        leader.pending_jobs(&query.queue)
    });
    let reply = match answer {
        PendingAnswer::Known(jobs) => PendingReply { known: true, jobs },
        PendingAnswer::Unsure => PendingReply::default(),
    };
    CellBody::PendingReply(reply)
}
