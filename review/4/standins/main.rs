//! Stand-ins of the platform's store, of minions and of clients, and the cases that use them.
//!
//! Standard library only. Everything listens on loopback addresses with free ports.
//!
//! usage: standins CASE REPOSITORY RECORD FOLDER (the disruption is left out where TROUBLE=0)

mod cases;
mod http;
mod journal;
mod ledger;
mod minion;
mod store;
mod world;

use std::fs::File;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use journal::Journal;
use world::World;

/// The case couldn't be run.
const EXIT_NOT_RUN: i32 = 2;

/// No run takes longer.
const LIMIT: Duration = Duration::from_secs(115);

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, repository, record, folder] = &arguments[..] else {
        eprintln!("usage: standins CASE REPOSITORY RECORD FOLDER");
        std::process::exit(EXIT_NOT_RUN);
    };
    let Some(case) = cases::find(name) else {
        eprintln!("there is no case `{name}`");
        std::process::exit(EXIT_NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let file = File::create(record).expect("the record can be written");
    let journal = Arc::new(Journal { began: Instant::now(), file: Mutex::new(file) });
    thread::spawn(|| {
        thread::sleep(LIMIT);
        println!("it takes too long");
        std::process::exit(EXIT_NOT_RUN);
    });
    let mut world = World::new(&case.size, repository, Arc::clone(&journal), folder);
    for node in 0..world.nodes.len() {
        world.start_node(node);
    }
    let code = if world.await_ready() {
        thread::sleep(ms(3_000));
        (case.run)(&mut world, trouble)
    } else {
        journal.say("the nodes don't become ready");
        EXIT_NOT_RUN
    };
    world.end();
    journal.say(match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case couldn't be run",
    });
    std::process::exit(code);
}
