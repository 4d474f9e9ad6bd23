//! The services' endpoints as the inventory names them.

use std::rc::Rc;

use syc_config::Inventory;
use syc_config::ServiceDoc;
use syc_route::AdaptiveLimit;
use syc_route::EndpointInfo;
use syc_route::Endpoints;
use syc_route::HealthOptions;
use syc_route::HedgeOptions;
use syc_route::HedgeTimer;
use syc_route::Queue;
use syc_route::QueueOptions;
use syc_route::RetryBudget;
use syc_route::RetryOptions;

use super::ByService;
use super::slots;
use super::slots::Waiter;
use crate::node::Node;

/// The services in force.
pub type Services = ByService<Service>;

/// One service: its endpoints, and who waits for them.
#[derive(Debug)]
pub struct Service {
    /// The endpoints.
    pub endpoints: Endpoints,
    /// Requests that wait for a slot.
    pub queue: Queue<Waiter>,
    /// Retries that may still be made.
    pub budget: RetryBudget,
    /// When a request is late.
    pub timer: HedgeTimer,
}

impl Service {
    fn new(node: &Rc<Node>) -> Self {
        let requests = node.settings.limits.queue_requests;
        let queue = QueueOptions {
            requests,
            caller_requests: requests.div_ceil(4),
            team_requests: requests.div_ceil(2),
            ..QueueOptions::default()
        };
        let health = HealthOptions::default();
        Self {
            endpoints: Endpoints::new(AdaptiveLimit, health, node.zone.clone()),
            queue: Queue::new(queue),
            budget: RetryBudget::new(RetryOptions::default()),
            timer: HedgeTimer::new(HedgeOptions::default()),
        }
    }

    fn apply(&mut self, document: Option<&ServiceDoc>) {
        let listed = document.map_or(&[][..], |document| &document.endpoints);
        self.endpoints
            .retain(|id| listed.iter().any(|named| named.id == *id));
        for endpoint in listed {
            self.endpoints.upsert(EndpointInfo {
                id: endpoint.id.clone(),
                address: endpoint.address.clone(),
                zone: endpoint.zone.clone(),
                slots: document.map_or(1, |document| document.slots),
            });
        }
    }
}

/// Takes over the services of the whole inventory in force.
pub fn apply_inventory(node: &Rc<Node>, inventory: &Inventory) {
    {
        let mut services = node.requests.services.borrow_mut();
        for document in &inventory.services {
            let service = services.entry(document.name.clone());
            service.or_insert_with(|| Service::new(node));
        }
        for (name, service) in services.iter_mut() {
            let document = inventory.services.iter().find(|one| one.name == *name);
            service.apply(document);
        }
    }
    share_slots(node);
    slots::serve_waiting(node);
}

/// Shares the endpoints' slots among the members of the view.
pub fn share_slots(node: &Rc<Node>) {
    let members = node.view.borrow().members.len();
    let entry_vms = u32::try_from(members).unwrap_or(u32::MAX);
    for service in node.requests.services.borrow_mut().values_mut() {
        service.endpoints.set_entry_vms(entry_vms);
    }
}
