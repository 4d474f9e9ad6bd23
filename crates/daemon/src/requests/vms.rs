//! The VM list's word on which endpoints are leaving.

use std::collections::HashMap;
use std::rc::Rc;

use syc_platform::types::Vm;
use syc_platform::types::VmState;
use syc_types::EndpointId;

use super::slots;
use crate::node::Node;

/// Takes over a reading of the VM list.
///
/// A VM that was never listed may be too new for the list, which lags. A list that can't be read
/// changes nothing, as endpoints are told by their own signs too.
pub fn vms_listed(node: &Rc<Node>, vms: &[Vm]) {
    let listed = vms.iter().map(|vm| (vm.name.as_str(), vm.state));
    let listed = listed.collect::<HashMap<_, _>>();
    let mut seen = node.requests.vms_seen.borrow_mut();
    for service in node.requests.services.borrow_mut().values_mut() {
        let ids = service.endpoints.ids().cloned();
        let ids = ids.collect::<Vec<EndpointId>>();
        for id in ids {
            let leaving = match listed.get(id.as_str()) {
                Some(VmState::Live) => false,
                Some(VmState::Leaving) => true,
                None => seen.contains(id.as_str()),
            };
            service.endpoints.set_leaving(&id, leaving);
        }
    }
    seen.extend(vms.iter().map(|vm| vm.name.clone()));
    drop(seen);
    slots::serve_waiting(node);
}
