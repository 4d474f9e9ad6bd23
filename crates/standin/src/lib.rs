//! Small stand-ins for the platform, each on its own loopback port.
//!
//! They take the platform's place in tests and in the try-out, speak the same protocols as the
//! adapters of `syc-platform`, and count what must never happen. Faults are switched on by the
//! handle of each; nothing in them is random.

mod cell;
mod change_log;
mod endpoint;
mod executions;
mod log;
mod reply;
mod vms;
mod worker;

pub use cell::Cell;
pub use cell::CellOptions;
pub use cell::introduce;
pub use endpoint::EndpointCounts;
pub use endpoint::EndpointFault;
pub use endpoint::EndpointOptions;
pub use endpoint::EndpointStandIn;
pub use executions::ExecutionCounts;
pub use executions::Executions;
pub use log::LogFaults;
pub use log::LogStandIn;
pub use vms::VmListStandIn;
pub use worker::WorkerCounts;
pub use worker::WorkerOptions;
pub use worker::WorkerStandIn;
