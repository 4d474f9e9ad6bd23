//! Daemons, each on an arbiter of its own, so that one can end at once, as a crash does.

use actix_rt::Arbiter;
use syc_config::Document;
use syc_config::Settings;
use syc_daemon::Daemon;
use syc_daemon::Listeners;
use syc_platform::types::VmState;
use syc_standin::introduce;
use tokio::sync::oneshot;

use crate::bed::Bed;
use crate::bed::BedOptions;

/// Daemons of every cluster.
pub const DAEMONS: usize = 3;

pub struct Cluster {
    pub bed: Bed,
    running: Vec<Option<Running>>,
}

struct Running {
    arbiter: Arbiter,
    stop: oneshot::Sender<()>,
    stopped: oneshot::Receiver<()>,
}

fn run(settings: Settings, listeners: Listeners) -> Running {
    let arbiter = Arbiter::new();
    let (stop, stopping) = oneshot::channel();
    let (done, stopped) = oneshot::channel();
    arbiter.spawn_fn(move || {
        actix_rt::spawn(async move {
            let daemon = Daemon::start(settings, listeners).expect("daemon");
            if stopping.await.is_ok() {
                daemon.stop().await;
            }
            let _ = done.send(());
        });
    });
    Running {
        arbiter,
        stop,
        stopped,
    }
}

impl Cluster {
    /// Starts the daemons with settings of their own, and publishes the inventory.
    pub async fn start<F>(workers: usize, settings: F) -> Self
    where
        F: Fn(&Bed, usize) -> Settings,
    {
        let options = BedOptions {
            daemons: 0,
            workers,
            ..BedOptions::default()
        };
        let mut bed = Bed::start_unconfigured(&options);
        let mut sockets = Vec::new();
        for number in 0..DAEMONS {
            let settings = settings(&bed, number);
            bed.vms.set(&settings.name, Some(VmState::Live));
            let listeners = Listeners::bind(&settings).expect("sockets");
            bed.settings
                .push(listeners.resolve(settings).expect("addresses"));
            sockets.push(listeners);
        }
        introduce(&mut bed.settings);
        let all = bed.settings.iter().cloned().zip(sockets);
        let running = all.map(|(settings, listeners)| Some(run(settings, listeners)));
        let running = running.collect();
        let cluster = Self { bed, running };
        for number in 0..DAEMONS {
            cluster.bed.await_ready(number).await;
        }
        let document = Document::Inventory(cluster.bed.inventory());
        let (status, text) = cluster.bed.publish(0, 0, document).await;
        assert_eq!(status, 200, "{text}");
        for number in 0..DAEMONS {
            cluster.bed.await_config(number, 1).await;
        }
        cluster
    }

    /// Ends a daemon at once, as a crash does.
    pub fn kill(&mut self, number: usize) {
        let running = self.running[number].take().expect("a running daemon");
        running.arbiter.stop();
        running.arbiter.join().expect("the end of its thread");
    }

    pub fn kill_all(&mut self) {
        for number in 0..DAEMONS {
            self.kill(number);
        }
    }

    pub fn restart(&mut self, number: usize) {
        let settings = self.bed.settings[number].clone();
        let listeners = Listeners::bind(&settings).expect("the same sockets");
        self.running[number] = Some(run(settings, listeners));
    }

    pub fn restart_all(&mut self) {
        for number in 0..DAEMONS {
            self.restart(number);
        }
    }

    /// Stops a daemon as planned.
    pub async fn stop(&mut self, number: usize) {
        let running = self.running[number].take().expect("a running daemon");
        running.stop.send(()).expect("a daemon that waits");
        running.stopped.await.expect("the end of the stop");
        running.arbiter.stop();
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for running in self.running.iter().flatten() {
            running.arbiter.stop();
        }
    }
}
