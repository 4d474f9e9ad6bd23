//! Which fault happens when.

use std::time::Duration;

use miette::Result;
use miette::miette;
use rustix::process::Signal;
use syc_bench::cluster::Cluster;
use syc_standin::LogFaults;

/// Time before the first fault.
const QUIET: Duration = Duration::from_secs(3);

/// Longer than the daemons' leases of authority, shorter than the leases of tasks.
const PAUSE: Duration = Duration::from_secs(6);

/// Length of a log outage.
const OUTAGE: Duration = Duration::from_secs(4);

/// Time that a killed daemon stays away.
const AWAY: Duration = Duration::from_secs(4);

/// Appends whose answers are lost.
const LOST_ANSWERS: u32 = 8;

/// Brings about the wanted faults, or all in turn, until the time is over.
pub async fn run(cluster: &mut Cluster, only: Option<&str>, seconds: u64) -> Result<()> {
    let until = actix_rt::time::Instant::now() + Duration::from_secs(seconds);
    actix_rt::time::sleep(QUIET).await;
    let all = [
        "pause",
        "lost-answers",
        "kill",
        "outage",
        "stop",
        "kill-two",
    ];
    let chosen = match only {
        None => all.to_vec(),
        Some("none") => Vec::new(),
        Some(fault) => vec![fault],
    };
    for (number, fault) in chosen.into_iter().enumerate() {
        if actix_rt::time::Instant::now() >= until {
            eprintln!("{fault}: not run, the time is over");
            continue;
        }
        eprintln!("fault: {fault}");
        let victim = number % cluster.settings.len();
        bring_about(cluster, fault, victim).await?;
    }
    actix_rt::time::sleep_until(until).await;
    Ok(())
}

async fn bring_about(cluster: &mut Cluster, fault: &str, victim: usize) -> Result<()> {
    match fault {
        "pause" => {
            cluster.signal(victim, Signal::STOP)?;
            actix_rt::time::sleep(PAUSE).await;
            cluster.signal(victim, Signal::CONT)?;
            actix_rt::time::sleep(PAUSE / 2).await;
        }
        "kill" => replace(cluster, &[victim], Signal::KILL).await?,
        "stop" => replace(cluster, &[victim], Signal::TERM).await?,
        "kill-two" => {
            let next = (victim + 1) % cluster.settings.len();
            replace(cluster, &[victim, next], Signal::KILL).await?;
        }
        "kill-all" => {
            let all: Vec<_> = (0..cluster.settings.len()).collect();
            replace(cluster, &all, Signal::KILL).await?;
        }
        "outage" => {
            cluster.cell.log.set_faults(LogFaults {
                outage: true,
                ..LogFaults::default()
            });
            actix_rt::time::sleep(OUTAGE).await;
            cluster.cell.log.set_faults(LogFaults::default());
            actix_rt::time::sleep(OUTAGE / 2).await;
        }
        "lost-answers" => {
            cluster.cell.log.set_faults(LogFaults {
                lose_answers: LOST_ANSWERS,
                ..LogFaults::default()
            });
            actix_rt::time::sleep(OUTAGE).await;
        }
        other => return Err(miette!("unknown fault `{other}`")),
    }
    Ok(())
}

async fn replace(cluster: &mut Cluster, victims: &[usize], signal: Signal) -> Result<()> {
    for &victim in victims {
        cluster.signal(victim, signal)?;
    }
    actix_rt::time::sleep(AWAY).await;
    for &victim in victims {
        cluster.restart(victim)?;
    }
    actix_rt::time::sleep(AWAY).await;
    Ok(())
}
