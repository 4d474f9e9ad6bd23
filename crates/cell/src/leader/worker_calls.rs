//! Sends renewals and orders to workers, directly or through a carrier.

use std::cell::Cell;
use std::rc::Rc;

use smol_str::SmolStr;
use syc_net::CallError;
use syc_net::PeerClient;
use syc_types::Millis;
use syc_wire::cell::CellBody;
use syc_wire::cell::CellMessage;
use syc_wire::worker_call::WorkerCall;

use crate::clock::now;
use crate::leader::Leader;
use crate::leader::carriers::CarrierChange;
use crate::leader::carriers::Route;
use crate::log;
use crate::ports::OrderError;
use crate::ports::Platform;
use crate::ports::RenewalReply;
use crate::ports::WorkerAddress;
use crate::worker_command::RelayedCall;
use crate::worker_command::WorkerAnswer;
use crate::worker_command::WorkerCommand;
use crate::worker_command::read_reply;

/// Time beyond the worker's timeout for which the scheduler waits for a carrier: two ways between nodes, and what a
/// carrier with little processor time needs to pass a call and its answer on.
const CARRIER_SLACK_MS: u64 = 150;

/// Largest number of log lines about carriers in a second.
const MAX_LINES_PER_S: u32 = 20;

/// Limits the log lines about carriers.
#[derive(Debug, Default)]
pub(super) struct LineLimit {
    second: Cell<u64>,
    lines: Cell<u32>,
}

impl LineLimit {
    fn allows(&self, now: Millis) -> bool {
        let second = now.0 / 1_000;
        if self.second.replace(second) != second {
            self.lines.set(0);
        }
        self.lines.set(self.lines.get().saturating_add(1));
        self.lines.get() <= MAX_LINES_PER_S
    }
}

impl<P> Leader<P>
where
    P: Platform,
{
    /// Renews the leases on a worker.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub(super) async fn renew_worker(
        &self,
        worker: &WorkerAddress,
        command: &WorkerCommand,
        timeout_ms: u64,
    ) -> Result<RenewalReply, OrderError> {
        match self.call_worker(worker, command, timeout_ms).await? {
            WorkerAnswer::Renewed(renewed) => Ok(renewed),
            WorkerAnswer::Accepted => Err(unexpected_answer()),
        }
    }

    /// Sends an order to a worker.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub(super) async fn order_worker(
        &self,
        worker: &WorkerAddress,
        command: &WorkerCommand,
        timeout_ms: u64,
    ) -> Result<(), OrderError> {
        match self.call_worker(worker, command, timeout_ms).await? {
            WorkerAnswer::Accepted => Ok(()),
            WorkerAnswer::Renewed(_) => Err(unexpected_answer()),
        }
    }

    async fn call_worker(
        &self,
        worker: &WorkerAddress,
        command: &WorkerCommand,
        timeout_ms: u64,
    ) -> Result<WorkerAnswer, OrderError> {
        let route = self.carriers.borrow_mut().route(&worker.id, now());
        self.note_carrier_changes();
        let carrier = match route {
            Route::Direct => None,
            Route::Through(name) => {
                let client = self.peer_clients.borrow().get(&name).cloned();
                client.map(|client| (name, client))
            }
        };
        let Some((name, client)) = carrier else {
            let answer = command.send(&self.node.platform, worker, timeout_ms).await;
            self.node.metrics.worker_call("direct", answer.is_ok());
            return answer;
        };
        let call = RelayedCall {
            worker: worker.clone(),
            timeout_ms,
            valid_until_ms: now().plus(timeout_ms).0,
            command: command.clone(),
        };
        let answer = self.relay(&name, &client, &call).await;
        self.node.metrics.worker_call("relayed", answer.is_ok());
        answer
    }

    /// Sends a call through a carrier, and records whether the carrier and the worker answered.
    async fn relay(
        &self,
        name: &SmolStr,
        client: &Rc<PeerClient>,
        call: &RelayedCall,
    ) -> Result<WorkerAnswer, OrderError> {
        let worker = &call.worker.id;
        let reply = tokio::select! {
            reply = call_through(client, call) => reply,
            () = self.wait_for_loss_of(name) => Err(CallError::NoReply),
        };
        let answer = match reply {
            Ok(answer) => answer,
            Err(error) => {
                let is_off = self.carriers.borrow_mut().note_failure(name, worker, now());
                if is_off {
                    // The connection may be broken without a sign of it.
                    client.reset();
                }
                self.note_carrier_changes();
                return Err(match error {
                    CallError::NotSent => OrderError::NotSent("no link to the carrier".into()),
                    CallError::NoReply => OrderError::InDoubt("no reply of the carrier".into()),
                });
            }
        };
        let mut carriers = self.carriers.borrow_mut();
        carriers.note_answer(name, worker, is_reached(&answer), now());
        answer
    }

    /// Waits until a carrier is lost. Renewals are held open for seconds, and the ends that they would report should
    /// not wait for the timeout.
    async fn wait_for_loss_of(&self, name: &str) {
        loop {
            self.carrier_lost.notified().await;
            if !self.carriers.borrow().is_usable(name, now()) {
                return;
            }
        }
    }

    /// Wakes the calls through lost carriers, and logs what changed.
    fn note_carrier_changes(&self) {
        if self.carriers.borrow_mut().take_lost() {
            self.carrier_lost.notify_waiters();
        }
        let (changes, load, is_relaying) = {
            let mut carriers = self.carriers.borrow_mut();
            let changes = carriers.take_changes();
            if changes.is_empty() {
                return;
            }
            (changes, carriers.load(), carriers.is_relaying())
        };
        for change in changes {
            if !self.carrier_lines.allows(now()) {
                continue;
            }
            match change {
                CarrierChange::RelayingBegan | CarrierChange::RelayingEnded => {
                    let workers = self.sessions.borrow().len();
                    let files_limit = self.node.settings.files_limit;
                    log::relaying_changed(is_relaying, workers, files_limit, &load);
                }
                CarrierChange::TakenOff(name) => log::carrier_changed(&name, false),
                CarrierChange::Back(name) => log::carrier_changed(&name, true),
            }
        }
    }
}

/// Sends a call to a worker through another node. Returns the answer of the worker, as that node reports it.
///
/// # Errors
///
/// Returns an error if the other node does not reply.
pub(super) async fn call_through(
    client: &PeerClient,
    call: &RelayedCall,
) -> Result<Result<WorkerAnswer, OrderError>, CallError> {
    let message = CellMessage::encode_body(CellBody::WorkerCall(WorkerCall::from(call)));
    let reply = client
        .call(&message, call.timeout_ms + CARRIER_SLACK_MS)
        .await?;
    Ok(read_carrier_reply(&reply))
}

/// Returns whether a call has reached the worker, or another process at its address.
pub(super) fn is_reached(answer: &Result<WorkerAnswer, OrderError>) -> bool {
    answer.as_ref().err().is_none_or(OrderError::is_answer)
}

/// Decodes the reply of a carrier. The worker may have carried out a call whose reply can't be decoded.
fn read_carrier_reply(reply: &[u8]) -> Result<WorkerAnswer, OrderError> {
    let in_doubt = |reason| OrderError::InDoubt(SmolStr::new_static(reason));
    let body = CellMessage::decode_body(reply);
    let Ok(CellBody::WorkerCallReply(reply)) = body else {
        return Err(in_doubt("the carrier's reply can't be decoded"));
    };
    match read_reply(reply) {
        Ok(answer) => answer,
        Err(_malformed) => Err(in_doubt("the carrier's reply is malformed")),
    }
}

const fn unexpected_answer() -> OrderError {
    OrderError::InDoubt(SmolStr::new_static("the answer is that to another call"))
}
