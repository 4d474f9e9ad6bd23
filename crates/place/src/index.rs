//! Finds the worker that a task fits best without looking at every worker.
//!
//! Workers are kept by free accelerators, then by a grade of free processor, then by free memory.
//! A grade is a range of amounts: sixteen to each power of two, so there are few of them however
//! many workers there are.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use syc_types::Resources;

use crate::WorkerKey;

/// Grades to each power of two, as a number of bits.
const GRADE_BITS: u32 = 4;

/// Returns the grade of a processor amount; a greater amount never has a lesser grade.
#[must_use]
pub(crate) fn grade(cpu_millis: u64) -> u32 {
    let bits = u64::BITS - cpu_millis.leading_zeros();
    if bits <= GRADE_BITS + 1 {
        return u32::try_from(cpu_millis).unwrap_or(u32::MAX);
    }
    let shift = bits - GRADE_BITS - 1;
    let mantissa = u32::try_from(cpu_millis >> shift).unwrap_or(u32::MAX);
    (shift << GRADE_BITS) + mantissa
}

/// Orders the workers that a task fits: the least is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    accelerators: u32,
    cpu_grade: u32,
    memory_bytes: u64,
    cpu_millis: u64,
    key: WorkerKey,
}

impl Rank {
    /// Ranks a worker by its room.
    pub(crate) fn new(room: &Resources, key: WorkerKey) -> Self {
        Self {
            accelerators: room.accelerators,
            cpu_grade: grade(room.cpu_millis),
            memory_bytes: room.memory_bytes,
            cpu_millis: room.cpu_millis,
            key,
        }
    }

    /// Returns the worker.
    pub(crate) const fn key(&self) -> WorkerKey {
        self.key
    }
}

type Grade = BTreeSet<(u64, u64, WorkerKey)>;

/// Workers by their room.
#[derive(Debug, Clone, Default)]
pub(crate) struct RoomIndex {
    planes: BTreeMap<u32, BTreeMap<u32, Grade>>,
}

impl RoomIndex {
    /// Adds a worker with its room.
    pub(crate) fn insert(&mut self, key: WorkerKey, room: &Resources) {
        let plane = self.planes.entry(room.accelerators).or_default();
        let workers = plane.entry(grade(room.cpu_millis)).or_default();
        workers.insert((room.memory_bytes, room.cpu_millis, key));
    }

    /// Removes a worker that was added with this room.
    pub(crate) fn remove(&mut self, key: WorkerKey, room: &Resources) {
        let Some(plane) = self.planes.get_mut(&room.accelerators) else {
            return;
        };
        let cpu_grade = grade(room.cpu_millis);
        if let Some(workers) = plane.get_mut(&cpu_grade) {
            workers.remove(&(room.memory_bytes, room.cpu_millis, key));
            if workers.is_empty() {
                plane.remove(&cpu_grade);
            }
        }
        if plane.is_empty() {
            self.planes.remove(&room.accelerators);
        }
    }

    /// Yields the workers that `need` fits on, the best first.
    pub(crate) fn fitting(&self, need: Resources) -> impl Iterator<Item = Rank> + '_ {
        let planes = self.planes.range(need.accelerators..);
        planes.flat_map(move |(&accelerators, plane)| {
            let grades = plane.range(grade(need.cpu_millis)..);
            grades.flat_map(move |(&cpu_grade, workers)| {
                let enough = workers.range((need.memory_bytes, 0, WorkerKey::default())..);
                let fitting = enough.filter(move |worker| worker.1 >= need.cpu_millis);
                fitting.map(move |&(memory_bytes, cpu_millis, key)| Rank {
                    accelerators,
                    cpu_grade,
                    memory_bytes,
                    cpu_millis,
                    key,
                })
            })
        })
    }
}
