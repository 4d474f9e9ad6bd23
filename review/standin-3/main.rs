//! Runs a case of the review: `standin CASE DIRECTORY RECORD TROUBLE`.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.

mod cell;
mod flapping;
mod http;
mod json;
mod judge;
mod links;
mod many;
mod minion;
mod proxy;
mod reborn;
mod record;
mod store;
mod weekly;

use std::process::exit;
use std::time::Duration;

/// A case ends by itself after this time.
const TIME_LIMIT: Duration = Duration::from_secs(116);

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, directory, record, trouble] = arguments.as_slice() else {
        eprintln!("usage: standin CASE DIRECTORY RECORD TROUBLE");
        exit(2);
    };
    let record = record::Record::new(record);
    let limited = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        limited.line("the case couldn't run: it took too long");
        exit(2);
    });
    let has_trouble = trouble != "0";
    let outcome = match case.as_str() {
        "links" => links::run(directory, &record, has_trouble),
        "many" => many::run(directory, &record, has_trouble),
        "flapping" => flapping::run(directory, &record, has_trouble),
        "reborn" => reborn::run(directory, &record, has_trouble),
        "weekly" => weekly::run(directory, &record, has_trouble),
        _ => Err("there is no such case".to_owned()),
    };
    let code = match outcome {
        Ok(None) => {
            record.line("the rule held");
            println!("the rule held");
            0
        }
        Ok(Some(broken)) => {
            record.line(&format!("the rule was broken: {broken}"));
            println!("the rule was broken: {broken}");
            1
        }
        Err(reason) => {
            record.line(&format!("the case couldn't run: {reason}"));
            println!("the case couldn't run: {reason}");
            2
        }
    };
    exit(code);
}
