//! Model of the advice service, which decides which workers may run a step.

use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;

use smol_str::SmolStr;
use syc_sched::AdvicePolicy;
use syc_sched::StepId;
use syc_types::Millis;
use syc_types::WorkerId;

/// Advice service that handles the calls of each caller one at a time.
#[derive(Debug, Clone, Default)]
pub struct AdviceModel {
    busy_until: BTreeMap<SmolStr, Millis>,
}

impl AdviceModel {
    /// Queues a call and returns the time at which it completes.
    pub fn call(
        &mut self,
        caller: &SmolStr,
        policy: &AdvicePolicy,
        workers: usize,
        now: Millis,
    ) -> Millis {
        let service = std::time::Duration::from_millis(1).mul_f64(policy.call_ms(workers));
        let service_ms = u64::try_from(service.as_millis())
            .unwrap_or(u64::MAX)
            .max(1);
        let busy_until = self.busy_until.entry(caller.clone()).or_default();
        *busy_until = (*busy_until).max(now).plus(service_ms);
        *busy_until
    }

    /// Returns whether a worker may run a step. The answer is the same for every call with the same arguments.
    #[must_use]
    pub fn allows(step: StepId, worker: &WorkerId, share_per_mille: u64) -> bool {
        let hasher = BuildHasherDefault::<DefaultHasher>::default();
        hasher.hash_one((step, worker.as_str())) % 1_000 < share_per_mille
    }
}
