//! Configuration of a cell: queues, the routes of requests to them, and the workspaces of their callers.

use smol_str::SmolStr;
use syc_sched::QueuePolicy;
use syc_types::ServiceName;
use syc_types::WorkspaceName;
use syc_workspace::Credential;
use syc_workspace::Denied;
use syc_workspace::Workspaces;

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
    /// The workspaces, with their keys and policies.
    pub workspaces: Workspaces,
    /// Workspaces that could not be read.
    pub skipped_workspaces: Vec<SkippedWorkspace>,
}

/// A workspace of a configuration that could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SkippedWorkspace {
    /// Its name, if at least that could be read.
    pub name: Option<WorkspaceName>,
    /// Reason why it was skipped. It contains no key.
    pub reason: SmolStr,
}

impl Configuration {
    /// Identifies the workspace of a call on a route.
    ///
    /// # Errors
    ///
    /// Fails if the route needs a key and the call carries none that is known.
    pub fn authenticate(
        &self,
        route: &Route,
        credential: &Credential,
    ) -> Result<Option<&WorkspaceName>, Denied> {
        self.workspaces.authenticate(credential, route.needs_key)
    }

    /// Defines the workspaces that could not be read as an earlier configuration did.
    ///
    /// Otherwise one malformed entry would refuse all callers of its workspace.
    pub(crate) fn keep_skipped_workspaces(&mut self, earlier: &Self) {
        for skipped in &self.skipped_workspaces {
            let Some(name) = &skipped.name else {
                continue;
            };
            // One that can't be added now was skipped since it clashes with another.
            let _skipped = self.workspaces.add_from(&earlier.workspaces, name);
        }
    }

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
    /// Whether a call needs the key of a workspace.
    pub needs_key: bool,
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
