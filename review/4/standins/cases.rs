//! The cases. Each returns 0 if the rule held, 1 if it was broken, and 2 if the case couldn't be run.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::ms;
use crate::world::{Pool, Size, World, register, step, submission};

/// `finish_s` of the site.
const FINISH_S: u64 = 14;

/// How long nothing of a submission may run although it could: 3 s, and some more for the polls of this program.
const IDLE: Duration = Duration::from_millis(3_500);

/// What a task of a small submission needs, in thousandths of a core, and how long it works.
const SMALL_CPU: u64 = 500;
const SMALL_MS: u64 = 640;

/// Most tasks of a step on the site.
const LARGEST_STEP: usize = 60;

/// Tasks of a small submission.
const SMALL_TASKS: usize = 2;

/// A case: the deployment that it needs, and what it does.
pub struct Case {
    pub size: Size,
    pub run: fn(&mut World, bool) -> i32,
}

/// Returns the case of a name.
pub fn find(name: &str) -> Option<Case> {
    let pool = |service, kind, minions, cpu| Pool { service, kind, minions, cpu };
    let case = |pools, run| {
        let keeps_ids = name == "late-renewal";
        Some(Case { size: Size { nodes: 3, pools, keeps_ids }, run })
    };
    match name {
        "gone" => case(vec![pool("intake", "a", 20, 32_000)], gone),
        "late-renewal" => case(vec![pool("intake", "a", 8, 32_000)], late_renewal),
        "idle-service" => case(vec![pool("intake", "a", 20, 32_000), pool("archive", "a", 1, 32_000)], idle_service),
        _ => None,
    }
}

/// Small submissions that were accepted, and the queue of all of them.
struct Traffic {
    queue: &'static str,
    service: &'static str,
    ids: Vec<String>,
}

impl Traffic {
    const fn new(queue: &'static str, service: &'static str) -> Self {
        Self { queue, service, ids: Vec::new() }
    }

    /// Hands in two small submissions a second.
    fn send(&mut self, world: &mut World, length: Duration) {
        let until = Instant::now() + length;
        while Instant::now() < until {
            let id = world.new_id();
            let tasks = [step(SMALL_TASKS, SMALL_CPU, 64, SMALL_MS, "")];
            if world.submit(self.queue, &id, &submission(SMALL_MS, SMALL_CPU, &tasks)) {
                self.ids.push(id);
            }
            thread::sleep(ms(500));
        }
    }

    /// Checks LOST, `finish_s` after the end of the traffic: whether for 3 s some submission has nothing running while
    /// its tasks' turn has come, there is capacity for it twice over, and under half of the service's capacity is in use.
    fn is_lost(&self, world: &World) -> bool {
        let mut idle: HashMap<&String, bool> = self.ids.iter().map(|id| (id, true)).collect();
        let (mut used, mut all, mut room) = (0, u64::MAX, u64::MAX);
        let until = Instant::now() + IDLE;
        while Instant::now() < until {
            let (used_now, all_now) = world.cpu_in_use(self.service);
            used = used.max(used_now);
            all = all.min(all_now);
            room = room.min(world.room_for(self.service, SMALL_CPU));
            for (id, has_been) in &mut idle {
                *has_been &= world.at_work(id) == 0;
            }
            thread::sleep(ms(100));
        }
        let mut states: BTreeMap<String, usize> = BTreeMap::new();
        let mut lost = 0;
        for id in &self.ids {
            let state = world.state_of(self.queue, id);
            let is_over = matches!(state.as_str(), "completed" | "failed" | "cancelled");
            if !is_over {
                world.journal.note(&format!("client: GET /{}/{id}: {state}; nothing of it at work: {}", self.queue, idle[id]));
            }
            lost += usize::from(!is_over && idle[id]);
            *states.entry(state).or_default() += 1;
        }
        let twice = 2 * SMALL_TASKS as u64;
        world.journal.say(&format!(
            "service {}: {} small submissions were accepted, by state {states:?}; of {lost} nothing was at work for {} ms, \
             with at most {used} of {all} thousandths of a core in use and room for at least {room} tasks (twice a submission's: {twice})",
            self.service,
            self.ids.len(),
            IDLE.as_millis()
        ));
        lost > 0 && used * 2 < all && room >= twice
    }
}

fn finish(world: &World) {
    world.say_load("end of the traffic");
    thread::sleep(Duration::from_secs(FINISH_S));
    world.say_load("finish_s after it");
}

fn verdict(world: &World, is_broken: bool) -> i32 {
    if is_broken {
        world.journal.say("LOST is broken");
    }
    i32::from(is_broken)
}

/// Four times within 3 s, a share of 0.15 of the minions is lost for good. The others are sound.
fn gone(world: &mut World, trouble: bool) -> i32 {
    const SHARE: f64 = 0.15;
    const TIMES: usize = 4;
    let mut traffic = Traffic::new("lookup", "intake");
    traffic.send(world, ms(5_000));
    let count = (world.minions.len() as f64 * SHARE).floor() as usize;
    for time in 0..TIMES {
        for minion in &world.minions[time * count..(time + 1) * count] {
            if trouble {
                minion.lose();
            }
        }
        traffic.send(world, ms(1_000));
    }
    let (_, all) = world.cpu_in_use("intake");
    world.journal.say(&format!("{all} thousandths of a core are up from now on"));
    traffic.send(world, ms(30_000));
    finish(world);
    let is_lost = traffic.is_lost(world);
    verdict(world, is_lost)
}

/// Minions crash and start again under their ids, each while one renewal of its lease is held up, which the next life
/// carries out.
fn late_renewal(world: &mut World, trouble: bool) -> i32 {
    const CPU: u64 = 100;
    // From 100 to 513 ms.
    const WORK_MS: u64 = 100;
    const SPREAD_MS: u64 = 7;
    const DOWN_MS: u64 = 500;
    const LATE_MS: u64 = 3_000;
    const CRASHES: usize = 4;
    let minions: Vec<_> = world.minions[..CRASHES].to_vec();
    let journal = Arc::clone(&world.journal);
    let store = Arc::clone(&world.store);
    let trouble = thread::spawn(move || {
        thread::sleep(ms(6_000));
        for (number, minion) in minions.iter().enumerate() {
            if !trouble {
                continue;
            }
            minion.hold_up_renewal();
            while !minion.has_held_up() {
                thread::sleep(ms(5));
            }
            let held_up_at = Instant::now();
            thread::sleep(ms(100));
            let Some(renewal) = minion.crash() else { continue };
            thread::sleep(ms(DOWN_MS));
            minion.start_again();
            register(&store, minion, 1_000_000 + number as u64);
            thread::sleep(ms(LATE_MS).saturating_sub(held_up_at.elapsed()));
            minion.carry_out_late(&renewal);
            thread::sleep(ms(1_500));
        }
        journal.say("no more trouble");
    });
    let mut ids = Vec::new();
    let mut sent = 0;
    let began = Instant::now();
    while !trouble.is_finished() || began.elapsed() < ms(27_000) {
        let id = world.new_id();
        let body = submission(WORK_MS, CPU, &[step(LARGEST_STEP, CPU, 64, 300, "")]);
        let body = body.replace("work=", &format!("spread={SPREAD_MS} work="));
        if world.submit("lookup", &id, &body) {
            ids.push(id);
        }
        sent += 1;
        thread::sleep((ms(50) * sent).saturating_sub(began.elapsed()));
    }
    world.say_load("end of the traffic");
    thread::sleep(ms(5_000));
    let (repeated, done) = world.ledger.repeated();
    let mut states: BTreeMap<String, usize> = BTreeMap::new();
    for id in &ids {
        *states.entry(world.state_of("lookup", id)).or_default() += 1;
    }
    world.journal.say(&format!(
        "submissions by state: {states:?}; {done} tasks have ended done, {repeated} of them were started again although that end was taken note of"
    ));
    if repeated > 0 {
        world.journal.say("TWICE is broken");
    }
    i32::from(repeated > 0)
}

/// Urgent tasks that last fill one service but for a few cores. Another service is idle.
fn idle_service(world: &mut World, trouble: bool) -> i32 {
    const URGENT_CPU: u64 = 2_000;
    // Of 320 that the service has room for, in steps of at most `LARGEST_STEP`.
    let urgent = if trouble { 314 } else { 220 };
    let mut ids = Vec::new();
    let mut left = urgent;
    while left > 0 {
        let id = world.new_id();
        let count = left.min(LARGEST_STEP);
        let tasks = [step(count, URGENT_CPU, 64, 1_000, ",\"LongRunning\":true,\"Image\":\"front\"")];
        if !world.submit("serving", &id, &submission(600_000, URGENT_CPU, &tasks)) {
            return 2;
        }
        ids.push(id);
        left -= count;
    }
    let at_work = |world: &World| ids.iter().map(|id| world.at_work(id)).sum::<usize>();
    let until = Instant::now() + ms(20_000);
    while at_work(world) < urgent && Instant::now() < until {
        thread::sleep(ms(100));
    }
    world.say_load(&format!("{} of {urgent} urgent tasks that last are at work, of {} submissions", at_work(world), ids.len()));
    if at_work(world) < urgent {
        return 2;
    }
    thread::sleep(ms(8_000));
    let lasting = world.new_id();
    let tasks = [step(1, SMALL_CPU, 64, 1_000, ",\"LongRunning\":true,\"Image\":\"side\"")];
    if !world.submit("batch", &lasting, &submission(600_000, SMALL_CPU, &tasks)) {
        return 2;
    }
    let mut traffic = Traffic::new("archive", "archive");
    traffic.send(world, ms(20_000));
    finish(world);
    let is_lost = traffic.is_lost(world);
    let never = world.at_work(&lasting) == 0;
    let room = world.room_for("intake", SMALL_CPU);
    world.journal.say(&format!(
        "service intake: a submission with one task that lasts and isn't urgent is {} (at work: {}), with room for {room} such tasks",
        world.state_of("batch", &lasting),
        !never
    ));
    verdict(world, is_lost || never && room >= 2)
}
