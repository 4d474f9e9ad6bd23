//! Publishing, comparing, and reading what was changed.

use serde_json::Value;
use syc_standin::LogFaults;

use crate::bed::Bed;
use crate::bed::TOKEN;
use crate::bed::file;
use crate::bed::syc;

fn team(name: &str, weight: u32) -> String {
    let text = format!("{{\"kind\": \"team\", \"name\": \"freight\", \"weight\": {weight}}}");
    file(name, &text)
}

#[actix_rt::test]
async fn publishing_reads_the_revision_and_says_which_is_in_force() {
    let bed = Bed::start(1).await;
    let path = team("p1.json", 2);
    let run = bed.operate(&["publish", &path]).await;
    let expected = "published team/freight: revision 1 is in force (was 0)\n";
    assert_eq!(
        (run.code, run.stdout.as_str()),
        (0, expected),
        "{}",
        run.stderr
    );
    let run = bed.operate(&["publish", &path, "--json"]).await;
    let value: Value = serde_json::from_str(&run.stdout).expect("JSON");
    assert_eq!((&value["from"], &value["to"]), (&1.into(), &2.into()));
}

#[actix_rt::test]
async fn a_publication_that_comes_second_ends_with_5_and_the_next_step() {
    let bed = Bed::start(1).await;
    let run = bed
        .operate(&["publish", &team("r1.json", 2), "--base", "0"])
        .await;
    assert_eq!(run.code, 0, "{}", run.stderr);
    let run = bed
        .operate(&["publish", &team("r2.json", 3), "--base", "0"])
        .await;
    assert_eq!(run.code, 5, "{}", run.stderr);
    assert!(run.stderr.contains("syc diff"), "{}", run.stderr);
    let run = bed.operate(&["history", "team/freight"]).await;
    let lines: Vec<_> = run.stdout.lines().collect();
    assert!(lines[1].contains("refused: revision 1 was in force, not 0"));
    assert!(lines[2].contains("0 -> 1") && lines[2].contains("ana"));
}

#[actix_rt::test]
async fn a_wrong_token_is_refused_and_a_missing_one_is_not_sent() {
    let bed = Bed::start(1).await;
    let (path, control) = (team("t1.json", 2), bed.control());
    let run = syc(&["publish", &path, "--control", &control, "--token", "bad"]).await;
    assert_eq!(run.code, 1, "{}", run.stderr);
    assert!(run.stderr.contains("SYC_CONTROL_TOKEN"), "{}", run.stderr);
    let run = syc(&["publish", &path, "--control", &control]).await;
    assert_eq!(run.code, 2, "{}", run.stderr);
    let run = bed.operate(&["config"]).await;
    assert_eq!(run.stdout, "no documents\n");
}

#[actix_rt::test]
async fn an_address_that_does_not_answer_is_passed_over() {
    let bed = Bed::start(1).await;
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("socket");
    let address = closed.local_addr().expect("address").to_string();
    drop(closed);
    let control = format!("{address},{}", bed.control());
    let path = team("a1.json", 2);
    let run = syc(&["publish", &path, "--control", &control, "--token", TOKEN]).await;
    assert_eq!(run.code, 0, "{}", run.stderr);
    let run = syc(&["status", "--control", &control]).await;
    assert!(run.stdout.contains("does not answer"), "{}", run.stdout);
}

#[actix_rt::test]
async fn a_diff_shows_what_would_change() {
    let bed = Bed::start(1).await;
    let path = team("d1.json", 2);
    assert_eq!(bed.operate(&["publish", &path]).await.code, 0);
    let run = bed.operate(&["diff", &path]).await;
    assert_eq!(run.stdout, "team/freight: no difference to revision 1\n");
    let run = bed.operate(&["diff", &team("d2.json", 3)]).await;
    assert!(run.stdout.contains("-  \"weight\": 2"), "{}", run.stdout);
    assert!(run.stdout.contains("+  \"weight\": 3"), "{}", run.stdout);
}

#[actix_rt::test]
async fn the_status_shows_members_and_owners() {
    let bed = Bed::start(2).await;
    bed.configure("status.json").await;
    let run = bed.operate(&["status"]).await;
    assert_eq!(run.code, 0, "{}", run.stderr);
    for part in ["entry-0", "entry-1", "rack-0", "rack-1", "LOG LAG"] {
        assert!(run.stdout.contains(part), "no {part} in {}", run.stdout);
    }
    let run = bed.operate(&["status", "--json"]).await;
    let value: Value = serde_json::from_str(&run.stdout).expect("JSON");
    assert_eq!(value.as_array().map(Vec::len), Some(2));
    assert_eq!(value[0]["status"]["caught_up"], true);
}

#[actix_rt::test]
async fn while_the_log_is_out_nothing_is_published_and_the_tool_says_so() {
    let bed = Bed::start(1).await;
    bed.cell.log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    let path = team("o1.json", 2);
    let run = bed.operate(&["publish", &path, "--timeout", "1"]).await;
    assert_eq!(run.code, 6, "{}", run.stderr);
    assert!(run.stderr.contains("nothing was done"), "{}", run.stderr);
    bed.cell.log.set_faults(LogFaults::default());
    let run = bed.operate(&["publish", &path]).await;
    let expected = "published team/freight: revision 1 is in force (was 0)\n";
    assert_eq!(run.stdout, expected, "{}", run.stderr);
}

#[actix_rt::test]
async fn a_publication_whose_answer_the_log_lost_is_published_once() {
    let bed = Bed::start(2).await;
    bed.cell.log.set_faults(LogFaults {
        lose_answers: 1,
        ..LogFaults::default()
    });
    let run = bed.operate(&["publish", &team("l1.json", 2)]).await;
    let expected = "published team/freight: revision 1 is in force (was 0)\n";
    assert_eq!(run.stdout, expected, "{}", run.stderr);
    let run = bed.operate(&["history", "team/freight", "--json"]).await;
    let history: Value = serde_json::from_str(&run.stdout).expect("JSON");
    assert_eq!(history.as_array().map(Vec::len), Some(1), "{history}");
}

#[actix_rt::test]
async fn a_rule_for_an_unknown_worker_is_published_with_a_note() {
    let bed = Bed::start(1).await;
    bed.configure("rules-inventory.json").await;
    let path = file(
        "rules.json",
        "{\"kind\": \"rules\", \"name\": \"x\", \"drain_vms\": [\"worker-0\", \"worker-9\"]}",
    );
    let run = bed.operate(&["publish", &path]).await;
    let expected = "note: `worker-9` is in no inventory that is in force\n";
    assert_eq!((run.code, run.stderr.as_str()), (0, expected));
}
