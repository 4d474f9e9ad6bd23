//! `sycamorespurd` as a process: its command line, its log, and a planned stop by an operator.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use awc::Client;
use syc_standin::Cell;
use syc_standin::CellOptions;
use test_case::test_case;

const TOKEN: &str = "binary";

fn daemon() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sycamorespurd"));
    command.env_remove("SYC_LOG");
    command
}

fn file(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("file");
    path.display().to_string()
}

fn settings(log: &str, vms: &str) -> String {
    let any = "127.0.0.1:0";
    let value = serde_json::json!({
        "name": "entry-0",
        "zone": "a",
        "listen": {"callers": any, "peers": any, "control": any},
        "platform": {"log": log, "vms": vms},
        "timing": {"drain_notice_ms": 10},
        "control_token": TOKEN,
    });
    value.to_string()
}

fn run(arguments: &[&str]) -> Output {
    daemon().args(arguments).output().expect("sycamorespurd")
}

#[test_case(&["--help"], 0)]
#[test_case(&["--version"], 0)]
#[test_case(&[], 2; "no settings")]
#[test_case(&["--sittings", "x"], 2; "unknown option")]
#[test_case(&["--settings", "no-such-file.json"], 3; "no file")]
fn the_exit_code_says_what_is_wrong(arguments: &[&str], code: i32) {
    assert_eq!(run(arguments).status.code(), Some(code));
}

#[test]
fn checking_shows_all_findings_and_starts_nothing() {
    let good = file("good.json", &settings("127.0.0.1:1", "127.0.0.1:2"));
    assert_eq!(
        run(&["--settings", &good, "--check"]).status.code(),
        Some(0)
    );
    let text = settings("nowhere", "127.0.0.1:2").replace("\"zone\"", "\"zoen\"");
    let bad = file("bad.json", &text);
    let checked = run(&["--settings", &bad, "--check"]);
    assert_eq!(checked.status.code(), Some(3));
    let stderr = String::from_utf8_lossy(&checked.stderr);
    assert!(stderr.contains("did you mean `zone`?"), "{stderr}");
    assert!(stderr.contains("`nowhere` is not an address"), "{stderr}");
}

#[actix_rt::test]
async fn a_drain_ends_the_process_with_0_and_events_go_to_stderr() {
    let cell = Cell::start(CellOptions {
        entry_vms: 1,
        ..CellOptions::default()
    });
    let cell = cell.expect("stand-ins");
    let text = settings(cell.log.address(), cell.vms.address());
    let path = file("drain.json", &text);
    let child = daemon()
        .args(["--settings", &path])
        .stderr(Stdio::piped())
        .spawn();
    let mut child = child.expect("sycamorespurd");
    let mut stderr = BufReader::new(child.stderr.take().expect("stderr"));
    let first = tokio::task::spawn_blocking(move || {
        let mut line = String::new();
        while !line.contains("SYC0100") {
            line.clear();
            assert_ne!(stderr.read_line(&mut line).expect("line"), 0, "it ended");
        }
        (line, stderr)
    });
    let (line, mut stderr) = first.await.expect("thread");
    let control = line.trim().rsplit("control=").next().expect("an address");
    let request = Client::default().post(format!("http://{control}/v1/drain"));
    let request = request.insert_header((syc_api::TOKEN_HEADER, TOKEN));
    let body = serde_json::json!({"actor": "ana"});
    let answer = request.send_json(&body).await.expect("answer");
    assert_eq!(answer.status(), 202);
    let ended = tokio::task::spawn_blocking(move || {
        let mut rest = String::new();
        std::io::Read::read_to_string(&mut stderr, &mut rest).expect("text");
        (child.wait().expect("status"), rest)
    });
    let (status, rest) = ended.await.expect("thread");
    assert_eq!(status.code(), Some(0), "{rest}");
    assert!(
        rest.contains("SYC0104") && rest.contains("SYC0102"),
        "{rest}"
    );
}
