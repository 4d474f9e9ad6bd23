//! Calls to workers that this node makes on behalf of the scheduler. It decides nothing and stores nothing.

use std::cell::Cell;
use std::rc::Rc;

use smol_str::SmolStr;
use syc_types::Millis;
use syc_wire::cell::CellBody;
use syc_wire::worker_call::WorkerCall;

use crate::Node;
use crate::call_token::scheduler_of;
use crate::clock::now;
use crate::ports::OrderError;
use crate::ports::Platform;
use crate::unreadable::Source;
use crate::worker_command::RelayedCall;
use crate::worker_command::WorkerAnswer;
use crate::worker_command::write_reply;

/// Descriptors for each relayed call in progress. A node relays for at most an eighth of its descriptor limit in
/// workers, and each has one renewal and seldom more than one order in progress.
const FILES_PER_CALL: u64 = 4;

/// Relayed calls in progress on this node.
#[derive(Debug, Default)]
pub(crate) struct RelayedCalls(Cell<u64>);

/// Counts one call as in progress until it is dropped.
#[derive(Debug)]
struct CallInProgress<'a>(&'a Cell<u64>);

impl RelayedCalls {
    fn begin(&self, max_calls: u64) -> Option<CallInProgress<'_>> {
        if self.0.get() >= max_calls {
            return None;
        }
        self.0.set(self.0.get() + 1);
        Some(CallInProgress(&self.0))
    }
}

impl Drop for CallInProgress<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Handles a call to a worker that the scheduler sends through this node.
pub(crate) async fn handle<P>(node: &Rc<Node<P>>, call: WorkerCall) -> CellBody
where
    P: Platform,
{
    let answer = match RelayedCall::try_from(call) {
        Ok(call) => carry(node, &call).await,
        Err(error) => {
            let reason = error.to_string();
            node.report_unreadable(Source::Peers, "worker_call", &reason);
            Err(OrderError::NotSent(reason.into()))
        }
    };
    node.metrics.worker_call("carried", answer.is_ok());
    CellBody::WorkerCallReply(write_reply(&answer))
}

async fn carry<P>(node: &Node<P>, call: &RelayedCall) -> Result<WorkerAnswer, OrderError>
where
    P: Platform,
{
    let not_sent = |reason| Err(OrderError::NotSent(SmolStr::new_static(reason)));
    let max_calls = node.settings.files_limit / FILES_PER_CALL;
    let Some(_in_progress) = node.relayed_calls.begin(max_calls) else {
        return not_sent("the carrier has too many calls in progress");
    };
    match scheduler_time(node, scheduler_of(call.command.token())) {
        // The knowledge of a node about the scheduler may be wrong, so it must not report the scheduler as fenced,
        // which would end the role. Workers and the store do.
        None => return not_sent("the carrier does not follow this scheduler"),
        Some(time) if time > Millis(call.valid_until_ms) => {
            return not_sent("the call reached the carrier too late");
        }
        Some(_) => {}
    }
    let port = &node.platform;
    call.command.send(port, &call.worker, call.timeout_ms).await
}

/// Returns a time that the clock of the scheduler with this token has reached, if this node follows that scheduler.
fn scheduler_time<P>(node: &Node<P>, token: u64) -> Option<Millis>
where
    P: Platform,
{
    let link = node.link.borrow();
    let link = link.as_ref().filter(|link| link.token == token)?;
    link.scheduler_time(now())
}
