//! The configuration in force: queues and where their jobs come in.

use smol_str::SmolStr;
use syc_sched::QueuePolicy;
use syc_types::ServiceName;

/// Everything that operators have published, as one version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Its number; later versions have greater ones.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// Services that have workers; none where they are not told.
    pub services: Vec<ServiceName>,
    /// Services whose VMs are off until they are moved to another pool.
    pub standby: Vec<ServiceName>,
    /// Largest body of a request.
    pub body_limit_bytes: usize,
}

impl Configuration {
    /// Says whether workers of a service may be used.
    #[must_use]
    pub fn names_service(&self, service: &ServiceName) -> bool {
        self.services.is_empty() || self.services.contains(service)
    }
}

/// A way in to a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Host that requests name.
    pub host: SmolStr,
    /// Begin of their path.
    pub path_prefix: SmolStr,
    /// Time that a request may take.
    pub timeout_ms: u64,
    /// The queue's policy.
    pub policy: QueuePolicy,
}

impl Configuration {
    /// Finds the route of a request: the longest prefix of its path under its host.
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
