//! Picks the carrier that suits a worker best: one of its zone if any has room, then by rendezvous hashing.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use syc_types::Zone;
use xxhash_rust::xxh3::xxh3_64;

use super::Carrier;
use super::WorkerRoute;

/// How well a carrier suits a worker: whether it is in the same zone, then the score of the pair. The greatest suits
/// best.
pub(super) type Fitness = (bool, u64);

/// A carrier, during an assignment.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) name: SmolStr,
    zone: Zone,
    digest: u64,
    /// Further workers that it can relay for.
    pub(super) room: u64,
}

impl Candidate {
    pub(super) fn new(name: &SmolStr, node: &Carrier) -> Self {
        Self {
            name: name.clone(),
            zone: node.zone.clone(),
            digest: node.digest,
            room: node.max_workers(),
        }
    }

    pub(super) fn fitness(&self, route: &WorkerRoute) -> Fitness {
        (self.zone == route.zone, score(route.digest, self.digest))
    }
}

/// The carriers of an assignment, by zone.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    pub(super) by_zone: BTreeMap<Zone, Vec<Candidate>>,
    /// Number of comparisons of a worker with a carrier so far.
    pub(super) comparisons: u64,
}

impl Candidates {
    pub(super) fn add(&mut self, candidate: Candidate) {
        let of_zone = self.by_zone.entry(candidate.zone.clone()).or_default();
        of_zone.push(candidate);
    }

    /// Takes room for a worker at the carrier that suits it best.
    pub(super) fn take_best(&mut self, route: &WorkerRoute) -> Option<(SmolStr, Fitness)> {
        let comparisons = &mut self.comparisons;
        let near = self.by_zone.get_mut(&route.zone);
        let near = near.and_then(|of_zone| take_best(of_zone.iter_mut(), route, comparisons));
        near.or_else(|| take_best(self.by_zone.values_mut().flatten(), route, comparisons))
    }
}

/// Takes room for a worker at the one of these carriers that suits it best.
pub(super) fn take_best<'a, I>(
    candidates: I,
    route: &WorkerRoute,
    comparisons: &mut u64,
) -> Option<(SmolStr, Fitness)>
where
    I: Iterator<Item = &'a mut Candidate>,
{
    let mut best: Option<(Fitness, &mut Candidate)> = None;
    for candidate in candidates {
        if candidate.room == 0 {
            continue;
        }
        *comparisons += 1;
        let fitness = candidate.fitness(route);
        if best.as_ref().is_none_or(|(most, _)| fitness > *most) {
            best = Some((fitness, candidate));
        }
    }
    let (fitness, candidate) = best?;
    candidate.room -= 1;
    Some((candidate.name.clone(), fitness))
}

/// Scores a node for a worker (rendezvous hashing). It hashes digests rather than names, since an assignment of
/// thousands of workers to hundreds of nodes scores each pair.
fn score(worker_digest: u64, node_digest: u64) -> u64 {
    let mut pair = [0; 16];
    pair[..8].copy_from_slice(&worker_digest.to_le_bytes());
    pair[8..].copy_from_slice(&node_digest.to_le_bytes());
    xxh3_64(&pair)
}
