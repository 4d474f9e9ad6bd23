//! Wire types of the protocols between daemons.
//!
//! These types are separate from the domain types, so that a change of one does not silently change the other;
//! `From` and `TryFrom` convert between them. They are written by hand with `prost` derives, so the build needs no code
//! generator.

pub mod cell;
mod error;
pub mod job;
pub mod member;
mod message;
mod request;
mod state;
pub mod worker_call;

pub use error::DecodeError;
pub use job::JobQuery;
pub use job::JobState;
pub use job::Offer;
pub use job::OfferReply;
pub use job::OwnerLoad;
pub use job::ResolveReservation;
pub use job::RunningTask;
pub use job::RunningTasks;
pub use job::RunningTasksQuery;
pub use job::StopTasks;
pub use job::Submit;
pub use job::SubmitReply;
pub use job::TaskDone;
pub use job::WireJobSpec;
pub use member::Heartbeat;
pub use member::HeartbeatAck;
pub use member::ViewQuery;
pub use member::ViewState;
pub use message::Ack;
pub use message::Body;
pub use message::Message;
pub use request::RequestRecord;
pub use request::RequestRecordQuery;
pub use request::RunReply;
pub use request::RunRequest;
pub use state::CancelJob;
pub use state::StatePart;
pub use state::StateQuery;
