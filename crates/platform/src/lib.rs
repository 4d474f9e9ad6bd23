//! Thin adapters to the platform, each behind a small trait.
//!
//! The traits are what the daemon knows; the `http` module holds the adapters that speak to the
//! platform's services. Another harness replaces an adapter by implementing its trait.

mod error;
pub mod http;
pub mod types;

use bytes::Bytes;
pub use error::AppendError;
pub use error::EndpointError;
pub use error::ReadError;
pub use error::WorkerError;
use syc_types::WorkerId;
use types::EndpointAnswer;
use types::EndpointCall;
use types::LogPage;
use types::PollReply;
use types::PollRequest;
use types::StartTask;
use types::TaskCommand;
use types::Vm;

/// The append-only log.
pub trait LogService {
    /// Appends one entry and returns its offset.
    fn append(&self, entry: Bytes) -> impl Future<Output = Result<u64, AppendError>>;

    /// Reads entries from the offset `from` on, at most `max_entries`.
    fn read(&self, from: u64, max_entries: u32)
    -> impl Future<Output = Result<LogPage, ReadError>>;
}

/// The lagging list of live and leaving VMs.
pub trait VmList {
    /// Returns the VMs that the platform knows of now.
    fn list(&self) -> impl Future<Output = Result<Vec<Vm>, ReadError>>;
}

/// The workers' task interface.
pub trait WorkerPort {
    /// Starts a task under a lease.
    fn start(
        &self,
        worker: &WorkerId,
        address: &str,
        task: &StartTask,
    ) -> impl Future<Output = Result<(), WorkerError>>;

    /// Renews leases, acknowledges results and waits for news, at most `wait_ms` of the request.
    fn poll(
        &self,
        worker: &WorkerId,
        address: &str,
        request: &PollRequest,
    ) -> impl Future<Output = Result<PollReply, WorkerError>>;

    /// Stops, checkpoints or throttles a task.
    fn command(
        &self,
        worker: &WorkerId,
        address: &str,
        command: &TaskCommand,
    ) -> impl Future<Output = Result<(), WorkerError>>;
}

/// The endpoints' request interface.
pub trait EndpointPort {
    /// Sends a request and returns the whole answer.
    fn send(
        &self,
        address: &str,
        call: EndpointCall,
    ) -> impl Future<Output = Result<EndpointAnswer, EndpointError>>;
}
