//! Settings: every finding, with its place, at once.

use syc_config::parse_settings;

const GOOD: &str = r#"{
  "name": "entry-1",
  "zone": "a",
  "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "control": "127.0.0.1:3"},
  "platform": {"log": "127.0.0.1:4", "vms": "127.0.0.1:5"}
}"#;

#[test]
fn good_settings_have_no_findings() {
    let settings = parse_settings("good.json", GOOD).expect("no findings");
    assert_eq!(settings.name, "entry-1");
}

#[test]
fn all_findings_come_together_with_their_places() {
    let text = GOOD
        .replace("127.0.0.1:4", "nowhere")
        .replace("\"zone\"", "\"zoen\"");
    let findings = parse_settings("bad.json", &text).expect_err("findings");
    let lines: Vec<_> = findings.list().iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "1:1: zone: the availability zone is missing",
            "3:3: zoen: unknown field `zoen`; did you mean `zone`?",
            "5:16: platform.log: `nowhere` is not an address `ip:port`",
        ]
    );
}

#[test]
fn a_wrong_type_is_a_finding_with_its_place() {
    let text = GOOD.replace("\"entry-1\"", "7");
    let findings = parse_settings("bad.json", &text).expect_err("findings");
    let first = &findings.list()[0];
    assert_eq!((first.path.as_str(), first.line), ("name", 2));
}

#[test]
fn a_lease_of_authority_must_outlast_two_heartbeats() {
    let timing = r#""zone": "a", "timing": {"heartbeat_ms": 1500, "suspect_ms": 2000},"#;
    let text = GOOD.replace("\"zone\": \"a\",", timing);
    let findings = parse_settings("bad.json", &text).expect_err("findings");
    let paths: Vec<_> = findings.list().iter().map(|f| f.path.as_str()).collect();
    assert_eq!(paths, ["timing.authority_ms", "timing.suspect_ms"]);
}
