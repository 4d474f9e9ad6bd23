//! Checks of a document's meaning, after its shape is known to be right.

use std::collections::HashSet;

use serde_json::Value;
use syc_types::JobSpec;
use syc_types::Resources;

use crate::Document;
use crate::Findings;
use crate::Inventory;
use crate::Policy;
use crate::Rules;
use crate::Team;
use crate::parse::Checked;
use crate::parse::check_address;
use crate::schema;

/// Reads and checks a document; `name` is what findings call the text.
///
/// # Errors
///
/// Fails with every finding, in the order of the text.
pub fn parse_document(name: &str, text: &str) -> Result<Document, Findings> {
    let mut checked = Checked::new(name, text);
    let value = checked.read_any()?;
    let kind = value.get("kind").and_then(Value::as_str);
    let document = match kind.unwrap_or_default() {
        "inventory" => {
            let inventory = checked.read::<Inventory>(&schema::inventory())?;
            check_inventory(&inventory, &mut checked);
            Document::Inventory(inventory)
        }
        "team" => {
            let team = checked.read::<Team>(&schema::team())?;
            check_team(&team, &mut checked);
            Document::Team(team)
        }
        "policy" => {
            let policy = checked.read::<Policy>(&schema::policy())?;
            check_policy(&policy, &mut checked);
            Document::Policy(policy)
        }
        "rules" => {
            let rules = checked.read::<Rules>(&schema::rules())?;
            check_rules(&rules, &mut checked);
            Document::Rules(rules)
        }
        _ => {
            let message = "must be \"inventory\", \"team\", \"policy\" or \"rules\"".to_owned();
            checked.add("kind", message);
            return Err(checked.take());
        }
    };
    checked.finish()?;
    Ok(document)
}

/// Reads and checks a job's declaration; `name` is what findings call the text.
///
/// # Errors
///
/// Fails with every finding, in the order of the text.
pub fn parse_job(name: &str, text: &str) -> Result<JobSpec, Findings> {
    let mut checked = Checked::new(name, text);
    let spec = checked.read::<JobSpec>(&schema::job())?;
    if spec.team.as_str().is_empty() {
        checked.add("team", "a job needs a team".to_owned());
    }
    if spec.tasks == 0 {
        checked.add("tasks", "must be at least 1".to_owned());
    }
    if spec.resources == Resources::ZERO {
        checked.add("resources", "a task must ask for something".to_owned());
    }
    checked.finish()?;
    Ok(spec)
}

fn check_name(name: &str, checked: &mut Checked<'_>) {
    if name.is_empty() {
        checked.add("name", "must not be empty".to_owned());
    }
    if name.contains('/') {
        checked.add("name", "must not contain `/`".to_owned());
    }
}

fn check_at_least_one(path: &str, amount: u32, checked: &mut Checked<'_>) {
    if amount == 0 {
        checked.add(path, "must be at least 1".to_owned());
    }
}

fn check_team(team: &Team, checked: &mut Checked<'_>) {
    check_name(team.name.as_str(), checked);
    check_at_least_one("weight", team.weight, checked);
    if team.quota == Some(Resources::ZERO) {
        let message = "a quota of nothing stops the team; leave it out for no quota".to_owned();
        checked.add("quota", message);
    }
    let limits = team.limits;
    let counted = [
        ("limits.running_tasks", limits.running_tasks),
        ("limits.requests_in_flight", limits.requests_in_flight),
        (
            "limits.caller_requests_in_flight",
            limits.caller_requests_in_flight,
        ),
    ];
    for (path, limit) in counted {
        check_at_least_one(path, limit.unwrap_or(1), checked);
    }
    if let (Some(team), Some(caller)) =
        (limits.requests_in_flight, limits.caller_requests_in_flight)
        && caller > team
    {
        let message = format!("{caller} for one caller is more than {team} for the whole team");
        checked.add("limits.caller_requests_in_flight", message);
    }
}

fn check_policy(policy: &Policy, checked: &mut Checked<'_>) {
    check_name(&policy.name, checked);
    if policy.waiting_weight == 0 && policy.packing_weight == 0 {
        let message = "one of `waiting_weight` and `packing_weight` must be above 0".to_owned();
        checked.add("waiting_weight", message);
    }
    let mut classes = HashSet::new();
    for (index, class) in policy.classes.iter().enumerate() {
        if !classes.insert(class.class) {
            let message = "this class is listed twice".to_owned();
            checked.add(&format!("classes.{index}.class"), message);
        }
    }
    let mut kinds = HashSet::new();
    for (index, kind) in policy.kinds.iter().enumerate() {
        if !kinds.insert(kind.kind) {
            let message = "this kind is listed twice".to_owned();
            checked.add(&format!("kinds.{index}.kind"), message);
        }
    }
}

fn check_rules(rules: &Rules, checked: &mut Checked<'_>) {
    check_name(&rules.name, checked);
    let mut workers = HashSet::new();
    for (index, rule) in rules.capacities.iter().enumerate() {
        if !workers.insert(rule.worker.as_str()) {
            let message = format!("`{}` is listed twice", rule.worker);
            checked.add(&format!("capacities.{index}.worker"), message);
        }
    }
}

fn check_inventory(inventory: &Inventory, checked: &mut Checked<'_>) {
    check_name(&inventory.name, checked);
    let mut names = HashSet::new();
    for (index, worker) in inventory.workers.iter().enumerate() {
        let path = format!("workers.{index}");
        check_unique(
            &format!("{path}.id"),
            worker.id.as_str(),
            &mut names,
            checked,
        );
        if worker.capacity == Resources::ZERO {
            let message = "a worker must have something".to_owned();
            checked.add(&format!("{path}.capacity"), message);
        }
        check_address(&format!("{path}.address"), &worker.address, checked);
    }
    let mut services = HashSet::new();
    for (index, service) in inventory.services.iter().enumerate() {
        let path = format!("services.{index}");
        let name = service.name.as_str();
        check_unique(&format!("{path}.name"), name, &mut services, checked);
        check_at_least_one(&format!("{path}.slots"), service.slots, checked);
        for (place, endpoint) in service.endpoints.iter().enumerate() {
            let path = format!("{path}.endpoints.{place}");
            let id = endpoint.id.as_str();
            check_unique(&format!("{path}.id"), id, &mut names, checked);
            check_address(&format!("{path}.address"), &endpoint.address, checked);
        }
    }
}

fn check_unique<'t>(
    path: &str,
    name: &'t str,
    names: &mut HashSet<&'t str>,
    checked: &mut Checked<'_>,
) {
    if name.is_empty() {
        checked.add(path, "must not be empty".to_owned());
    }
    if !names.insert(name) {
        checked.add(path, format!("`{name}` is listed twice"));
    }
}
