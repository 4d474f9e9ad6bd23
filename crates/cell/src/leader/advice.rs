//! Spreading calls for advice over the nodes: the service serves one call at a time for each.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use syc_net::PeerClient;
use syc_obs::Stage;
use syc_sched::AdviceAnswer;
use syc_sched::AdviceSlots;
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

/// A node that was not heard of for this long is forgotten.
const FORGET_MS: u64 = 10_000;

/// A node that failed to answer is not asked again for this long.
const REST_MS: u64 = 1_500;

/// A call may take this long beyond what its service is expected to.
const SLACK_MS: u64 = 300;

/// Short calls that a node has under way at once: the next is at the service when one is served.
const SHORT_CALLS: u32 = 2;

/// One node in so many makes short calls only, so that they never wait for a long one.
const SHORT_ONLY_SHARE: usize = 4;

/// A node that calls for advice.
#[derive(Debug)]
pub(super) struct Adviser {
    /// None for the scheduler's own node.
    client: Option<Rc<PeerClient>>,
    heard_at: Millis,
    rests_until: Millis,
    /// Calls under way.
    short: u32,
    long: u32,
}

impl Adviser {
    pub(super) const fn own(now: Millis) -> Self {
        Self {
            client: None,
            heard_at: now,
            rests_until: Millis(0),
            short: 0,
            long: 0,
        }
    }

    fn is_available(&self, now: Millis) -> bool {
        let heard = self.client.is_none() || now.since(self.heard_at) < HEARD_MS;
        heard && self.rests_until <= now
    }

    const fn short_slots(&self) -> u32 {
        if self.long > 0 {
            return 0;
        }
        SHORT_CALLS.saturating_sub(self.short)
    }

    const fn long_slots(&self) -> u32 {
        if self.long + self.short > 0 { 0 } else { 1 }
    }
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
        advisers.retain(|_, adviser| {
            adviser.client.is_none() || now.since(adviser.heard_at) < FORGET_MS
        });
        let name = SmolStr::from(contact.node.as_str());
        let adviser = advisers.entry(name).or_insert_with(|| Adviser {
            client: Some(Rc::new(PeerClient::new(address, contact::peer_options()))),
            ..Adviser::own(now)
        });
        adviser.heard_at = now;
    }

    /// Returns the calls that can be served at once.
    pub(super) fn advice_slots(&self) -> AdviceSlots {
        let now = now();
        let advisers = self.advisers.borrow();
        let short_only = short_only_count(&advisers, now);
        let mut slots = AdviceSlots { short: 0, long: 0 };
        let available = advisers
            .values()
            .filter(|adviser| adviser.is_available(now));
        for (index, adviser) in available.enumerate() {
            slots.short += adviser.short_slots();
            if index >= short_only {
                slots.long += adviser.long_slots();
            }
        }
        slots
    }

    /// Has advice asked for by the node that is free first.
    pub(super) fn ask(self: &Rc<Self>, step: StepId, workers: Vec<WorkerKey>, expected_ms: f64) {
        let expected = Duration::from_secs_f64(expected_ms.clamp(0.0, 60_000.0) / 1_000.0);
        let whole_ms = u64::try_from(expected.as_millis()).unwrap_or(u64::MAX);
        let (short, names) = {
            let scheduler = self.scheduler.borrow();
            let short = expected_ms <= scheduler.options().short_call_ms;
            let named = workers.iter().filter_map(|key| scheduler.name_of(*key));
            (short, named.collect::<Vec<_>>())
        };
        let leader = Rc::clone(self);
        actix_rt::spawn(async move {
            let asked_at = now();
            let advice = leader.call_for_advice(step, &names, whole_ms, short).await;
            let took_ms = now().since(asked_at);
            leader.measure(step.job, Stage::Advice, took_ms);
            let allowed = advice.as_ref().map_or(0, |advice| advice.allowed.len());
            log::advised(
                step,
                names.len(),
                allowed,
                took_ms,
                whole_ms,
                advice.as_ref().err(),
            );
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
        short: bool,
    ) -> Result<Advice, AdviceError> {
        let timeout_ms = expected_ms + SLACK_MS;
        let Some((name, client)) = self.take_adviser(short) else {
            return Err(AdviceError(SmolStr::new_static("no node is free")));
        };
        let advice = match client {
            None => self.node.platform.advise(step, workers, timeout_ms).await,
            Some(client) => {
                let query = CellBody::AdviceQuery(AdviceQuery {
                    job: step.job.0,
                    occurrence: step.occurrence,
                    step: u32::from(step.step),
                    workers: workers.iter().map(|id| id.as_str().to_owned()).collect(),
                    timeout_ms,
                });
                let reply = contact::call(&client, query, timeout_ms + SLACK_MS).await;
                let lost = |error: syc_net::CallError| AdviceError(error.to_string().into());
                reply.map_err(lost).and_then(adviser::advice_of)
            }
        };
        self.give_back_adviser(&name, short, advice.is_ok());
        advice
    }

    /// Picks the node with the fewest calls under way, and counts the call as given to it.
    fn take_adviser(&self, short: bool) -> Option<(SmolStr, Option<Rc<PeerClient>>)> {
        let now = now();
        let mut advisers = self.advisers.borrow_mut();
        let short_only = short_only_count(&advisers, now);
        let available = advisers
            .iter()
            .filter(|(_, adviser)| adviser.is_available(now));
        let mut best: Option<(u32, SmolStr)> = None;
        for (index, (name, adviser)) in available.enumerate() {
            let slots = if short {
                adviser.short_slots()
            } else {
                adviser.long_slots()
            };
            if slots == 0 || (!short && index < short_only) {
                continue;
            }
            if best.as_ref().is_none_or(|(most, _)| slots > *most) {
                best = Some((slots, name.clone()));
            }
        }
        let (_, name) = best?;
        let adviser = advisers.get_mut(&name)?;
        if short {
            adviser.short += 1;
        } else {
            adviser.long += 1;
        }
        Some((name, adviser.client.clone()))
    }

    fn give_back_adviser(&self, name: &SmolStr, short: bool, answered: bool) {
        let mut advisers = self.advisers.borrow_mut();
        let Some(adviser) = advisers.get_mut(name) else {
            return;
        };
        if short {
            adviser.short = adviser.short.saturating_sub(1);
        } else {
            adviser.long = adviser.long.saturating_sub(1);
        }
        if !answered {
            adviser.rests_until = now().plus(REST_MS);
        }
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

/// Returns how many of the available nodes, the first in the order of names, make short calls only.
fn short_only_count(advisers: &BTreeMap<SmolStr, Adviser>, now: Millis) -> usize {
    let available = advisers
        .values()
        .filter(|adviser| adviser.is_available(now));
    let count = available.count();
    if count < 2 {
        return 0;
    }
    (count / SHORT_ONLY_SHARE).max(1)
}
