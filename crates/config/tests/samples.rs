//! The sample files are right, and agree with each other.

use std::path::PathBuf;

use syc_config::Document;
use syc_config::effective_inventory;
use syc_config::import_register;
use syc_config::parse_document;
use syc_config::parse_job;
use syc_config::parse_settings;
use test_case::test_case;

fn read(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples");
    std::fs::read_to_string(path.join(file)).expect(file)
}

fn document(file: &str) -> Document {
    match parse_document(file, &read(file)) {
        Ok(document) => document,
        Err(findings) => panic!("{:?}", findings.list()),
    }
}

#[test_case("derwent/inventory.json", "inventory/register")]
#[test_case("derwent/team-freight.json", "team/freight")]
#[test_case("derwent/team-counters.json", "team/counters")]
#[test_case("derwent/policy.json", "policy/default")]
#[test_case("derwent/rules.json", "rules/old-machines")]
#[test_case("forages/inventory.json", "inventory/register")]
#[test_case("forages/team-drilling.json", "team/drilling")]
#[test_case("forages/team-audit.json", "team/audit")]
#[test_case("forages/policy.json", "policy/default")]
fn a_sample_document_is_right(file: &str, scope: &str) {
    assert_eq!(document(file).scope(), scope);
}

#[test_case("derwent/job-consignment.json")]
#[test_case("forages/job-reconstruction.json")]
fn a_sample_job_is_right(file: &str) {
    parse_job(file, &read(file)).expect("no findings");
}

#[test]
fn sample_settings_are_right() {
    let file = "derwent/settings.json";
    parse_settings(file, &read(file)).expect("no findings");
}

#[test_case("derwent")]
#[test_case("forages")]
fn the_register_gives_the_workers_of_the_inventory(user: &str) {
    let file = format!("{user}/register.csv");
    let imported = import_register(&file, &read(&file), "register").expect("no findings");
    let Document::Inventory(inventory) = document(&format!("{user}/inventory.json")) else {
        panic!("no inventory");
    };
    assert_eq!(imported.workers, inventory.workers);
}

#[test]
fn rules_take_racks_and_vms_out_and_lower_capacities() {
    let documents = [
        document("derwent/inventory.json"),
        document("derwent/rules.json"),
    ];
    let effective = effective_inventory(&documents);
    // Rack 7 holds the last two workers, and one more is drained.
    assert_eq!(effective.workers.len(), 47);
    assert_eq!(effective.workers[0].capacity.cpu_millis, 16_000);
    assert_eq!(effective.services[0].endpoints.len(), 50);
}
