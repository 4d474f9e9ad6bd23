//! Configuration of a cell: queues and the routes of requests to them.

use smol_str::SmolStr;
use syc_sched::QueuePolicy;
use syc_types::ServiceName;

/// One version of the configuration that operators publish.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version number, which increases with each publication.
    pub version: u64,
    /// Routes of requests to queues.
    pub routes: Vec<Route>,
    /// Services whose workers may be used. Empty if all may.
    pub services: Vec<ServiceName>,
    /// Services whose VMs stay off until they are moved to another pool.
    pub standby: Vec<ServiceName>,
    /// Largest request body in bytes.
    pub body_limit_bytes: usize,
}

impl Configuration {
    /// Returns whether workers of a service may be used.
    #[must_use]
    pub fn allows_service(&self, service: &ServiceName) -> bool {
        self.services.is_empty() || self.services.contains(service)
    }
}

/// Route of requests to a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Host of the request.
    pub host: SmolStr,
    /// Prefix of the request path.
    pub path_prefix: SmolStr,
    /// Timeout of a request.
    pub timeout_ms: u64,
    /// Policy of the queue.
    pub policy: QueuePolicy,
}

impl Configuration {
    /// Finds the route of a request: among the routes of its host, the one with the longest prefix of its path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let mut best: Option<&Route> = None;
        for route in &self.routes {
            if !route.host.eq_ignore_ascii_case(host) || !path.starts_with(&*route.path_prefix) {
                continue;
            }
            let longest = best.map_or(0, |best| best.path_prefix.len());
            if best.is_none() || route.path_prefix.len() > longest {
                best = Some(route);
            }
        }
        best
    }
}
