//! Spreading calls for advice over the nodes: the service serves one call at a time for each.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use syc_net::PeerClient;
use syc_sched::AdviceAnswer;
use syc_sched::Allowed;
use syc_sched::Event;
use syc_sched::StepId;
use syc_sched::WorkerKey;
use syc_types::Millis;
use syc_types::WorkerId;
use syc_wire::cell::AdviceQuery;
use syc_wire::cell::CellBody;
use syc_wire::cell::Contact;

use crate::adviser;
use crate::clock::now;
use crate::contact;
use crate::leader::Leader;
use crate::log;
use crate::ports::Advice;
use crate::ports::AdviceError;
use crate::ports::Platform;

/// A node that was not heard of for this long is not asked.
const HEARD_MS: u64 = 1_200;

/// A node that failed to answer is not asked again for this long.
const REST_MS: u64 = 1_500;

/// A call may take this long beyond what its service is expected to.
const SLACK_MS: u64 = 300;

/// Calls up to this length count as short: they stay off the nodes that long ones keep busy.
const SHORT_CALL_MS: u64 = 60;

/// A node that calls for advice.
#[derive(Debug)]
pub(super) struct Adviser {
    client: Rc<PeerClient>,
    heard_at: Millis,
    /// When the calls that it was given are served.
    busy_until: Millis,
    rests_until: Millis,
}

impl<P> Leader<P>
where
    P: Platform,
{
    /// Takes note of a node that can call for advice.
    pub(super) fn meet_adviser(&self, contact: &Contact) {
        let Ok(address) = contact.address.parse() else {
            log::unreadable("peer", "the address of a node is malformed");
            return;
        };
        let now = now();
        let mut advisers = self.advisers.borrow_mut();
        let name = SmolStr::from(contact.node.as_str());
        let adviser = advisers.entry(name).or_insert_with(|| Adviser {
            client: Rc::new(PeerClient::new(address, contact::peer_options())),
            heard_at: now,
            busy_until: now,
            rests_until: now,
        });
        adviser.heard_at = now;
    }

    /// Has advice asked for by the node that is free first.
    pub(super) fn ask(self: &Rc<Self>, step: StepId, workers: Vec<WorkerKey>, expected_ms: f64) {
        let expected = Duration::from_secs_f64(expected_ms.clamp(0.0, 60_000.0) / 1_000.0);
        let expected_ms = u64::try_from(expected.as_millis()).unwrap_or(u64::MAX);
        let names: Vec<_> = {
            let scheduler = self.scheduler.borrow();
            let named = workers.iter().filter_map(|key| scheduler.name_of(*key));
            named.collect()
        };
        let leader = Rc::clone(self);
        actix_rt::spawn(async move {
            let asked_at = now();
            let advice = leader.call_for_advice(step, &names, expected_ms).await;
            let took_ms = now().since(asked_at);
            let allowed = advice.as_ref().map_or(0, |advice| advice.allowed.len());
            log::advised(step, names.len(), allowed, took_ms, expected_ms, advice.as_ref().err());
            let answer = leader.answer_of(advice);
            leader.apply(Event::Advised {
                step,
                asked: workers,
                answer,
            });
        });
    }

    async fn call_for_advice(
        &self,
        step: StepId,
        workers: &[WorkerId],
        expected_ms: u64,
    ) -> Result<Advice, AdviceError> {
        let now = now();
        let Some((name, client, wait_ms)) = self.pick_adviser(expected_ms, now) else {
            let timeout_ms = expected_ms * 2 + SLACK_MS;
            return self.node.platform.advise(step, workers, timeout_ms).await;
        };
        let timeout_ms = wait_ms + expected_ms + SLACK_MS;
        let query = CellBody::AdviceQuery(AdviceQuery {
            job: step.job.0,
            step: u32::from(step.step),
            workers: workers.iter().map(|id| id.as_str().to_owned()).collect(),
            timeout_ms,
        });
        let reply = contact::call(&client, query, timeout_ms + SLACK_MS).await;
        match reply {
            Ok(reply) => adviser::advice_of(reply),
            Err(error) => {
                if let Some(adviser) = self.advisers.borrow_mut().get_mut(&name) {
                    adviser.rests_until = now.plus(REST_MS);
                }
                Err(AdviceError(SmolStr::from(error.to_string())))
            }
        }
    }

    /// Picks the node that is free first, and counts the call as given to it.
    fn pick_adviser(
        &self,
        expected_ms: u64,
        now: Millis,
    ) -> Option<(SmolStr, Rc<PeerClient>, u64)> {
        let mut advisers = self.advisers.borrow_mut();
        advisers.retain(|_, adviser| now.since(adviser.heard_at) < 10 * HEARD_MS);
        let short = expected_ms <= SHORT_CALL_MS;
        let mut best: Option<(bool, Millis, SmolStr)> = None;
        for (index, (name, adviser)) in advisers.iter().enumerate() {
            let heard = now.since(adviser.heard_at) < HEARD_MS;
            if !heard || adviser.rests_until > now {
                continue;
            }
            // The first node in the order of names is left to short calls while others are free.
            let kept = !short && index == 0;
            let free_at = adviser.busy_until.max(now);
            let rank = (kept, free_at);
            if best.as_ref().is_none_or(|(kept, at, _)| rank < (*kept, *at)) {
                best = Some((rank.0, rank.1, name.clone()));
            }
        }
        let (_, free_at, name) = best?;
        let adviser = advisers.get_mut(&name)?;
        adviser.busy_until = free_at.plus(expected_ms);
        Some((name, Rc::clone(&adviser.client), free_at.since(now)))
    }

    fn answer_of(&self, advice: Result<Advice, AdviceError>) -> AdviceAnswer {
        let Ok(advice) = advice else {
            return AdviceAnswer::Failed;
        };
        let sessions = self.sessions.borrow();
        let mut allowed = Vec::with_capacity(advice.allowed.len());
        for (worker, ticket) in advice.allowed {
            let mut known = sessions.iter();
            let key = known.find(|(_, session)| session.address.id == worker);
            let Some((key, _)) = key else {
                continue;
            };
            allowed.push(Allowed {
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
