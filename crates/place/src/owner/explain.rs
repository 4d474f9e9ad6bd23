//! Says why a job has no room, and which worker comes nearest.

use syc_types::JobKind;
use syc_types::JobSpec;
use syc_types::Resources;

use crate::NearMiss;
use crate::Owner;
use crate::Refusal;
use crate::Tier;
use crate::owner::Contact;

/// Why a task of a job would or would not be placed now, as counts of workers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Explanation {
    /// Workers that have room now.
    pub fitting: u32,
    /// Workers that have not yet told what they run, or have gone silent.
    pub silent: u32,
    /// Workers that are put aside because what they start fails.
    pub aside: u32,
    /// Workers without room whose room is kept for an offer that has waited long.
    pub guarded: u32,
    /// Workers that are no longer in the inventory.
    pub retired: u32,
    /// Other workers with too little free processor.
    pub short_of_cpu: u32,
    /// Other workers with too little free memory.
    pub short_of_memory: u32,
    /// Other workers with too few free accelerators.
    pub short_of_accelerators: u32,
    /// The worker that comes nearest where the task would fit on no empty worker.
    pub never: Option<NearMiss>,
}

impl Owner {
    /// Says which workers are out for a task of a job, and for what.
    #[must_use]
    pub fn explain(&self, spec: &JobSpec) -> Explanation {
        let mut found = Explanation::default();
        let need = &spec.resources;
        let urgent = spec.class == syc_types::Class::Urgent
            || !self.ledger.fits_when_empty(need, Tier::Ordinary);
        let tier = if urgent { Tier::Urgent } else { Tier::Ordinary };
        for (key, _) in self.ledger.workers() {
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            let room = self.ledger.room_for(key, tier).unwrap_or_default();
            let count = if worker.retired {
                &mut found.retired
            } else if worker.contact != Contact::Heard {
                &mut found.silent
            } else if worker.health.is_aside() {
                &mut found.aside
            } else if !need.fits_in(&room) && self.is_guarded(key) {
                &mut found.guarded
            } else if need.cpu_millis > room.cpu_millis {
                &mut found.short_of_cpu
            } else if need.memory_bytes > room.memory_bytes {
                &mut found.short_of_memory
            } else if need.accelerators > room.accelerators {
                &mut found.short_of_accelerators
            } else {
                &mut found.fitting
            };
            *count += 1;
        }
        if !self.ledger.fits_when_empty(need, Tier::Urgent) {
            found.never = Some(self.nearest(need));
        }
        found
    }

    /// Returns why a job's tasks could never be placed here, whatever ends.
    pub(super) fn never_fits(&self, spec: &JobSpec, tasks: usize) -> Option<Refusal> {
        let need = &spec.resources;
        if !self.ledger.fits_when_empty(need, Tier::Urgent) {
            return Some(Refusal::NeverFits(self.nearest(need)));
        }
        let asked = tasks as u64;
        let fitting = self.ledger.most_at_once(need, asked);
        let together = spec.kind == JobKind::Gang || tasks > 1;
        (together && fitting < asked).then_some(Refusal::TooMany { fitting, asked })
    }

    fn nearest(&self, need: &Resources) -> NearMiss {
        let mut nearest: Option<((u32, u64, u64), NearMiss)> = None;
        for (_, info) in self.ledger.workers() {
            let lacking = need.saturating_sub(&info.capacity);
            let rank = (
                lacking.accelerators,
                lacking.cpu_millis,
                lacking.memory_bytes,
            );
            if nearest.as_ref().is_none_or(|(least, _)| rank < *least) {
                let miss = NearMiss {
                    worker: Some(info.id.clone()),
                    lacking,
                };
                nearest = Some((rank, miss));
            }
        }
        let none = NearMiss {
            worker: None,
            lacking: *need,
        };
        nearest.map_or(none, |(_, miss)| miss)
    }
}
