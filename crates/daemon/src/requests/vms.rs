//! The VM list's word on which endpoints are leaving.

use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use syc_platform::VmList;
use syc_platform::types::Vm;
use syc_platform::types::VmState;
use syc_types::EndpointId;

use super::slots;
use crate::node::Node;

/// Longest time between two readings; a leaving endpoint gets nothing new for longer.
const READING_LIMIT_MS: u64 = 1_000;

/// Reads the VM list again and again.
pub async fn run(node: Rc<Node>) {
    let interval_ms = node.settings.timing.vm_poll_ms.clamp(1, READING_LIMIT_MS);
    let mut seen = HashSet::new();
    loop {
        // A list that can't be read changes nothing: endpoints are told by their own signs.
        if let Ok(vms) = node.platform.list().await {
            apply(&node, &vms, &mut seen);
        }
        actix_rt::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

/// Takes over a reading; `seen` holds the VMs that were ever listed.
///
/// A VM that was never listed may be too new for the list, which lags.
fn apply(node: &Rc<Node>, vms: &[Vm], seen: &mut HashSet<SmolStr>) {
    let listed = vms.iter().map(|vm| (vm.name.as_str(), vm.state));
    let listed = listed.collect::<HashMap<_, _>>();
    {
        let mut services = node.requests.services.borrow_mut();
        for service in services.values_mut() {
            let ids = service
                .endpoints
                .ids()
                .cloned()
                .collect::<Vec<EndpointId>>();
            for id in ids {
                let leaving = match listed.get(id.as_str()) {
                    Some(VmState::Live) => false,
                    Some(VmState::Leaving) => true,
                    None => seen.contains(id.as_str()),
                };
                service.endpoints.set_leaving(&id, leaving);
            }
        }
    }
    seen.extend(vms.iter().map(|vm| vm.name.clone()));
    slots::serve_waiting(node);
}
