//! The inventory as it counts: all parts of the register, with every set of rules applied.

use std::collections::HashMap;
use std::collections::HashSet;

use smol_str::SmolStr;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::WorkerId;

use crate::Document;
use crate::Inventory;
use crate::Rules;
use crate::ServiceDoc;
use crate::WorkerDoc;

/// Name of the inventory that is worked out.
const EFFECTIVE: &str = "effective";

/// Works out what may get new work from the documents in force.
///
/// Parts that list the same service are joined, and the first one's slots count. The order of the
/// rules does not matter.
#[must_use]
pub fn effective_inventory<'d, D>(documents: D) -> Inventory
where
    D: IntoIterator<Item = &'d Document>,
{
    let mut parts = Vec::new();
    let mut exceptions = Exceptions::default();
    for document in documents {
        match document {
            Document::Inventory(inventory) => parts.push(inventory),
            Document::Rules(rules) => exceptions.add(rules),
            Document::Team(_) | Document::Policy(_) => {}
        }
    }
    let mut effective = Inventory {
        name: EFFECTIVE.into(),
        ..Inventory::default()
    };
    for part in parts {
        for worker in &part.workers {
            effective.workers.extend(exceptions.worker(worker));
        }
        for service in &part.services {
            join_service(&mut effective.services, exceptions.service(service));
        }
    }
    effective
}

/// Returns the names in a set of rules that no part of the register knows.
///
/// Such a rule is kept, and takes effect once the register knows the name.
#[must_use]
pub fn unknown_names(rules: &Rules, inventory: &Inventory) -> Vec<SmolStr> {
    let mut known = HashSet::new();
    for worker in &inventory.workers {
        known.insert(worker.id.as_str());
        known.insert(worker.rack.as_str());
    }
    for service in &inventory.services {
        known.extend(
            service
                .endpoints
                .iter()
                .map(|endpoint| endpoint.id.as_str()),
        );
    }
    let workers = rules.exclude_workers.iter().map(WorkerId::as_str);
    let racks = rules.exclude_racks.iter().map(RackId::as_str);
    let limited = rules.capacities.iter().map(|rule| rule.worker.as_str());
    let drained = rules.drain_vms.iter().map(SmolStr::as_str);
    let named = workers.chain(racks).chain(limited).chain(drained);
    let unknown = named.filter(|name| !known.contains(name));
    unknown.map(SmolStr::new).collect()
}

fn join_service(services: &mut Vec<ServiceDoc>, service: ServiceDoc) {
    let mut listed = services.iter_mut();
    match listed.find(|other| other.name == service.name) {
        Some(other) => other.endpoints.extend(service.endpoints),
        None => services.push(service),
    }
}

#[derive(Debug, Default)]
struct Exceptions<'d> {
    excluded: HashSet<&'d str>,
    racks: HashSet<&'d str>,
    capacities: HashMap<&'d WorkerId, Resources>,
}

impl<'d> Exceptions<'d> {
    fn add(&mut self, rules: &'d Rules) {
        let workers = rules.exclude_workers.iter().map(WorkerId::as_str);
        self.excluded.extend(workers);
        self.excluded
            .extend(rules.drain_vms.iter().map(SmolStr::as_str));
        let racks = rules.exclude_racks.iter().map(RackId::as_str);
        self.racks.extend(racks);
        for rule in &rules.capacities {
            let least = self.capacities.entry(&rule.worker);
            let least = least.or_insert(rule.capacity);
            *least = least_of(*least, rule.capacity);
        }
    }

    fn worker(&self, worker: &WorkerDoc) -> Option<WorkerDoc> {
        let excluded = self.excluded.contains(worker.id.as_str());
        if excluded || self.racks.contains(worker.rack.as_str()) {
            return None;
        }
        let mut worker = worker.clone();
        if let Some(capacity) = self.capacities.get(&worker.id) {
            worker.capacity = least_of(worker.capacity, *capacity);
        }
        Some(worker)
    }

    fn service(&self, service: &ServiceDoc) -> ServiceDoc {
        let mut service = service.clone();
        let endpoints = &mut service.endpoints;
        endpoints.retain(|endpoint| !self.excluded.contains(endpoint.id.as_str()));
        service
    }
}

fn least_of(one: Resources, other: Resources) -> Resources {
    Resources {
        cpu_millis: one.cpu_millis.min(other.cpu_millis),
        memory_bytes: one.memory_bytes.min(other.memory_bytes),
        accelerators: one.accelerators.min(other.accelerators),
    }
}
