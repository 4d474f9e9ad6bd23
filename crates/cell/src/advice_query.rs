//! Calls to the advice service that a node makes on behalf of the scheduler.

use std::rc::Rc;

use smol_str::SmolStr;
use syc_sched::JobId;
use syc_sched::StepId;
use syc_types::WorkerId;
use syc_wire::cell::AdviceQuery;
use syc_wire::cell::AdviceReply;
use syc_wire::cell::AllowedWorker;
use syc_wire::cell::CellBody;

use crate::Node;
use crate::log;
use crate::ports::Advice;
use crate::ports::AdviceError;
use crate::ports::Platform;
use crate::unreadable::Source;

/// Handles an advice query of the scheduler.
pub(crate) async fn handle<P>(node: &Rc<Node<P>>, query: AdviceQuery) -> CellBody
where
    P: Platform,
{
    let workers: Vec<_> = query.workers.into_iter().map(WorkerId::new).collect();
    let step = StepId {
        job: JobId(query.job),
        occurrence: query.occurrence,
        step: u16::try_from(query.step).unwrap_or(u16::MAX),
    };
    let advice = node.platform.advise(step, &workers, query.timeout_ms).await;
    let reply = match advice {
        Ok(advice) => {
            node.report_skipped(Source::Advice, "advice", &advice.skipped);
            encode_reply(&advice)
        }
        Err(error) => {
            log::advice_failed(step, &error);
            AdviceReply::default()
        }
    };
    CellBody::AdviceReply(reply)
}

fn encode_reply(advice: &Advice) -> AdviceReply {
    let allowed = advice.allowed.iter().map(|(worker, ticket)| AllowedWorker {
        worker: worker.as_str().to_owned(),
        ticket: ticket.to_string(),
    });
    AdviceReply {
        given: true,
        allowed: allowed.collect(),
        validity_ms: advice.validity_ms,
    }
}

/// Decodes a node's reply to an advice query.
pub(crate) fn decode_reply(reply: CellBody) -> Result<Advice, AdviceError> {
    let failed = |text| AdviceError(SmolStr::new_static(text));
    let CellBody::AdviceReply(reply) = reply else {
        return Err(failed("unexpected reply of the node"));
    };
    if !reply.given {
        return Err(failed("the node got no answer from the advice service"));
    }
    let allowed = reply.allowed.into_iter().map(|allowed| {
        let worker = WorkerId::new(allowed.worker);
        (worker, SmolStr::from(allowed.ticket))
    });
    Ok(Advice {
        allowed: allowed.collect(),
        validity_ms: reply.validity_ms,
        ..Advice::default()
    })
}
