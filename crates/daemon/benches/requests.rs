//! What one daemon adds to a request, against calling the endpoint stand-in directly.
//!
//! Stand-ins, daemon and client each have a thread; both ways are measured in turns of one run.
#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the figures are for reading"
)]

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use syc_config::Document;
use syc_config::Inventory;
use syc_config::Listen;
use syc_config::Settings;
use syc_daemon::Daemon;
use syc_daemon::Listeners;
use syc_standin::Cell;
use syc_standin::CellOptions;
use syc_standin::EndpointOptions;
use uuid::Uuid;

const TOKEN: &str = "bench";
const ENDPOINTS: usize = 4;
const TURNS: usize = 5;
const TURN_REQUESTS: usize = 1_000;
const WORKERS: usize = 16;
const THROUGHPUT: Duration = Duration::from_secs(3);
const CONNECTIONS: usize = 1_000;
const BODY: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

type BoxError = Box<dyn std::error::Error + Send + Sync>;

fn main() -> Result<(), BoxError> {
    let done = Arc::new(AtomicBool::new(false));
    let (settings, inventory, direct) = start_cell(&done)?;
    let (callers, control, daemon_thread) = start_daemon(settings, &done)?;
    let outcome = actix_rt::System::new().block_on(measure(
        &callers,
        &control,
        &direct,
        inventory,
        daemon_thread,
    ));
    done.store(true, Ordering::Relaxed);
    outcome
}

type CellFacts = (Settings, Inventory, String);

fn start_cell(done: &Arc<AtomicBool>) -> Result<CellFacts, BoxError> {
    let (sender, receiver) = mpsc::channel();
    let done = Arc::clone(done);
    thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let cell = Cell::start(CellOptions {
                endpoints: ENDPOINTS,
                entry_vms: 1,
                endpoint: EndpointOptions {
                    slots: 64,
                    work_ms: 0,
                    ..EndpointOptions::default()
                },
                ..CellOptions::default()
            })
            .expect("stand-ins");
            let direct = cell.endpoints[0].address().to_owned();
            let facts = (cell.settings(0), cell.inventory(), direct);
            sender.send(facts).expect("the main thread waits");
            until(&done).await;
        });
    });
    Ok(receiver.recv()?)
}

fn start_daemon(
    settings: Settings,
    done: &Arc<AtomicBool>,
) -> Result<(String, String, u32), BoxError> {
    let (sender, receiver) = mpsc::channel();
    let done = Arc::clone(done);
    thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let any = || "127.0.0.1:0".into();
            let settings = Settings {
                listen: Listen {
                    callers: any(),
                    peers: any(),
                    control: any(),
                },
                control_token: TOKEN.into(),
                ..settings
            };
            let listeners = Listeners::bind(&settings).expect("sockets");
            let settings = listeners.resolve(settings).expect("addresses");
            let callers = settings.listen.callers.to_string();
            let control = settings.listen.control.to_string();
            let _daemon = Daemon::start(settings, listeners).expect("daemon");
            let facts = (callers, control, thread_id());
            sender.send(facts).expect("the main thread waits");
            until(&done).await;
        });
    });
    Ok(receiver.recv()?)
}

async fn until(done: &AtomicBool) {
    while !done.load(Ordering::Relaxed) {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn measure(
    callers: &str,
    control: &str,
    direct: &str,
    inventory: Inventory,
    daemon_thread: u32,
) -> Result<(), BoxError> {
    let client = Client::builder().disable_timeout().finish();
    let through = format!("http://{callers}/svc/intake/check");
    let direct = format!("http://{direct}/check");
    publish(&client, callers, control, inventory).await?;
    latencies(&client, &direct, &through).await;
    throughput(&client, &through, daemon_thread).await;
    connections(callers)?;
    Ok(())
}

async fn publish(
    client: &Client,
    callers: &str,
    control: &str,
    inventory: Inventory,
) -> Result<(), BoxError> {
    let ready = format!("http://{callers}/ready");
    while !matches!(client.get(&ready).send().await, Ok(answer) if answer.status().is_success()) {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    let body = serde_json::json!({
        "id": Uuid::now_v7(),
        "author": "bench",
        "base": 0,
        "document": Document::Inventory(inventory),
    });
    let request = client.post(format!("http://{control}/v1/config"));
    let request = request.insert_header((syc_api::TOKEN_HEADER, TOKEN));
    let answer = request.send_json(&body).await;
    let answer = answer.map_err(|error| error.to_string())?;
    assert!(answer.status().is_success(), "{}", answer.status());
    Ok(())
}

async fn send(client: &Client, url: &str, idempotent: bool) -> Duration {
    let begun = Instant::now();
    let request = client.post(url);
    let request = request
        .insert_header(("x-request-id", Uuid::now_v7().to_string()))
        .insert_header(("x-idempotent", idempotent.to_string()));
    let mut answer = request.send_body(BODY).await.expect("answer");
    assert!(answer.status().is_success(), "{}", answer.status());
    let _body = answer.body().await.expect("body");
    begun.elapsed()
}

async fn latencies(client: &Client, direct: &str, through: &str) {
    let mut times = [Vec::new(), Vec::new(), Vec::new()];
    for _ in 0..TURNS {
        let ways = [(direct, true), (through, true), (through, false)];
        for (way, (url, idempotent)) in ways.into_iter().enumerate() {
            for _ in 0..TURN_REQUESTS {
                times[way].push(send(client, url, idempotent).await);
            }
        }
    }
    println!("way                        p50_us  p99_us  added_p50_us  added_p99_us  ratio_p50");
    let names = ["direct", "through, idempotent", "through, at most once"];
    let base = (at(&mut times[0], 0.5), at(&mut times[0], 0.99));
    for (name, times) in names.into_iter().zip(&mut times) {
        let (p50, p99) = (at(times, 0.5), at(times, 0.99));
        println!(
            "{name:<25}  {p50:>6.0}  {p99:>6.0}  {:>12.0}  {:>12.0}  {:>9.2}",
            p50 - base.0,
            p99 - base.1,
            p50 / base.0
        );
    }
}

fn at(times: &mut [Duration], share: f64) -> f64 {
    times.sort_unstable();
    let last = times.len() - 1;
    times[(last as f64 * share) as usize].as_secs_f64() * 1e6
}

async fn throughput(client: &Client, through: &str, daemon_thread: u32) {
    let begun = Instant::now();
    let cpu = cpu_seconds(daemon_thread);
    let workers = (0..WORKERS).map(|_| async {
        let mut sent = 0_u64;
        while begun.elapsed() < THROUGHPUT {
            send(client, through, true).await;
            sent += 1;
        }
        sent
    });
    let sent = futures_util::future::join_all(workers).await;
    let sent = sent.into_iter().sum::<u64>() as f64;
    let wall = begun.elapsed().as_secs_f64();
    let cpu = cpu_seconds(daemon_thread) - cpu;
    println!();
    println!("requests/s  daemon_cores  requests/s_per_core");
    println!(
        "{:>10.0}  {:>12.2}  {:>19.0}",
        sent / wall,
        cpu / wall,
        sent / cpu
    );
}

fn connections(callers: &str) -> Result<(), BoxError> {
    let before = resident_bytes();
    let mut open = Vec::with_capacity(CONNECTIONS);
    for _ in 0..CONNECTIONS {
        open.push(TcpStream::connect(callers)?);
    }
    thread::sleep(Duration::from_millis(500));
    let taken = resident_bytes() - before;
    println!();
    println!(
        "memory per 1000 open connections, both ends: {:.1} MiB",
        taken / 1_048_576.0
    );
    Ok(())
}

/// Returns the kernel's id of the current thread.
fn thread_id() -> u32 {
    let link = std::fs::read_link("/proc/thread-self");
    let link = link.expect("a Linux process file system");
    let id = link.file_name().and_then(|name| name.to_str());
    id.and_then(|id| id.parse().ok()).expect("a thread id")
}

fn cpu_seconds(thread: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/self/task/{thread}/schedstat"));
    let text = text.expect("a Linux process file system");
    let nanos = text.split_whitespace().next().map(str::parse::<f64>);
    nanos.and_then(Result::ok).expect("a number") / 1e9
}

fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm");
    let text = text.expect("a Linux process file system");
    let pages = text.split_whitespace().nth(1).map(str::parse::<f64>);
    pages.and_then(Result::ok).expect("a number") * PAGE_BYTES
}
