//! Admission control for records that a node writes to the store: when and by which route each
//! record is sent, and which records are refused.
//!
//! [`Admission`] is a pure state machine: records, answers and the time go in, and [`Action`]s come
//! out. It performs no I/O and reads no clock, so tests can replay any load that broke it.
//!
//! It is designed for a store that is one or two orders of magnitude slower than usual. A partition
//! of the store processes one append at a time, so appends queue up there. If dozens of nodes each
//! send their own appends, the queues become long and consist of small appends, and each resent
//! append queues a second time. Beyond some length nothing is answered before its timeout, and
//! retries keep the queue at that length: a metastable failure. Queues stay short because:
//!
//! - a node has one append in flight, and records that arrive meanwhile share the next one;
//! - while the store is slow, nodes forward their records to the scheduler's node, which needs one
//!   append for the records of all of them;
//! - an append is resent only if no other route is left, and within a retry budget;
//! - an append is abandoned only when it can no longer be answered, not when it is slower than
//!   usual;
//! - records that cannot be stored in time are refused before any part of them is sent.

mod admission;
mod latency;
mod options;
mod record;
mod view;

pub use admission::Action;
pub use admission::Admission;
pub use admission::AppendKey;
pub use latency::LatencyEstimate;
pub use options::AdmitOptions;
pub use record::AppendAnswer;
pub use record::ForwardAnswer;
pub use record::Outcome;
pub use record::RecordKey;
pub use view::View;
