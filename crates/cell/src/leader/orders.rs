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
use crate::leader::sessions::WorkerLink;
use crate::log;
use crate::ports::OrderError;
use crate::ports::Platform;
use crate::ports::StartCommand;
use crate::ports::StopCommand;

impl<P> Leader<P>
where
    P: Platform,
{
    fn link_to(&self, worker: WorkerKey) -> Option<WorkerLink> {
        let sessions = self.sessions.borrow();
        Some(sessions.get(worker)?.link())
    }

    pub(super) fn order_start(self: &Rc<Self>, order: StartOrder) {
        let lease_ms = self.node.settings.lease_ms();
        let lease_until_ms = {
            let sessions = self.sessions.borrow();
            let session = sessions.get(order.worker);
            session.and_then(|session| session.lease_until_ms(lease_ms))
        };
        let (Some(link), Some(lease_until_ms)) = (self.link_to(order.worker), lease_until_ms)
        else {
            // The session has just ended; what it held is ended by the event that did so.
            return;
        };
        log::run_ordered(&order, &link.address.id, self.token);
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
        actix_rt::spawn(async move { leader.send_start(worker, &link, &command).await });
    }

    async fn send_start(
        self: &Rc<Self>,
        worker: WorkerKey,
        link: &WorkerLink,
        command: &StartCommand,
    ) {
        let address = &link.address;
        let _place = link.place().await;
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
        let Some(link) = self.link_to(worker) else {
            // The session has just ended; what it held is ended by the event that did so.
            return;
        };
        log::stop_ordered(task, run, &link.address.id, reason);
        let command = StopCommand {
            task,
            run,
            token: self.token,
        };
        let leader = Rc::clone(self);
        actix_rt::spawn(async move { leader.send_stop(worker, &link, command).await });
    }

    async fn send_stop(
        self: &Rc<Self>,
        worker: WorkerKey,
        link: &WorkerLink,
        command: StopCommand,
    ) {
        let address = &link.address;
        let _place = link.place().await;
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
