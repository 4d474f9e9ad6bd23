//! Entry VMs and endpoints in virtual time, driven by the real decisions.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::format_smolstr;
use syc_route::Arrival;
use syc_route::EndpointInfo;
use syc_route::EndpointKey;
use syc_route::Endpoints;
use syc_route::Finish;
use syc_route::HealthOptions;
use syc_route::HedgeOptions;
use syc_route::HedgeTimer;
use syc_route::Next;
use syc_route::Queue;
use syc_route::QueueOptions;
use syc_route::RetryBudget;
use syc_route::RetryOptions;
use syc_route::Sending;
use syc_route::SlotPolicy;
use syc_types::CallerId;
use syc_types::Class;
use syc_types::EndpointId;
use syc_types::Millis;
use syc_types::TeamId;
use syc_types::Zone;

pub const ENTRY_VMS: usize = 8;
const ENDPOINTS: usize = 50;
const SLOTS: u32 = 8;
const ZONES: usize = 3;
const WORK_US: f64 = 40_000.0;
const NEAR_US: u64 = 100;
const FAR_US: u64 = 500;
const REVIEW_US: u64 = 20_000;
const SECOND_US: f64 = 1e6;

/// One run.
#[derive(Debug, Clone, Copy)]
pub struct RunOptions {
    /// Offered load as a share of all slots.
    pub load: f64,
    /// Whether two entry VMs get most of the requests.
    pub skewed: bool,
    /// Virtual length.
    pub length_us: u64,
    /// Time that a caller waits for its answer.
    pub timeout_ms: u64,
    /// Whether the queue is bounded and gives up early.
    pub sheds: bool,
    /// Share of the requests whose work takes ten times as long.
    pub stragglers: f64,
    /// Whether a late request is sent to a second endpoint too.
    pub hedges: bool,
}

impl Default for RunOptions {
    fn default() -> Self {
        Self {
            load: 0.5,
            skewed: false,
            length_us: 10_000_000,
            timeout_ms: 2_000,
            sheds: true,
            stragglers: 0.0,
            hedges: false,
        }
    }
}

/// What a run showed.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: u64,
    pub sendings: u64,
    pub overruns: u64,
    pub refused: u64,
    pub in_time: u64,
    pub hedged: u64,
    pub waits_us: Vec<u64>,
    /// Times from arrival to the first answer.
    pub answers_us: Vec<u64>,
}

impl Outcome {
    /// Returns the wait below which this share of the served requests stayed, in milliseconds.
    pub fn wait_ms(&mut self, share: f64) -> f64 {
        quantile_ms(&mut self.waits_us, share)
    }

    /// Returns the time below which this share of the first answers came, in milliseconds.
    pub fn answer_ms(&mut self, share: f64) -> f64 {
        quantile_ms(&mut self.answers_us, share)
    }
}

fn quantile_ms(times_us: &mut [u64], share: f64) -> f64 {
    times_us.sort_unstable();
    if times_us.is_empty() {
        return 0.0;
    }
    let last = times_us.len() - 1;
    times_us[(last as f64 * share) as usize] as f64 / 1_000.0
}

#[derive(Debug, Clone)]
struct Request {
    number: u64,
    arrived_us: u64,
    sendings: u32,
    tried: Vec<EndpointKey>,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Reach(usize, usize, EndpointKey, Request),
    Answer(usize, EndpointKey, u64, Request),
    Hedge(usize, Request),
    Refuse(usize, EndpointKey, Request),
    Review(usize),
    Free(usize),
}

struct EntryVm<P> {
    endpoints: Endpoints<P>,
    queue: Queue<Request>,
    budget: RetryBudget,
    timer: HedgeTimer,
    rate: f64,
    zone: usize,
}

pub struct Run<P> {
    options: RunOptions,
    vms: Vec<EntryVm<P>>,
    busy: Vec<u32>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: HashMap<u64, Event>,
    next: u64,
    random: SmallRng,
    outcome: Outcome,
    answered: HashSet<u64>,
}

impl<P> Run<P>
where
    P: SlotPolicy + Copy,
{
    pub fn new(policy: P, options: RunOptions) -> Self {
        let total = options.load * f64::from(SLOTS) * ENDPOINTS as f64 / WORK_US;
        let mut vms = Vec::new();
        for number in 0..ENTRY_VMS {
            let part = match (options.skewed, number) {
                (false, _) => 1.0 / ENTRY_VMS as f64,
                (true, 0) => 0.4,
                (true, 1) => 0.2,
                (true, _) => 0.4 / (ENTRY_VMS - 2) as f64,
            };
            vms.push(EntryVm {
                endpoints: endpoints(policy, number % ZONES),
                queue: Queue::new(queue_options(options.sheds)),
                budget: RetryBudget::new(RetryOptions::default()),
                timer: HedgeTimer::new(HedgeOptions::default()),
                rate: total * part,
                zone: number % ZONES,
            });
        }
        Self {
            options,
            vms,
            busy: vec![0; ENDPOINTS],
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next: 0,
            random: SmallRng::seed_from_u64(11),
            outcome: Outcome::default(),
            answered: HashSet::new(),
        }
    }

    pub fn run(mut self) -> Outcome {
        for vm in 0..ENTRY_VMS {
            self.at(0, Event::Arrive(vm));
            self.at(REVIEW_US, Event::Review(vm));
        }
        while let Some(Reverse((now, number))) = self.events.pop() {
            let Some(event) = self.pending.remove(&number) else {
                continue;
            };
            self.step(event, now);
        }
        self.outcome
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at_us, self.next)));
        self.pending.insert(self.next, event);
    }

    fn exponential_us(&mut self, mean_us: f64) -> u64 {
        let share: f64 = self.random.random_range(1e-9..1.0);
        (-share.ln() * mean_us) as u64
    }

    fn step(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrive(vm) => self.arrive(vm, now),
            Event::Reach(vm, endpoint, key, request) => self.reach(vm, endpoint, key, request, now),
            Event::Free(endpoint) => self.busy[endpoint] -= 1,
            Event::Answer(vm, key, sent_us, request) => {
                let latency_us = now - sent_us;
                self.vms[vm].timer.note(latency_us);
                if self.answered.insert(request.number) {
                    self.outcome.answers_us.push(now - request.arrived_us);
                }
                self.finish(vm, key, Finish::Answered { latency_us }, now);
            }
            Event::Hedge(vm, request) => self.hedge(vm, request, now),
            Event::Refuse(vm, key, request) => self.refuse(vm, key, request, now),
            Event::Review(vm) => self.review(vm, now),
        }
    }

    fn arrive(&mut self, vm: usize, now: u64) {
        if now >= self.options.length_us {
            return;
        }
        let pause_us = self.exponential_us(1.0 / self.vms[vm].rate);
        self.at(now + pause_us, Event::Arrive(vm));
        self.outcome.requests += 1;
        self.vms[vm].budget.first();
        let request = Request {
            number: self.outcome.requests,
            arrived_us: now,
            sendings: 0,
            tried: Vec::new(),
        };
        self.place(vm, request, now);
    }

    /// Sends a request, or lets it wait.
    fn place(&mut self, vm: usize, request: Request, now: u64) {
        let entry = &mut self.vms[vm];
        if entry.queue.is_empty() {
            let key = entry
                .endpoints
                .choose(&request.tried, millis(now), &mut self.random);
            if let Some(key) = key {
                self.send(vm, key, request, now);
                return;
            }
        }
        let timeout_ms = if self.options.sheds {
            self.options.timeout_ms
                - entry
                    .endpoints
                    .typical_latency_ms()
                    .min(self.options.timeout_ms / 4)
        } else {
            u64::MAX / 2
        };
        let arrived = millis(request.arrived_us);
        let arrival = Arrival {
            class: Class::Normal,
            caller: CallerId::new(""),
            team: TeamId::new(""),
            arrived,
            start_by: arrived.plus(timeout_ms),
            item: request,
        };
        match entry.queue.push(arrival, millis(now)) {
            Ok((_, None)) => {}
            Ok((_, Some(_))) | Err(_) => self.outcome.refused += 1,
        }
    }

    fn send(&mut self, vm: usize, key: EndpointKey, mut request: Request, now: u64) {
        let entry = &mut self.vms[vm];
        entry.endpoints.begin(key);
        request.sendings += 1;
        self.outcome.sendings += 1;
        let info = entry.endpoints.info(key).expect("endpoint");
        let endpoint = info.id.as_str()[1..].parse().expect("number");
        let way_us = way_us(entry.zone, endpoint);
        if let Some(after_us) = entry.timer.after_us()
            && self.options.hedges
            && request.sendings == 1
        {
            let mut hedge = request.clone();
            hedge.tried.push(key);
            self.at(now + after_us, Event::Hedge(vm, hedge));
        }
        self.at(now + way_us, Event::Reach(vm, endpoint, key, request));
    }

    /// Sends an unanswered request to a second endpoint, within the budget and a free slot.
    fn hedge(&mut self, vm: usize, request: Request, now: u64) {
        let entry = &mut self.vms[vm];
        if self.answered.contains(&request.number) || !entry.queue.is_empty() {
            return;
        }
        let key = entry
            .endpoints
            .choose(&request.tried, millis(now), &mut self.random);
        let Some(key) = key else { return };
        if entry.budget.hedge() {
            self.outcome.hedged += 1;
            self.send(vm, key, request, now);
        }
    }

    fn reach(&mut self, vm: usize, endpoint: usize, key: EndpointKey, request: Request, now: u64) {
        let way_us = way_us(self.vms[vm].zone, endpoint);
        if self.busy[endpoint] >= SLOTS {
            self.outcome.overruns += 1;
            self.at(now + way_us, Event::Refuse(vm, key, request));
            return;
        }
        self.busy[endpoint] += 1;
        let waited_us = now - request.arrived_us;
        self.outcome.waits_us.push(waited_us);
        let straggles = self.random.random_bool(self.options.stragglers);
        let times = if straggles { 10.0 } else { 1.0 };
        let work_us = self.exponential_us(WORK_US * times);
        let answered_us = now + work_us + way_us;
        if answered_us - request.arrived_us <= self.options.timeout_ms * 1_000 {
            self.outcome.in_time += 1;
        }
        self.at(now + work_us, Event::Free(endpoint));
        self.at(answered_us, Event::Answer(vm, key, now - way_us, request));
    }

    fn refuse(&mut self, vm: usize, key: EndpointKey, mut request: Request, now: u64) {
        let sending = Sending {
            finish: Finish::Busy,
            idempotent: false,
            sendings: request.sendings,
            deadline: millis(request.arrived_us + self.options.timeout_ms * 1_000),
        };
        let next = self.vms[vm].budget.next(sending, false, millis(now));
        self.finish(vm, key, Finish::Busy, now);
        if next == Next::NotRun {
            self.outcome.refused += 1;
            return;
        }
        request.tried.push(key);
        self.place(vm, request, now);
    }

    fn finish(&mut self, vm: usize, key: EndpointKey, finish: Finish, now: u64) {
        self.vms[vm].endpoints.finish(key, finish, millis(now));
        self.serve_waiting(vm, now);
    }

    fn serve_waiting(&mut self, vm: usize, now: u64) {
        while !self.vms[vm].queue.is_empty() {
            let entry = &mut self.vms[vm];
            let key = entry.endpoints.choose(&[], millis(now), &mut self.random);
            let Some(key) = key else { return };
            let Some(next) = entry.queue.pop(millis(now)) else {
                return;
            };
            self.send(vm, key, next.item, now);
        }
    }

    fn review(&mut self, vm: usize, now: u64) {
        if self.options.sheds {
            let shed = self.vms[vm].queue.review(millis(now));
            self.outcome.refused += shed.len() as u64;
        }
        self.serve_waiting(vm, now);
        if now < self.options.length_us || !self.vms[vm].queue.is_empty() {
            self.at(now + REVIEW_US, Event::Review(vm));
        }
    }
}

fn endpoints<P>(policy: P, zone: usize) -> Endpoints<P>
where
    P: SlotPolicy,
{
    let name = |zone| Zone::new(format_smolstr!("z{zone}"));
    let mut all = Endpoints::new(policy, HealthOptions::default(), name(zone));
    all.set_entry_vms(u32::try_from(ENTRY_VMS).expect("few"));
    for number in 0..ENDPOINTS {
        all.upsert(EndpointInfo {
            id: EndpointId::new(format_smolstr!("e{number}")),
            address: "127.0.0.1:1".into(),
            zone: name(number % ZONES),
            slots: SLOTS,
        });
    }
    all
}

fn queue_options(sheds: bool) -> QueueOptions {
    let requests = if sheds { 1_024 } else { usize::MAX };
    QueueOptions {
        requests,
        ..QueueOptions::default()
    }
}

fn way_us(zone: usize, endpoint: usize) -> u64 {
    if endpoint % ZONES == zone {
        NEAR_US
    } else {
        FAR_US
    }
}

fn millis(us: u64) -> Millis {
    Millis(us / 1_000)
}

/// Returns the requests that all slots can serve in a time.
pub fn capacity(length_us: u64) -> f64 {
    f64::from(SLOTS) * ENDPOINTS as f64 * (SECOND_US / WORK_US) * (length_us as f64 / SECOND_US)
}
