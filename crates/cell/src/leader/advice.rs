//! Distributes advice calls over the nodes: the service handles one call at a time per node.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use syc_net::PeerClient;
use syc_obs::Stage;
use syc_sched::AdviceAnswer;
use syc_sched::AllowedWorker;
use syc_sched::CallLength;
use syc_sched::Event;
use syc_sched::StepId;
use syc_sched::WorkerKey;
use syc_types::WorkerId;
use syc_wire::cell::AdviceQuery;
use syc_wire::cell::CellBody;
use syc_wire::cell::Contact;

use crate::advice_query;
use crate::clock::now;
use crate::contact;
use crate::leader::Leader;
use crate::log;
use crate::ports::Advice;
use crate::ports::AdviceError;
use crate::ports::Platform;
use crate::unreadable::Source;

/// Minimum slack of a call beyond its expected duration.
const MIN_SLACK_MS: u64 = 300;

impl<P> Leader<P>
where
    P: Platform,
{
    /// Registers a node that can call the advice service.
    pub(super) fn register_advice_node(&self, contact: &Contact) {
        let Ok(address) = contact.address.parse() else {
            let reason = "the address of the node is malformed";
            self.node
                .report_unreadable(Source::Peers, &contact.node, reason);
            return;
        };
        let name = SmolStr::from(contact.node.as_str());
        let mut advice_nodes = self.advice_nodes.borrow_mut();
        let is_new = advice_nodes.note_heartbeat(&name, now());
        if is_new {
            let client = PeerClient::new(address, contact::peer_options());
            let mut clients = self.peer_clients.borrow_mut();
            clients.insert(name, Rc::new(client));
        }
    }

    /// Requests advice for a step through the node that is available first.
    pub(super) fn request_advice(
        self: &Rc<Self>,
        step: StepId,
        workers: Vec<WorkerKey>,
        expected_ms: f64,
    ) {
        let expected = Duration::from_secs_f64(expected_ms.clamp(0.0, 60_000.0) / 1_000.0);
        let expected_whole_ms = u64::try_from(expected.as_millis()).unwrap_or(u64::MAX);
        let (length, names) = {
            let scheduler = self.scheduler.borrow();
            let length = scheduler.options().length_of_call(expected_ms);
            let named = workers.iter().filter_map(|key| scheduler.name_of(*key));
            (length, named.collect::<Vec<_>>())
        };
        let leader = Rc::clone(self);
        actix_rt::spawn(async move {
            let asked_at = now();
            let advice = leader
                .call_advice_service(step, &names, expected_whole_ms, length)
                .await;
            let took_ms = now().since(asked_at);
            leader.record_stage(step.job, Stage::Advice, took_ms);
            let allowed = advice.as_ref().map_or(0, |advice| advice.allowed.len());
            log::advised(
                step,
                names.len(),
                allowed,
                took_ms,
                expected_whole_ms,
                advice.as_ref().err(),
            );
            let answer = leader.to_advice_answer(advice);
            leader.apply(Event::Advised {
                step,
                asked: workers,
                answer,
            });
        });
    }

    async fn call_advice_service(
        &self,
        step: StepId,
        workers: &[WorkerId],
        expected_ms: u64,
        length: CallLength,
    ) -> Result<Advice, AdviceError> {
        let slack_ms = self.advice_timeout.timeout_ms(MIN_SLACK_MS);
        let timeout_ms = expected_ms + slack_ms;
        let Some(name) = self.advice_nodes.borrow_mut().acquire(length, now()) else {
            return Err(AdviceError(SmolStr::new_static(
                "no node is available for an advice call",
            )));
        };
        let client = self.peer_clients.borrow().get(&name).cloned();
        let sent_at = now();
        let advice = match client {
            None => {
                let advice = self.node.platform.advise(step, workers, timeout_ms).await;
                advice.inspect(|advice| {
                    self.node
                        .report_skipped(Source::Advice, "advice", &advice.skipped);
                })
            }
            Some(client) => {
                let query = CellBody::AdviceQuery(AdviceQuery {
                    job: step.job.0,
                    occurrence: step.occurrence,
                    step: u32::from(step.step),
                    workers: workers.iter().map(|id| id.as_str().to_owned()).collect(),
                    timeout_ms,
                });
                let reply = contact::call(&client, query, timeout_ms + MIN_SLACK_MS).await;
                let to_advice_error =
                    |error: syc_net::CallError| AdviceError(error.to_string().into());
                reply
                    .map_err(to_advice_error)
                    .and_then(advice_query::decode_reply)
            }
        };
        let took_ms = now().since(sent_at);
        // A call that failed early tells nothing about response times.
        if advice.is_ok() || took_ms >= timeout_ms {
            let excess_ms = took_ms.saturating_sub(expected_ms);
            self.advice_timeout.record(excess_ms.min(slack_ms));
        }
        let mut advice_nodes = self.advice_nodes.borrow_mut();
        advice_nodes.release(&name, length, advice.is_ok(), now());
        advice
    }

    fn to_advice_answer(&self, advice: Result<Advice, AdviceError>) -> AdviceAnswer {
        let Ok(advice) = advice else {
            return AdviceAnswer::Failed;
        };
        let sessions = self.sessions.borrow();
        let mut allowed = Vec::with_capacity(advice.allowed.len());
        for (worker, ticket) in advice.allowed {
            let mut known = sessions.iter();
            let key = known.find(|(_, session)| *session.worker() == worker);
            let Some((key, _)) = key else {
                continue;
            };
            allowed.push(AllowedWorker {
                worker: key,
                ticket,
            });
        }
        AdviceAnswer::Given {
            allowed,
            validity_ms: advice.validity_ms,
        }
    }
}
