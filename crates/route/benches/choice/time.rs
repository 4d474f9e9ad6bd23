//! Time of one choice with its bookkeeping, against a scan of all endpoints.

use std::hint::black_box;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::format_smolstr;
use syc_route::AdaptiveLimit;
use syc_route::EndpointInfo;
use syc_route::EndpointKey;
use syc_route::Endpoints;
use syc_route::Finish;
use syc_route::HealthOptions;
use syc_types::EndpointId;
use syc_types::Millis;
use syc_types::Zone;

const ROUNDS: u32 = 200_000;
const ENTRY_VMS: u32 = 8;

/// Prints the times.
pub fn report() {
    println!("endpoints  choose+begin+finish_ns  scan_ns  ratio");
    for number in [10, 50, 200, 1_000] {
        let chosen_ns = choose(number);
        let scanned_ns = scan(number);
        let ratio = chosen_ns / scanned_ns;
        println!("{number:>9}  {chosen_ns:>22.0}  {scanned_ns:>7.0}  {ratio:.3}");
    }
}

fn choose(number: usize) -> f64 {
    let mut all = Endpoints::new(AdaptiveLimit, HealthOptions::default(), Zone::new("a"));
    all.set_entry_vms(ENTRY_VMS);
    for index in 0..number {
        all.upsert(EndpointInfo {
            id: EndpointId::new(format_smolstr!("e{index}")),
            address: "127.0.0.1:1".into(),
            zone: Zone::new(if index % 3 == 0 { "a" } else { "b" }),
            slots: 8,
        });
    }
    let mut random = SmallRng::seed_from_u64(1);
    let mut held = std::collections::VecDeque::<EndpointKey>::new();
    let begun = Instant::now();
    for round in 0..ROUNDS {
        let now = Millis(u64::from(round / 1_000));
        if let Some(key) = all.choose(&[], now, &mut random) {
            all.begin(black_box(key));
            held.push_back(key);
        }
        if held.len() > number
            && let Some(key) = held.pop_front()
        {
            let latency_us = u64::from(round % 977);
            all.finish(key, Finish::Answered { latency_us }, now);
        }
    }
    nanos_each(begun)
}

/// The naive way: the least loaded of all endpoints.
fn scan(number: usize) -> f64 {
    let mut in_flight = vec![0_u32; number];
    let mut held = std::collections::VecDeque::new();
    let begun = Instant::now();
    for _ in 0..ROUNDS {
        let least = in_flight.iter().enumerate();
        let least = least.min_by_key(|(index, used)| (index % 3 != 0, **used));
        if let Some((index, _)) = black_box(least) {
            in_flight[index] += 1;
            held.push_back(index);
        }
        if held.len() > number
            && let Some(index) = held.pop_front()
        {
            in_flight[index] -= 1;
        }
    }
    nanos_each(begun)
}

fn nanos_each(begun: Instant) -> f64 {
    begun.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS)
}
