//! Configuration documents, one per scope, so that teams do not collide.

use std::collections::HashSet;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_types::EndpointId;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::TeamId;
use syc_types::WorkerId;
use syc_types::Zone;

use crate::Findings;
use crate::parse::Checked;
use crate::parse::check_address;

const FIELDS: &[&str] = &[
    "kind",
    "name",
    "workers",
    "services",
    "id",
    "address",
    "zone",
    "rack",
    "capacity",
    "cpu_millis",
    "memory_bytes",
    "accelerators",
    "slots",
    "endpoints",
    "weight",
    "quota",
    "waiting_weight",
    "packing_weight",
];

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
}

impl Document {
    /// Returns the scope that the document is the whole content of.
    #[must_use]
    pub fn scope(&self) -> SmolStr {
        match self {
            Self::Inventory(inventory) => format_smolstr!("inventory/{}", inventory.name),
            Self::Team(team) => format_smolstr!("team/{}", team.name),
            Self::Policy(policy) => format_smolstr!("policy/{}", policy.name),
        }
    }
}

/// Workers and services, as an asset register lists them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDoc {
    /// Name of the service.
    pub name: ServiceName,
    /// Requests that each endpoint works on at once.
    pub slots: u32,
    /// Its instances.
    pub endpoints: Vec<EndpointDoc>,
}

/// An instance of a service in the inventory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointDoc {
    /// Name of the endpoint and its VM.
    pub id: EndpointId,
    /// Where it takes requests, `ip:port`.
    pub address: SmolStr,
    /// Its availability zone.
    pub zone: Zone,
}

/// A team's share of the pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: TeamId,
    /// Its share in proportion to the other teams'.
    #[serde(default = "one")]
    pub weight: u32,
    /// The most that its running tasks may hold together; unlimited where missing.
    #[serde(default)]
    pub quota: Option<Resources>,
}

/// What placement weighs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Name of the policy; `default` is the one in force.
    pub name: SmolStr,
    /// Weight of waiting time.
    #[serde(default = "one")]
    pub waiting_weight: u32,
    /// Weight of packing.
    #[serde(default = "one")]
    pub packing_weight: u32,
}

const fn one() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Inventory,
    Team,
    Policy,
}

#[derive(Deserialize)]
struct Head {
    kind: Kind,
}

/// Reads and checks a document; `name` is what findings call the text.
///
/// # Errors
///
/// Fails with every finding, in the order of the text.
pub fn parse_document(name: &str, text: &str) -> Result<Document, Findings> {
    let head = Checked::new(name, text).read_part::<Head>()?;
    let mut checked = Checked::new(name, text);
    let document = match head.kind {
        Kind::Inventory => {
            let inventory = checked.read::<Inventory>(FIELDS)?;
            check_inventory(&inventory, &mut checked);
            Document::Inventory(inventory)
        }
        Kind::Team => {
            let team = checked.read::<Team>(FIELDS)?;
            check_name(team.name.as_str(), &mut checked);
            check_weight("weight", team.weight, &mut checked);
            Document::Team(team)
        }
        Kind::Policy => {
            let policy = checked.read::<Policy>(FIELDS)?;
            check_name(&policy.name, &mut checked);
            Document::Policy(policy)
        }
    };
    checked.finish()?;
    Ok(document)
}

fn check_name(name: &str, checked: &mut Checked<'_>) {
    if name.is_empty() {
        checked.add("name", "must not be empty".to_owned());
    }
}

fn check_weight(path: &str, weight: u32, checked: &mut Checked<'_>) {
    if weight == 0 {
        checked.add(path, "must be at least 1".to_owned());
    }
}

fn check_inventory(inventory: &Inventory, checked: &mut Checked<'_>) {
    check_name(&inventory.name, checked);
    let mut names = HashSet::new();
    for (index, worker) in inventory.workers.iter().enumerate() {
        let path = format!("workers.{index}");
        if !names.insert(worker.id.as_str()) {
            let message = format!("`{}` is listed twice", worker.id);
            checked.add(&format!("{path}.id"), message);
        }
        if worker.capacity == Resources::ZERO {
            let message = "a worker must have something".to_owned();
            checked.add(&format!("{path}.capacity"), message);
        }
        check_address(&format!("{path}.address"), &worker.address, checked);
    }
    for (index, service) in inventory.services.iter().enumerate() {
        let path = format!("services.{index}");
        check_weight(&format!("{path}.slots"), service.slots, checked);
        for (place, endpoint) in service.endpoints.iter().enumerate() {
            let path = format!("{path}.endpoints.{place}");
            if !names.insert(endpoint.id.as_str()) {
                let message = format!("`{}` is listed twice", endpoint.id);
                checked.add(&format!("{path}.id"), message);
            }
            check_address(&format!("{path}.address"), &endpoint.address, checked);
        }
    }
}
