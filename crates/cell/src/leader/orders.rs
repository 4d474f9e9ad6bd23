//! Sending start and stop orders, each in a task of its own.

use std::rc::Rc;

use syc_sched::Event;
use syc_sched::Run;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_sched::StopReason;
use syc_sched::TaskId;
use syc_sched::WorkerKey;

use crate::leader::Leader;
use crate::log;
use crate::ports::OrderError;
use crate::ports::Platform;
use crate::ports::StartCommand;
use crate::ports::StopCommand;
use crate::ports::WorkerAddress;

impl<P> Leader<P>
where
    P: Platform,
{
    fn address_of(&self, worker: WorkerKey) -> Option<Rc<WorkerAddress>> {
        let sessions = self.sessions.borrow();
        Some(Rc::clone(&sessions.get(worker)?.address))
    }

    pub(super) fn order_start(self: &Rc<Self>, order: StartOrder) {
        let lease_ms = self.node.settings.lease_ms();
        let lease_until_ms = {
            let sessions = self.sessions.borrow();
            let session = sessions.get(order.worker);
            session.and_then(|session| session.lease_until_ms(lease_ms))
        };
        let (Some(address), Some(lease_until_ms)) = (self.address_of(order.worker), lease_until_ms)
        else {
            // The session has just ended; what it held is ended by the event that did so.
            return;
        };
        log::run_ordered(&order, &address.id, self.token);
        let command = StartCommand {
            task: order.task,
            run: order.run,
            payload: order.payload,
            lease_until_ms,
            token: self.token,
            ticket: order.ticket,
            checkpoint: order.checkpoint,
        };
        let leader = Rc::clone(self);
        let worker = order.worker;
        actix_rt::spawn(async move { leader.send_start(worker, &address, &command).await });
    }

    async fn send_start(
        self: &Rc<Self>,
        worker: WorkerKey,
        address: &WorkerAddress,
        command: &StartCommand,
    ) {
        let timeout_ms = self.node.settings.timing.order_timeout_ms;
        let started = self.node.platform.start(address, command, timeout_ms).await;
        let answer = match started {
            Ok(()) => StartAnswer::Started,
            Err(OrderError::Replaced) => {
                self.apply(Event::Replaced { worker });
                return;
            }
            Err(OrderError::Fenced) => {
                self.end("fenced_by_worker");
                return;
            }
            Err(OrderError::Refused(refusal)) => {
                log::start_failed(command, &address.id, refusal.as_str());
                StartAnswer::Refused(refusal)
            }
            Err(OrderError::InDoubt(reason)) => {
                log::start_failed(command, &address.id, &reason);
                StartAnswer::InDoubt
            }
        };
        self.apply(Event::StartAnswered {
            worker,
            task: command.task,
            run: command.run,
            answer,
        });
    }

    pub(super) fn order_stop(
        self: &Rc<Self>,
        worker: WorkerKey,
        task: TaskId,
        run: Run,
        reason: StopReason,
    ) {
        let Some(address) = self.address_of(worker) else {
            // The session has just ended; what it held is ended by the event that did so.
            return;
        };
        log::stop_ordered(task, run, &address.id, reason);
        let command = StopCommand {
            task,
            run,
            token: self.token,
        };
        let leader = Rc::clone(self);
        actix_rt::spawn(async move { leader.send_stop(worker, &address, command).await });
    }

    async fn send_stop(
        self: &Rc<Self>,
        worker: WorkerKey,
        address: &WorkerAddress,
        command: StopCommand,
    ) {
        let timeout_ms = self.node.settings.timing.order_timeout_ms;
        let stopped = self.node.platform.stop(address, &command, timeout_ms).await;
        let taken = match stopped {
            Ok(()) => true,
            Err(OrderError::Replaced) => {
                self.apply(Event::Replaced { worker });
                return;
            }
            Err(OrderError::Fenced) => {
                self.end("fenced_by_worker");
                return;
            }
            // It is sent again until it is taken.
            Err(OrderError::Refused(_) | OrderError::InDoubt(_)) => false,
        };
        self.apply(Event::StopAnswered {
            worker,
            task: command.task,
            run: command.run,
            taken,
        });
    }
}
