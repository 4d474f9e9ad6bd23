//! All stand-ins of one cell, with the inventory and the settings that describe them.

use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_config::EndpointDoc;
use syc_config::Inventory;
use syc_config::Listen;
use syc_config::PeerSettings;
use syc_config::PlatformSettings;
use syc_config::ServiceDoc;
use syc_config::Settings;
use syc_config::WorkerDoc;
use syc_types::EndpointId;
use syc_types::RackId;
use syc_types::ServiceName;
use syc_types::TaskRef;
use syc_types::WorkerId;
use syc_types::Zone;

use crate::EndpointOptions;
use crate::EndpointStandIn;
use crate::Executions;
use crate::LogStandIn;
use crate::VmListStandIn;
use crate::WorkerOptions;
use crate::WorkerStandIn;

/// Loopback address on a port that the system chooses.
const ANY_PORT: &str = "127.0.0.1:0";

/// What a cell consists of.
#[derive(Debug, Clone)]
pub struct CellOptions {
    /// Its availability zones, at least one.
    pub zones: Vec<Zone>,
    /// The service of its endpoints.
    pub service: ServiceName,
    /// Number of entry VMs that the VM list knows.
    pub entry_vms: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// What each endpoint is like.
    pub endpoint: EndpointOptions,
    /// Number of workers.
    pub workers: usize,
    /// Workers of a rack, at least one.
    pub rack_workers: usize,
    /// What each worker is like.
    pub worker: WorkerOptions,
    /// Lag of the VM list.
    pub vm_lag_ms: u64,
}

impl Default for CellOptions {
    fn default() -> Self {
        Self {
            zones: vec![Zone::new("a")],
            service: ServiceName::new("intake"),
            entry_vms: 3,
            endpoints: 0,
            endpoint: EndpointOptions::default(),
            workers: 0,
            rack_workers: 8,
            worker: WorkerOptions::default(),
            vm_lag_ms: 500,
        }
    }
}

/// A cell's stand-ins.
#[derive(Debug)]
pub struct Cell {
    /// The service that keeps the log.
    pub log: LogStandIn,
    /// The VM list.
    pub vms: VmListStandIn,
    /// Endpoints of the service, by number.
    pub endpoints: Vec<EndpointStandIn>,
    /// Workers, by number.
    pub workers: Vec<WorkerStandIn>,
    /// Executions of requests, by request id.
    pub requests: Executions<String>,
    /// Executions of tasks.
    pub tasks: Executions<TaskRef>,
    options: CellOptions,
}

impl Cell {
    /// Starts all stand-ins on the current arbiter.
    ///
    /// # Errors
    ///
    /// Fails where a socket can't be opened.
    pub fn start(options: CellOptions) -> std::io::Result<Self> {
        let requests = Executions::default();
        let tasks = Executions::default();
        let mut endpoints = Vec::new();
        for _ in 0..options.endpoints {
            let endpoint = EndpointStandIn::start(options.endpoint.clone(), requests.clone());
            endpoints.push(endpoint?);
        }
        let mut workers = Vec::new();
        for _ in 0..options.workers {
            workers.push(WorkerStandIn::start(options.worker, tasks.clone())?);
        }
        Ok(Self {
            log: LogStandIn::start()?,
            vms: VmListStandIn::start(vm_names(&options), options.vm_lag_ms)?,
            endpoints,
            workers,
            requests,
            tasks,
            options,
        })
    }

    /// Returns the inventory of the workers and endpoints.
    #[must_use]
    pub fn inventory(&self) -> Inventory {
        let mut workers = Vec::new();
        for (number, worker) in self.workers.iter().enumerate() {
            let rack = number / self.options.rack_workers;
            workers.push(WorkerDoc {
                id: WorkerId::new(worker_name(number)),
                address: worker.address().into(),
                zone: self.zone(rack),
                rack: RackId::new(format_smolstr!("rack-{rack}")),
                capacity: self.options.worker.capacity,
            });
        }
        let mut endpoints = Vec::new();
        for (number, endpoint) in self.endpoints.iter().enumerate() {
            endpoints.push(EndpointDoc {
                id: EndpointId::new(endpoint_name(number)),
                address: endpoint.address().into(),
                zone: self.zone(number),
            });
        }
        Inventory {
            name: "register".into(),
            workers,
            services: vec![ServiceDoc {
                name: self.options.service.clone(),
                slots: self.options.endpoint.slots,
                endpoints,
            }],
        }
    }

    /// Returns the settings of an entry VM on loopback ports that the system chooses, without
    /// peers.
    #[must_use]
    pub fn settings(&self, number: usize) -> Settings {
        Settings {
            name: entry_name(number),
            zone: self.zone(number).as_str().into(),
            listen: Listen {
                callers: ANY_PORT.into(),
                peers: ANY_PORT.into(),
                control: ANY_PORT.into(),
            },
            platform: PlatformSettings {
                log: self.log.address().into(),
                vms: self.vms.address().into(),
            },
            ..Settings::default()
        }
    }

    fn zone(&self, number: usize) -> Zone {
        self.options.zones[number % self.options.zones.len()].clone()
    }
}

/// Makes each of the settings name all others as its peers.
pub fn introduce<'a, I>(all: I)
where
    I: IntoIterator<Item = &'a mut Settings>,
{
    let mut all: Vec<_> = all.into_iter().collect();
    let mut peers = Vec::new();
    for settings in &all {
        peers.push(PeerSettings {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            address: settings.listen.peers.clone(),
        });
    }
    for settings in &mut all {
        let others = peers.iter().filter(|peer| peer.name != settings.name);
        settings.peers = others.cloned().collect();
    }
}

fn vm_names(options: &CellOptions) -> Vec<SmolStr> {
    let entries = (0..options.entry_vms).map(entry_name);
    let workers = (0..options.workers).map(worker_name);
    let endpoints = (0..options.endpoints).map(endpoint_name);
    entries.chain(workers).chain(endpoints).collect()
}

fn entry_name(number: usize) -> SmolStr {
    format_smolstr!("entry-{number}")
}

fn worker_name(number: usize) -> SmolStr {
    format_smolstr!("worker-{number}")
}

fn endpoint_name(number: usize) -> SmolStr {
    format_smolstr!("endpoint-{number}")
}
