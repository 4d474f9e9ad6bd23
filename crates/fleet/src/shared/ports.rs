//! Implementations of the ports of a node on top of the models.

use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_cell::now;
use syc_cell::pause;
use syc_cell::ports::Advice;
use syc_cell::ports::AdviceError;
use syc_cell::ports::AdvicePort;
use syc_cell::ports::AppendError;
use syc_cell::ports::Appended;
use syc_cell::ports::Condition;
use syc_cell::ports::FormatError;
use syc_cell::ports::ListVmsError;
use syc_cell::ports::Newest;
use syc_cell::ports::OrderError;
use syc_cell::ports::PaceCommand;
use syc_cell::ports::Page;
use syc_cell::ports::Published;
use syc_cell::ports::ReadError;
use syc_cell::ports::Record;
use syc_cell::ports::RecordFormats;
use syc_cell::ports::Renewal;
use syc_cell::ports::RenewalReply;
use syc_cell::ports::StartCommand;
use syc_cell::ports::StopCommand;
use syc_cell::ports::Store;
use syc_cell::ports::Topic;
use syc_cell::ports::VmCommand;
use syc_cell::ports::VmOrderError;
use syc_cell::ports::VmPage;
use syc_cell::ports::VmPort;
use syc_cell::ports::WorkerAddress;
use syc_cell::ports::WorkerPort;
use syc_sched::StepId;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;

use super::SharedPlatform;
use super::State;
use super::calls::CALL_MS;
use super::process_of;
use super::vms::WAVE_PREFIX;

/// Interval at which a long poll checks for changes.
const POLL_INTERVAL_MS: u64 = 2;

/// Validity of tickets from the advice service.
const ADVICE_VALIDITY_MS: u64 = 2_000;

impl Store for SharedPlatform {
    async fn append(
        &self,
        topic: Topic,
        partition: u32,
        records: &[Record],
        condition: &Condition,
    ) -> Result<Appended, AppendError> {
        if self.reach_store().await {
            return Err(AppendError::Refused(SmolStr::new_static("refused")));
        }
        if self
            .lock()
            .faults
            .unavailable_partitions
            .contains(&(topic, partition))
        {
            return Err(AppendError::Refused(SmolStr::new_static(
                "partition unavailable",
            )));
        }
        if self.is_unrepeated_append_lost(topic, partition, condition) {
            return std::future::pending().await;
        }
        let (appended, lost) = {
            let mut state = self.lock();
            let faults = &mut state.faults;
            let left = if topic == Topic::Jobs && faults.lost_submits > 0 {
                &mut faults.lost_submits
            } else {
                &mut faults.lost_appends
            };
            let lost = *left > 0;
            *left = left.saturating_sub(1);
            let appended = state.store.append(topic, partition, records, condition);
            (appended, lost)
        };
        if lost {
            return std::future::pending().await;
        }
        appended
    }

    async fn read(
        &self,
        topic: Topic,
        partition: u32,
        from: u64,
        wait_ms: u64,
    ) -> Result<Page, ReadError> {
        self.count_read();
        if self.reach_store().await {
            return Err(ReadError::Unavailable(SmolStr::new_static("refused")));
        }
        let until = now().plus(wait_ms);
        loop {
            if self.is_refused() {
                // Calls that were waiting when the refusal began are reset.
                return Err(ReadError::Unavailable(SmolStr::new_static("reset")));
            }
            if self.is_unreadable(topic, partition) {
                return Err(ReadError::Unavailable(SmolStr::new_static(
                    "partition unavailable",
                )));
            }
            let page = self.lock().store.read(topic, partition, from)?;
            if !page.records.is_empty() || now() >= until {
                self.delay_read(topic).await;
                return Ok(page);
            }
            pause(POLL_INTERVAL_MS).await;
        }
    }

    async fn newest(&self, topic: Topic, partition: u32) -> Result<Newest, ReadError> {
        self.count_read();
        if self.reach_store().await {
            return Err(ReadError::Unavailable(SmolStr::new_static("refused")));
        }
        if self.take_unanswered_read() {
            std::future::pending::<()>().await;
        }
        let is_unreadable = self.is_unreadable(topic, partition);
        let mut state = self.lock();
        if is_unreadable {
            state.refused_full_reads += 1;
            return Err(ReadError::Unavailable(SmolStr::new_static(
                "partition unavailable",
            )));
        }
        *state.full_reads.entry((topic, partition)).or_default() += 1;
        Ok(state.store.newest(topic, partition))
    }
}

impl WorkerPort for SharedPlatform {
    async fn start(
        &self,
        worker: &WorkerAddress,
        command: &StartCommand,
        timeout_ms: u64,
    ) -> Result<(), OrderError> {
        if self.take_start_without_connection() {
            let busy = SmolStr::new_static("no connection is free");
            return Err(OrderError::NoConnection(busy));
        }
        let process = process_of(&worker.id);
        self.begin_start(&process);
        let reached = self.reach_worker_with_order(&process, timeout_ms).await;
        self.end_start(&process);
        reached?;
        if self.hold_start(&process, command) {
            pause(timeout_ms).await;
            return Err(OrderError::InDoubt(SmolStr::new_static("held up")));
        }
        let (started, lost) = {
            let mut state = self.lock();
            let lost = state.faults.lost_starts > 0;
            state.faults.lost_starts = state.faults.lost_starts.saturating_sub(1);
            (state.fleet.start(&process, command, now()), lost)
        };
        if lost {
            pause(timeout_ms).await;
            return Err(OrderError::InDoubt(SmolStr::new_static("reply lost")));
        }
        self.await_silent_life(&worker.id, timeout_ms).await?;
        self.await_reply(CALL_MS, timeout_ms).await?;
        started
    }

    async fn stop(
        &self,
        worker: &WorkerAddress,
        command: &StopCommand,
        timeout_ms: u64,
    ) -> Result<(), OrderError> {
        let process = process_of(&worker.id);
        self.reach_worker_with_order(&process, timeout_ms).await?;
        let stopped = self.lock().fleet.stop(&process, command, now());
        self.await_silent_life(&worker.id, timeout_ms).await?;
        self.await_reply(CALL_MS, timeout_ms).await?;
        stopped
    }

    async fn pace(
        &self,
        worker: &WorkerAddress,
        command: &PaceCommand,
        timeout_ms: u64,
    ) -> Result<(), OrderError> {
        let process = process_of(&worker.id);
        self.reach_worker_with_order(&process, timeout_ms).await?;
        let paced = self.lock().fleet.pace(&process, command, now());
        self.await_silent_life(&worker.id, timeout_ms).await?;
        self.await_reply(CALL_MS, timeout_ms).await?;
        paced
    }

    async fn renew(
        &self,
        worker: &WorkerAddress,
        renewal: &Renewal,
        timeout_ms: u64,
    ) -> Result<RenewalReply, OrderError> {
        let process = process_of(&worker.id);
        self.note_renewal(&process, renewal.wait_ms);
        self.reach_worker(&process, timeout_ms).await?;
        if self.hold_renewal(&process, renewal) {
            pause(timeout_ms).await;
            return Err(OrderError::InDoubt(SmolStr::new_static("held up")));
        }
        let began = now();
        let until = began.plus(renewal.wait_ms);
        loop {
            if self.is_silent(&process) {
                let spent_ms = now().since(began);
                pause(timeout_ms.saturating_sub(spent_ms)).await;
                return Err(OrderError::InDoubt(SmolStr::new_static("no reply")));
            }
            let renewed = self.lock().fleet.renew(&process, renewal, now());
            self.await_silent_life(&worker.id, timeout_ms).await?;
            let renewed = renewed?;
            if !worker.id.is_of_life(renewed.born_ms) {
                return Err(OrderError::Restarted);
            }
            if !renewed.report.ended.is_empty() || now() >= until {
                let spent_ms = now().since(began);
                self.await_reply(spent_ms, timeout_ms).await?;
                return Ok(self.corrupt_clock(&process, renewed));
            }
            pause(POLL_INTERVAL_MS).await;
        }
    }
}

impl AdvicePort for SharedPlatform {
    async fn advise(
        &self,
        step: StepId,
        workers: &[WorkerId],
        _timeout_ms: u64,
    ) -> Result<Advice, AdviceError> {
        pause(CALL_MS).await;
        self.lock().advice_calls += 1;
        let allowed = workers
            .iter()
            .map(|worker| (worker.clone(), format_smolstr!("{step}@{worker}")));
        Ok(Advice {
            allowed: allowed.collect(),
            validity_ms: ADVICE_VALIDITY_MS,
            ..Advice::default()
        })
    }
}

impl RecordFormats for SharedPlatform {
    fn worker(&self, key: &str, _value: &[u8]) -> Result<WorkerSpec, FormatError> {
        let state = self.lock();
        let spec = state.specs.get(key).cloned();
        spec.ok_or_else(|| FormatError(format!("no worker `{key}` was registered")))
    }

    fn published(&self, key: &str, value: &[u8]) -> Result<Published, FormatError> {
        let state = self.lock();
        if let Some(number) = key.strip_prefix(WAVE_PREFIX) {
            let number = number.parse().ok();
            let wave = number.and_then(|number: u64| state.vms.wave(number));
            return Ok(wave.cloned().map_or(Published::Other, Published::Wave));
        }
        let name = String::from_utf8_lossy(value);
        let configuration = state.configurations.get(&*name).cloned();
        configuration
            .map(Published::Configuration)
            .ok_or_else(|| FormatError(format!("no configuration `{name}` was published")))
    }

    fn wave_status(&self, wave: u64, completed: bool) -> Record {
        Record {
            key: format_smolstr!("{WAVE_PREFIX}{wave}"),
            value: if completed { "completed" } else { "running" }.into(),
        }
    }
}

impl VmPort for SharedPlatform {
    async fn list_vms(&self, from: Option<&str>, _timeout_ms: u64) -> Result<VmPage, ListVmsError> {
        pause(CALL_MS).await;
        self.restore_vms();
        let listed = self.lock().vms.list();
        // Splits the list into two pages to exercise pagination.
        let (first, rest) = listed.split_at(listed.len() / 2);
        Ok(match from {
            None => VmPage {
                vms: first.to_vec(),
                next: Some(SmolStr::new_static("rest")),
                ..VmPage::default()
            },
            Some(_) => VmPage {
                vms: rest.to_vec(),
                ..VmPage::default()
            },
        })
    }

    async fn order_vm(&self, command: &VmCommand, _timeout_ms: u64) -> Result<(), VmOrderError> {
        pause(CALL_MS).await;
        let mut state = self.lock();
        let State { vms, fleet, .. } = &mut *state;
        vms.order(fleet, command, now())
    }
}
