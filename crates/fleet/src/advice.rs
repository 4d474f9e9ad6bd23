//! The advice service: who may run a step, told one call at a time for each caller.

use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;

use smol_str::SmolStr;
use syc_sched::AdvicePolicy;
use syc_sched::StepId;
use syc_types::Millis;
use syc_types::WorkerId;

/// Serves the calls of each caller in turn.
#[derive(Debug, Clone, Default)]
pub struct AdviceModel {
    busy_until: BTreeMap<SmolStr, Millis>,
}

impl AdviceModel {
    /// Takes a call and returns when it will have been served.
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

    /// Says whether a worker may run a step; a step has the same answer each time.
    #[must_use]
    pub fn allows(step: StepId, worker: &WorkerId, share_per_mille: u64) -> bool {
        let hasher = BuildHasherDefault::<DefaultHasher>::default();
        hasher.hash_one((step, worker.as_str())) % 1_000 < share_per_mille
    }
}
