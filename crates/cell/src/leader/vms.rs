//! VM orders and the status of waves reported to operators.

use std::rc::Rc;

use syc_sched::Event;
use syc_sched::VmInfo;
use syc_sched::VmOperation;
use syc_sched::VmOrderAnswer;
use syc_sched::Wave;
use syc_types::Millis;
use syc_types::VmId;

use crate::clock::now;
use crate::clock::pause;
use crate::leader::Leader;
use crate::leader::orders::POSSIBLY_SUPERSEDED;
use crate::log;
use crate::ports::AppendError;
use crate::ports::ListVmsError;
use crate::ports::Platform;
use crate::ports::Record;
use crate::ports::Topic;
use crate::ports::VmCommand;
use crate::ports::VmOrderError;
use crate::unreadable::Source;

/// Producer name of status records.
const PRODUCER: &str = "status";

/// Delay before a failed append is retried.
const RETRY_MS: u64 = 100;

/// Timeout of VM calls; even a slow platform answers within it.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Maximum number of pages in a VM list, far more than a cell needs.
const MAX_PAGES: usize = 200;

impl<P> Leader<P>
where
    P: Platform,
{
    /// Handles a wave that operators published.
    pub(crate) fn apply_wave(self: &Rc<Self>, wave: Wave, age_ms: u64) {
        if self.loaded.get() {
            self.apply(Event::WavePublished { wave, age_ms });
        }
    }

    /// Applies the standby services of the configuration in force.
    pub(crate) fn apply_standby(self: &Rc<Self>) {
        let configuration = self.node.configuration();
        let standby = configuration.map(|configuration| configuration.standby.clone());
        self.apply(Event::StandbySet(standby.unwrap_or_default()));
    }

    /// Passes the policies of the workspaces to the scheduler. Without a configuration they are not known, and work of
    /// workspaces waits for it.
    pub(crate) fn apply_workspaces(self: &Rc<Self>) {
        let Some(configuration) = self.node.configuration() else {
            return;
        };
        let policies = configuration.workspaces.policies().cloned();
        self.apply(Event::WorkspacesSet(policies.collect()));
    }

    /// Applies everything operators published before this node became the scheduler.
    pub(super) fn apply_published(self: &Rc<Self>) {
        self.apply_standby();
        self.apply_workspaces();
        let waves = self.node.waves.borrow().clone();
        for seen in waves {
            self.apply_wave(seen.wave, now().since(seen.seen_at));
        }
    }

    pub(super) fn list_vms(self: &Rc<Self>, asked_at: Millis) {
        let leader = Rc::clone(self);
        actix_rt::spawn(async move {
            let listed = leader.read_vms().await;
            if let Err(error) = &listed {
                log::list_vms_failed(error);
            }
            let vms = listed.ok();
            leader.apply(Event::VmsListed { asked_at, vms });
        });
    }

    async fn read_vms(&self) -> Result<Vec<VmInfo>, ListVmsError> {
        let mut vms = Vec::new();
        let mut from = None;
        for _ in 0..MAX_PAGES {
            let platform = &self.node.platform;
            let page = platform.list_vms(from.as_deref(), CALL_TIMEOUT_MS).await?;
            self.node.report_skipped(Source::Vms, "list", &page.skipped);
            vms.extend(page.vms);
            from = page.next;
            if from.is_none() {
                return Ok(vms);
            }
        }
        Err(ListVmsError("the list of VMs has too many pages".into()))
    }

    pub(super) fn order_vm(self: &Rc<Self>, vm: VmId, operation: VmOperation) {
        let command = VmCommand {
            vm,
            operation,
            holder: self.node.settings.name.clone(),
            token: self.token,
        };
        let leader = Rc::clone(self);
        actix_rt::spawn(async move { leader.send_vm_order(command).await });
    }

    async fn send_vm_order(self: &Rc<Self>, command: VmCommand) {
        if self.ended.get() {
            return;
        }
        let platform = &self.node.platform;
        let ordered = if self.lease_from(now()).is_some() {
            platform.order_vm(&command, CALL_TIMEOUT_MS).await
        } else {
            // A successor may already have sent orders for this VM, and this order must not follow
            // them.
            Err(VmOrderError::InDoubt(POSSIBLY_SUPERSEDED))
        };
        let answer = match &ordered {
            Ok(()) => VmOrderAnswer::Done,
            Err(VmOrderError::Fenced) => {
                self.step_down("fenced_by_platform");
                return;
            }
            Err(VmOrderError::Busy) => VmOrderAnswer::Busy,
            Err(VmOrderError::NotApplicable(_)) => VmOrderAnswer::NotApplicable,
            Err(VmOrderError::InDoubt(_)) => VmOrderAnswer::InDoubt,
        };
        log::vm_ordered(&command, answer, ordered.err().as_ref());
        self.apply(Event::VmOrderAnswered {
            vm: command.vm,
            operation: command.operation,
            answer,
        });
    }

    /// Queues a status record about a wave for operators.
    pub(super) fn queue_wave_status(&self, wave: u64, completed: bool) {
        log::wave_status_published(wave, completed);
        let record = self.node.platform.wave_status(wave, completed);
        self.statuses.borrow_mut().push_back(record);
        self.status_notify.notify_one();
    }

    /// Appends a record, retrying until the store has it. Returns false if this node no longer
    /// holds the role.
    async fn append_status(&self, record: &Record, sequence: &mut u64) -> bool {
        loop {
            let condition = self.producer_condition(PRODUCER, *sequence);
            let appended = self
                .node
                .append(Topic::Status, 0, std::slice::from_ref(record), &condition)
                .await;
            match appended {
                Ok(_) => {
                    *sequence += 1;
                    return true;
                }
                Err(AppendError::Fenced) => {
                    self.step_down("fenced_by_store");
                    return false;
                }
                Err(AppendError::OutOfSequence { expected }) => *sequence = expected,
                // The sequence number is kept, so the store deduplicates the retry.
                Err(_error) => pause(RETRY_MS).await,
            }
        }
    }
}

/// Writes queued status records in order.
pub(super) async fn write_statuses<P>(leader: Rc<Leader<P>>)
where
    P: Platform,
{
    let mut sequence = 0;
    loop {
        let next = leader.statuses.borrow().front().cloned();
        let Some(record) = next else {
            leader.status_notify.notified().await;
            continue;
        };
        if !leader.append_status(&record, &mut sequence).await {
            return;
        }
        leader.statuses.borrow_mut().pop_front();
    }
}
