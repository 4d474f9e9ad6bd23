//! Sends start, stop and pace orders, each in its own task.

use std::rc::Rc;

use smol_str::SmolStr;
use syc_obs::Stage;
use syc_sched::Event;
use syc_sched::Run;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_sched::StartRefusal;
use syc_sched::StopReason;
use syc_sched::TaskId;
use syc_sched::WorkerKey;

use crate::clock::now;
use crate::leader::Leader;
use crate::leader::lease_trace::LeaseCall;
use crate::leader::lease_trace::LeaseTerm;
use crate::leader::lease_trace::LifeEnd;
use crate::leader::worker_link::OrderKind;
use crate::leader::worker_link::WorkerLink;
use crate::log;
use crate::ports::OrderError;
use crate::ports::PaceCommand;
use crate::ports::Platform;
use crate::ports::StartCommand;
use crate::ports::StopCommand;
use crate::worker_command::WorkerCommand;

/// Reason for not sending an order when a successor may have been chosen.
pub(super) const POSSIBLY_SUPERSEDED: SmolStr =
    SmolStr::new_static("another scheduler may have been chosen");

/// Reason for not sending an order to a worker that has ended or started again.
const LIFE_OVER: SmolStr = SmolStr::new_static("this life of the worker is over");

impl<P> Leader<P>
where
    P: Platform,
{
    /// Fails if the role or the worker's life ended while an order was waiting to be sent.
    fn ensure_active(&self, link: &WorkerLink) -> Result<(), OrderError> {
        if self.ended.get() {
            return Err(OrderError::NotSent(POSSIBLY_SUPERSEDED));
        }
        if link.is_closed() {
            return Err(OrderError::NotSent(LIFE_OVER));
        }
        Ok(())
    }

    /// Sends an order to a life of a worker that is not over.
    async fn send_order(
        &self,
        link: &WorkerLink,
        order: &WorkerCommand,
        timeout_ms: u64,
    ) -> Result<(), OrderError> {
        self.ensure_active(link)?;
        // The token may have risen while the order was waiting.
        let order = order.with_token(link.fence.token_for_order());
        let ordered = self.order_worker(&link.address, &order, timeout_ms).await;
        match ordered {
            Err(OrderError::Fenced) if link.has_superseded(order.token()) => {
                Err(OrderError::Refused(StartRefusal::Fenced))
            }
            ordered => ordered,
        }
    }

    pub(super) fn link_to(&self, worker: WorkerKey) -> Option<Rc<WorkerLink>> {
        let sessions = self.sessions.borrow();
        Some(sessions.get(worker)?.link())
    }

    pub(super) fn order_start(self: &Rc<Self>, order: StartOrder) {
        let lease_ms = self.node.settings.lease_ms();
        let Some(link) = self.link_to(order.worker) else {
            // The session has just ended, and the event that ended it also ended its runs.
            return;
        };
        if self.logs_runs_of(order.task.step.job) {
            log::run_ordered(&order, &link.address.id, self.token);
        }
        self.record_room_stage(&order);
        let lease_from = self.lease_from(order.decided_at);
        let lease_until_ms = lease_from.and_then(|from| link.lease_until_ms(from, lease_ms));
        let lease = link.lease_term(LeaseCall::Start, lease_until_ms);
        let worker = order.worker;
        let command = lease_until_ms.map(|lease_until_ms| StartCommand {
            task: order.task,
            run: order.run,
            payload: order.payload,
            lease_until_ms,
            token: link.fence.token_for_order(),
            ticket: order.ticket,
            checkpoint: order.checkpoint,
        });
        let (task, run) = (order.task, order.run);
        let leader = Rc::clone(self);
        actix_rt::spawn(async move {
            let started = match command {
                Some(command) => leader.send_start(&link, command, lease).await,
                None => Err(OrderError::NotSent(POSSIBLY_SUPERSEDED)),
            };
            leader.apply_start_result(worker, (task, run), &link, started);
        });
    }

    async fn send_start(
        &self,
        link: &WorkerLink,
        command: StartCommand,
        lease: Option<LeaseTerm>,
    ) -> Result<(), OrderError> {
        let sent_at = now();
        let job = command.task.step.job;
        let command = WorkerCommand::Start(command);
        let min_timeout_ms = self.node.settings.timing.order_timeout_ms;
        let start = async |timeout_ms| {
            let lease = lease.map(|term| link.trace.begin_lease(term, now()));
            let started = self.send_order(link, &command, timeout_ms).await;
            if let Some(lease) = lease {
                link.trace.end_lease(lease, started.as_ref().err());
            }
            started
        };
        let started = link.send(OrderKind::Start, min_timeout_ms, start).await;
        self.record_stage(job, Stage::Order, now().since(sent_at));
        started
    }

    fn apply_start_result(
        self: &Rc<Self>,
        worker: WorkerKey,
        (task, run): (TaskId, Run),
        link: &WorkerLink,
        started: Result<(), OrderError>,
    ) {
        let answer = match started {
            Ok(()) => StartAnswer::Started,
            Err(error) if self.handle_terminal_error(worker, &error) => return,
            Err(error) => {
                log::start_failed(&self.failed_order(task, run, link, &error));
                match error {
                    OrderError::Refused(refusal) => StartAnswer::Refused(refusal),
                    OrderError::NotSent(_) | OrderError::NoConnection(_) => StartAnswer::NotSent,
                    _ => StartAnswer::InDoubt,
                }
            }
        };
        self.apply(Event::StartAnswered {
            worker,
            task,
            run,
            answer,
        });
    }

    fn failed_order<'a>(
        &self,
        task: TaskId,
        run: Run,
        link: &'a WorkerLink,
        error: &'a OrderError,
    ) -> log::FailedOrder<'a> {
        let platform = &self.node.platform;
        log::FailedOrder {
            task,
            run,
            worker: &link.address.id,
            error,
            in_flight: link.orders_in_flight(),
            connections_opened: platform.connections_opened_to(&link.address),
        }
    }

    /// Handles errors that concern more than the order: the worker's incarnation is over, or this
    /// scheduler was fenced. Returns whether it was such an error.
    fn handle_terminal_error(self: &Rc<Self>, worker: WorkerKey, error: &OrderError) -> bool {
        match error {
            OrderError::Replaced => {
                self.record_life_end(worker, LifeEnd::Replaced);
                self.apply(Event::Replaced { worker });
            }
            OrderError::Restarted => {
                self.record_life_end(worker, LifeEnd::Reborn);
                self.apply(Event::Restarted { worker });
            }
            OrderError::Fenced => self.step_down("fenced_by_worker"),
            OrderError::Refused(_)
            | OrderError::NotSent(_)
            | OrderError::NoConnection(_)
            | OrderError::InDoubt(_) => {
                return false;
            }
        }
        true
    }

    pub(super) fn order_pace(
        self: &Rc<Self>,
        worker: WorkerKey,
        task: TaskId,
        run: Run,
        percent: u8,
    ) {
        let Some(link) = self.link_to(worker) else {
            // The session has just ended, and the event that ended it also ended its runs.
            return;
        };
        let command = PaceCommand {
            task,
            run,
            percent,
            token: link.fence.token_for_order(),
        };
        let leader = Rc::clone(self);
        actix_rt::spawn(async move { leader.send_pace(worker, &link, command).await });
    }

    async fn send_pace(
        self: &Rc<Self>,
        worker: WorkerKey,
        link: &WorkerLink,
        command: PaceCommand,
    ) {
        let min_timeout_ms = self.node.settings.timing.order_timeout_ms;
        let order = WorkerCommand::Pace(command);
        let pace = async |timeout_ms| self.send_order(link, &order, timeout_ms).await;
        let paced = link.send(OrderKind::Control, min_timeout_ms, pace).await;
        let accepted = match paced {
            Ok(()) => true,
            Err(error) if self.handle_terminal_error(worker, &error) => return,
            Err(error) => {
                let failed = self.failed_order(command.task, command.run, link, &error);
                log::pace_failed(&failed, command.percent);
                false
            }
        };
        self.apply(Event::PaceAnswered {
            worker,
            task: command.task,
            run: command.run,
            percent: command.percent,
            accepted,
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
            // The session has just ended, and the event that ended it also ended its runs.
            return;
        };
        if self.logs_runs_of(task.step.job) {
            log::stop_ordered(task, run, &link.address.id, reason);
        }
        let command = StopCommand {
            task,
            run,
            token: link.fence.token_for_order(),
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
        let min_timeout_ms = self.node.settings.timing.order_timeout_ms;
        let order = WorkerCommand::Stop(command);
        let stop = async |timeout_ms| self.send_order(link, &order, timeout_ms).await;
        let stopped = link.send(OrderKind::Control, min_timeout_ms, stop).await;
        let accepted = match stopped {
            Ok(()) => true,
            Err(error) if self.handle_terminal_error(worker, &error) => return,
            // The scheduler sends it again until it is accepted.
            Err(error) => {
                log::stop_failed(&self.failed_order(command.task, command.run, link, &error));
                false
            }
        };
        self.apply(Event::StopAnswered {
            worker,
            task: command.task,
            run: command.run,
            accepted,
        });
    }
}
