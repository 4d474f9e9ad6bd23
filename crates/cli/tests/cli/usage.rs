//! The command line itself: help, wrong words, exit codes.

use test_case::test_case;

use crate::bed::syc;

/// Every command of the tool.
const COMMANDS: [&str; 14] = [
    "audit", "cancel", "check", "config", "diff", "drain", "explain", "history", "import",
    "publish", "result", "status", "story", "submit",
];

#[actix_rt::test]
async fn every_command_is_listed_and_has_help() {
    let overview = syc(&["help"]).await;
    assert_eq!(overview.code, 0);
    for command in COMMANDS {
        assert!(overview.stdout.contains(&format!("\n  {command} ")));
        let help = syc(&["help", command]).await;
        assert_eq!(help.code, 0);
        assert!(help.stdout.starts_with(&format!("Usage: syc {command}")));
        let same = syc(&[command, "--help"]).await;
        assert_eq!(same.stdout, help.stdout);
    }
}

#[test_case(&[]; "no command")]
#[test_case(&["publsh", "x"]; "unknown command")]
#[test_case(&["help", "publsh"]; "help for an unknown command")]
#[test_case(&["publish"]; "no operand")]
#[test_case(&["status", "x"]; "an operand too many")]
#[test_case(&["check", "x", "y"]; "two operands too many")]
#[test_case(&["status", "--colour"]; "unknown option")]
#[test_case(&["publish", "x", "--base", "one"]; "no number")]
#[test_case(&["status"]; "no address")]
#[test_case(&["history", "freight", "--control", "127.0.0.1:1"]; "no scope")]
#[test_case(&["result", "7", "--callers", "127.0.0.1:1"]; "no job id")]
#[test_case(&["drain", "--control", "127.0.0.1:1,127.0.0.1:2"]; "two daemons to drain")]
#[actix_rt::test]
async fn a_wrong_command_line_ends_with_2_and_prints_no_result(arguments: &[&str]) {
    let run = syc(arguments).await;
    assert_eq!(run.code, 2, "{}", run.stderr);
    assert!(run.stdout.is_empty(), "{}", run.stdout);
    assert!(!run.stderr.is_empty());
}

#[actix_rt::test]
async fn with_no_daemon_there_the_exit_code_is_6() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("socket");
    let address = closed.local_addr().expect("address").to_string();
    drop(closed);
    let run = syc(&["status", "--control", &address]).await;
    assert_eq!(run.code, 6, "{}", run.stderr);
    assert!(run.stderr.contains("nothing was done"), "{}", run.stderr);
    let json = syc(&["status", "--control", &address, "--json"]).await;
    let failure: serde_json::Value = serde_json::from_str(&json.stdout).expect("JSON");
    assert_eq!((json.code, &failure["exit"]), (6, &serde_json::json!(6)));
}
