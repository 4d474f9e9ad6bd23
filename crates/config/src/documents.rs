//! Configuration documents, one per scope, so that teams do not collide.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_types::Class;
use syc_types::EndpointId;
use syc_types::JobKind;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::TeamId;
use syc_types::WorkerId;
use syc_types::Zone;

/// A published document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Document {
    /// What there is to place on and to route to.
    Inventory(Inventory),
    /// A team's share and limits.
    Team(Team),
    /// What placement weighs.
    Policy(Policy),
    /// Exceptions on top of the inventory.
    Rules(Rules),
}

impl Document {
    /// Returns the scope that the document is the whole content of.
    #[must_use]
    pub fn scope(&self) -> SmolStr {
        match self {
            Self::Inventory(inventory) => format_smolstr!("inventory/{}", inventory.name),
            Self::Team(team) => format_smolstr!("team/{}", team.name),
            Self::Policy(policy) => format_smolstr!("policy/{}", policy.name),
            Self::Rules(rules) => format_smolstr!("rules/{}", rules.name),
        }
    }
}

/// Workers and services, as an asset register lists them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Inventory {
    /// Name of the part of the register.
    pub name: SmolStr,
    /// The workers.
    #[serde(default)]
    pub workers: Vec<WorkerDoc>,
    /// The services.
    #[serde(default)]
    pub services: Vec<ServiceDoc>,
}

/// A worker in the inventory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct WorkerDoc {
    /// Name of the worker and its VM.
    pub id: WorkerId,
    /// Where it takes commands, `ip:port`.
    pub address: SmolStr,
    /// Its availability zone.
    pub zone: Zone,
    /// Its rack.
    pub rack: RackId,
    /// What it has.
    pub capacity: Resources,
}

/// A service in the inventory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct ServiceDoc {
    /// Name of the service.
    pub name: ServiceName,
    /// Requests that each endpoint works on at once.
    pub slots: u32,
    /// Its instances.
    pub endpoints: Vec<EndpointDoc>,
}

/// An instance of a service in the inventory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct EndpointDoc {
    /// Name of the endpoint and its VM.
    pub id: EndpointId,
    /// Where it takes requests, `ip:port`.
    pub address: SmolStr,
    /// Its availability zone.
    pub zone: Zone,
}

/// A team's share of the pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: TeamId,
    /// Its share in proportion to the other teams'.
    #[serde(default = "one")]
    pub weight: u32,
    /// The most that its running tasks may hold together; unlimited where missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Resources")]
    pub quota: Option<Resources>,
    /// Limits that are counted, not measured.
    #[serde(default)]
    pub limits: TeamLimits,
}

impl Default for Team {
    fn default() -> Self {
        Self {
            name: TeamId::new(""),
            weight: one(),
            quota: None,
            limits: TeamLimits::default(),
        }
    }
}

/// Limits of a team; each is unlimited where missing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct TeamLimits {
    /// Tasks that run at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "u32")]
    pub running_tasks: Option<u32>,
    /// Requests in progress at each entry VM for the whole team.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "u32")]
    pub requests_in_flight: Option<u32>,
    /// Requests in progress at each entry VM for each of its callers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "u32")]
    pub caller_requests_in_flight: Option<u32>,
}

/// What placement weighs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Policy {
    /// Name of the policy; `default` is the one in force.
    pub name: SmolStr,
    /// Weight of waiting time.
    #[serde(default = "one")]
    pub waiting_weight: u32,
    /// Weight of packing.
    #[serde(default = "one")]
    pub packing_weight: u32,
    /// What differs by class of work.
    #[serde(default)]
    pub classes: Vec<ClassPolicy>,
    /// What differs by kind of job.
    #[serde(default)]
    pub kinds: Vec<KindPolicy>,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            name: SmolStr::default(),
            waiting_weight: one(),
            packing_weight: one(),
            classes: Vec::new(),
            kinds: Vec::new(),
        }
    }
}

/// Policy of a class of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct ClassPolicy {
    /// The class.
    pub class: Class,
    /// Waiting time that the class should stay under.
    pub start_target_ms: u64,
}

/// Policy of a kind of job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct KindPolicy {
    /// The kind.
    pub kind: JobKind,
    /// How its tasks are laid out.
    pub layout: Layout,
}

/// How tasks are laid out over workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Layout {
    /// Fill workers that are in use first.
    #[default]
    Pack,
    /// Use as many racks as there are.
    Spread,
}

/// Exceptions on top of the inventory.
///
/// Each set has a name and a scope of its own; all sets in force count together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Rules {
    /// Name of the set.
    pub name: SmolStr,
    /// Why the set exists, for people.
    #[serde(default)]
    pub reason: SmolStr,
    /// Workers that get nothing new.
    #[serde(default)]
    pub exclude_workers: Vec<WorkerId>,
    /// Racks whose workers get nothing new.
    #[serde(default)]
    pub exclude_racks: Vec<RackId>,
    /// Workers that are used in part only.
    #[serde(default)]
    pub capacities: Vec<CapacityRule>,
    /// VMs to be emptied: worker or endpoint, it gets nothing new.
    #[serde(default)]
    pub drain_vms: Vec<SmolStr>,
}

/// A limit on what is used of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct CapacityRule {
    /// The worker.
    pub worker: WorkerId,
    /// The most to be used; never more than the inventory says.
    pub capacity: Resources,
}

const fn one() -> u32 {
    1
}
