//! The services' endpoints as the inventory names them.

use std::rc::Rc;

use syc_config::Inventory;
use syc_config::ServiceDoc;
use syc_route::AdaptiveLimit;
use syc_route::EndpointInfo;
use syc_route::Endpoints;
use syc_route::HealthOptions;

use crate::node::Node;

/// Takes over the services of an inventory that came into force.
pub fn apply_inventory(node: &Rc<Node>, inventory: &Inventory) {
    let mut services = node.requests.services.borrow_mut();
    for service in &inventory.services {
        let empty = || Endpoints::new(AdaptiveLimit, HealthOptions::default(), node.zone.clone());
        let endpoints = services.entry(service.name.clone()).or_insert_with(empty);
        apply_endpoints(endpoints, service);
        endpoints.set_entry_vms(entry_vms(node));
    }
    node.requests.freed.notify_waiters();
}

fn apply_endpoints(endpoints: &mut Endpoints, service: &ServiceDoc) {
    endpoints.retain(|id| service.endpoints.iter().any(|named| named.id == *id));
    for endpoint in &service.endpoints {
        endpoints.upsert(EndpointInfo {
            id: endpoint.id.clone(),
            address: endpoint.address.clone(),
            zone: endpoint.zone.clone(),
            slots: service.slots,
        });
    }
}

fn entry_vms(node: &Rc<Node>) -> u32 {
    let members = node.view.borrow().members.len();
    u32::try_from(members).unwrap_or(u32::MAX)
}
