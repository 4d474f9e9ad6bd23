//! Documents, jobs and registers: all findings come at once, each with its place.

use syc_config::CapacityRule;
use syc_config::Document;
use syc_config::Findings;
use syc_config::Inventory;
use syc_config::Rules;
use syc_config::WorkerDoc;
use syc_config::effective_inventory;
use syc_config::import_register;
use syc_config::parse_document;
use syc_config::parse_job;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::WorkerId;
use syc_types::Zone;
use test_case::test_case;

fn lines(findings: &Findings) -> Vec<String> {
    findings.list().iter().map(ToString::to_string).collect()
}

#[test]
fn every_fault_of_shape_is_found_at_once() {
    let text = r#"{
  "kind": "inventory",
  "version": 2,
  "name": 7,
  "wrokers": [],
  "workers": [
    {"id": "w1", "address": "10.0.0.1:1", "zone": "a", "rack": "r",
     "capacity": {"cpu_millis": "four", "memory_bytes": -1}},
    {"id": "w2", "address": "10.0.0.2:1", "zone": "a",
     "capacity": {"cpu_millis": 1, "memory_bytes": 1}}
  ]
}"#;
    let findings = parse_document("bad.json", text).expect_err("findings");
    assert_eq!(
        lines(&findings),
        [
            "3:3: version: 1 was expected",
            "4:3: name: 7 is not of type \"string\"",
            "5:3: wrokers: unknown field `wrokers`; did you mean `workers`?",
            "8:19: workers.0.capacity.cpu_millis: \"four\" is not of type \"integer\"",
            "8:41: workers.0.capacity.memory_bytes: -1 is less than the minimum of 0",
            "9:5: workers.1.rack: is missing",
        ]
    );
}

#[test]
fn every_fault_of_meaning_is_found_at_once() {
    let text = r#"{
  "kind": "inventory",
  "name": "a/b",
  "workers": [
    {"id": "w1", "address": "nowhere", "zone": "a", "rack": "r",
     "capacity": {"cpu_millis": 0, "memory_bytes": 0}},
    {"id": "w1", "address": "10.0.0.2:1", "zone": "a", "rack": "r",
     "capacity": {"cpu_millis": 1, "memory_bytes": 1}}
  ]
}"#;
    let findings = parse_document("bad.json", text).expect_err("findings");
    assert_eq!(
        lines(&findings),
        [
            "3:3: name: must not contain `/`",
            "5:18: workers.0.address: `nowhere` is not an address `ip:port`",
            "6:6: workers.0.capacity: a worker must have something",
            "7:6: workers.1.id: `w1` is listed twice",
        ]
    );
}

#[test_case(r#"{"name": "x"}"#, "kind"; "no kind")]
#[test_case(r#"{"kind": "temm", "name": "x"}"#, "kind"; "another kind")]
#[test_case(r#"{"kind": "team"}"#, "name"; "no name")]
#[test_case(r#"{"kind": "team", "name": "t", "weight": 0}"#, "weight"; "no weight")]
#[test_case(r#"{"kind": "team", "name": "t", "limits": {"running_tasks": 0}}"#,
    "limits.running_tasks"; "a limit of nothing")]
#[test_case(r#"{"kind": "team", "name": "t",
    "limits": {"requests_in_flight": 1, "caller_requests_in_flight": 2}}"#,
    "limits.caller_requests_in_flight"; "a caller above its team")]
#[test_case(r#"{"kind": "policy", "name": "p", "waiting_weight": 0, "packing_weight": 0}"#,
    "waiting_weight"; "no weight at all")]
#[test_case(r#"{"kind": "policy", "name": "p", "classes": [
    {"class": "urgent", "start_target_ms": 1}, {"class": "urgent", "start_target_ms": 2}]}"#,
    "classes.1.class"; "a class twice")]
#[test_case(r#"{"kind": "team", "name": "t", "weight": 4294967296}"#, "weight"; "too large")]
#[test_case(r#"{"kind": "team", "name": "t",
    "quota": {"cpu_millis": "many", "memory_bytes": 1}}"#,
    "quota.cpu_millis"; "a fault within an optional field")]
#[test_case("{", ""; "no JSON")]
fn a_fault_is_named_by_its_path(text: &str, path: &str) {
    let findings = parse_document("bad.json", text).expect_err("findings");
    assert_eq!(findings.list().len(), 1, "{:?}", findings.list());
    assert_eq!(findings.list()[0].path, path);
}

#[test]
fn a_record_of_a_newer_version_stays_readable() {
    let text = r#"{"kind": "team", "name": "t", "colour": "red", "quota":
        {"cpu_millis": 1, "memory_bytes": 1, "tape_drives": 1}}"#;
    let read = serde_json::from_str::<Document>(text);
    assert_eq!(read.expect("a document").scope(), "team/t");
}

#[test]
fn missing_fields_have_defaults() {
    let document = parse_document("t.json", r#"{"kind": "team", "name": "t"}"#);
    let Ok(Document::Team(team)) = document else {
        panic!("no team");
    };
    assert_eq!((team.weight, team.quota), (1, None));
}

#[test]
fn a_job_has_findings_like_a_document() {
    let text = r#"{"taem": "t", "kind": "bacth", "tasks": 0}"#;
    let findings = parse_job("job.json", text).expect_err("findings");
    let paths: Vec<_> = findings.list().iter().map(|f| f.path.as_str()).collect();
    assert_eq!(paths, ["taem", "kind"]);
}

#[test]
fn a_register_has_findings_per_row_and_column() {
    let text = "\
id,rack,zone,address,memory_bytes,cpu_millis,accelerators
w1,r,a,10.0.0.1:1,1024,four,0
w1,r,a,nowhere,1024,1000,
w2,,a,10.0.0.2:1,1024,1000,-1
w3,r,a
w4,r,a,10.0.0.4:1,1024,1000,1
";
    let findings = import_register("register.csv", text, "part").expect_err("findings");
    let found: Vec<_> = findings
        .list()
        .iter()
        .map(|finding| (finding.line, finding.path.as_str()))
        .collect();
    let expected = [
        (2, "cpu_millis"),
        (3, "address"),
        (3, "id"),
        (4, "rack"),
        (4, "accelerators"),
        (5, "row"),
    ];
    assert_eq!(found, expected);
}

#[test]
fn a_register_without_a_column_names_it() {
    let findings = import_register("register.csv", "id,rack\n", "part").expect_err("findings");
    let paths: Vec<_> = findings.list().iter().map(|f| f.path.as_str()).collect();
    assert_eq!(paths, ["address", "zone", "cpu_millis", "memory_bytes"]);
}

fn worker(id: &str, cpu_millis: u64) -> WorkerDoc {
    WorkerDoc {
        id: WorkerId::new(id),
        address: "10.0.0.1:1".into(),
        zone: Zone::new("a"),
        rack: RackId::new("r"),
        capacity: Resources {
            cpu_millis,
            ..Resources::ZERO
        },
    }
}

#[test]
fn rules_of_several_sets_add_up_and_never_raise_a_capacity() {
    let inventory = Document::Inventory(Inventory {
        name: "part".into(),
        workers: vec![worker("w1", 10), worker("w2", 10), worker("w3", 10)],
        ..Inventory::default()
    });
    let limit = |name: &str, cpu_millis| {
        let capacity = CapacityRule {
            worker: WorkerId::new("w1"),
            capacity: Resources {
                cpu_millis,
                ..Resources::ZERO
            },
        };
        Document::Rules(Rules {
            name: name.into(),
            capacities: vec![capacity],
            ..Rules::default()
        })
    };
    let drain = Document::Rules(Rules {
        name: "drain".into(),
        drain_vms: vec!["w2".into()],
        ..Rules::default()
    });
    let documents = [limit("one", 4), inventory, drain, limit("two", 40)];
    let effective = effective_inventory(&documents);
    assert_eq!(effective.workers, [worker("w1", 4), worker("w3", 10)]);
}
