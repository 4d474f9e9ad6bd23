//! Commands that read files and send nothing.

use serde_json::Value;

use crate::bed::file;
use crate::bed::syc;

fn sample(name: &str) -> String {
    format!("{}/../../samples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[actix_rt::test]
async fn a_sample_has_no_findings() {
    let run = syc(&["check", &sample("derwent/team-freight.json")]).await;
    assert_eq!(
        (run.code, run.stdout.as_str()),
        (0, "team/freight: no findings\n")
    );
    let run = syc(&["check", &sample("forages/job-reconstruction.json")]).await;
    assert_eq!(
        (run.code, run.stdout.as_str()),
        (0, "job temperature-log: no findings\n")
    );
}

#[actix_rt::test]
async fn every_finding_is_shown_with_its_place() {
    let path = file(
        "findings.json",
        "{\n  \"kind\": \"team\",\n  \"name\": \"\",\n  \"weihgt\": 3,\n  \"weight\": 0\n}",
    );
    let run = syc(&["check", &path]).await;
    assert_eq!(run.code, 3);
    for part in [
        "3 finding(s)",
        "must not be empty",
        "did you mean `weight`?",
        "must be at least 1",
    ] {
        assert!(run.stderr.contains(part), "no {part} in {}", run.stderr);
    }
    let run = syc(&["check", &path, "--json"]).await;
    let failure: Value = serde_json::from_str(&run.stdout).expect("JSON");
    let findings = failure["findings"].as_array().expect("findings");
    let places: Vec<_> = findings
        .iter()
        .map(|finding| finding["line"].as_u64())
        .collect();
    assert_eq!((run.code, places), (3, vec![Some(3), Some(4), Some(5)]));
}

#[actix_rt::test]
async fn a_file_that_is_not_there_is_named() {
    let run = syc(&["check", "no-such-file.json"]).await;
    assert_eq!(run.code, 3);
    assert!(run.stderr.contains("no-such-file.json"));
}

#[actix_rt::test]
async fn an_import_prints_a_document_that_has_no_findings() {
    let run = syc(&[
        "import",
        &sample("derwent/register.csv"),
        "--part",
        "hall-1",
    ])
    .await;
    assert_eq!(run.code, 0, "{}", run.stderr);
    let path = file("imported.json", &run.stdout);
    let run = syc(&["check", &path]).await;
    assert_eq!(
        run.stdout, "inventory/hall-1: no findings\n",
        "{}",
        run.stderr
    );
}

#[actix_rt::test]
async fn an_import_shows_findings_with_line_and_column() {
    let path = file(
        "register.csv",
        "id,address,zone,rack,cpu_millis,memory_bytes\nw,10.0.0.1:1,a,r,many,1\n",
    );
    let run = syc(&["import", &path, "--json"]).await;
    let failure: Value = serde_json::from_str(&run.stdout).expect("JSON");
    assert_eq!(run.code, 3);
    assert_eq!(failure["findings"][0]["line"], 2);
    assert_eq!(failure["findings"][0]["path"], "cpu_millis");
}
