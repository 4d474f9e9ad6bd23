//! Admission: which records a node hands to the store, when and by which way, and which it turns away.
//!
//! An [`Admission`] is a pure state machine: records, answers and the time go in, [`Action`]s come out. It
//! performs no I/O and reads no clock, so that each load that broke it is played again in a test.
//!
//! The load that it answers is that of a store which is slower than usual by one or two orders of magnitude. A
//! partition of the store takes one append at a time, so that appends wait in a row there. Dozens of nodes, each
//! with appends of its own, make long rows of small appends, and what a node sends again stands in the row a
//! second time. Beyond some length nothing is answered before its timeout, and the repeats keep the row as long as
//! it is: a metastable failure. What keeps rows short:
//!
//! - a node has one append under way, and what comes meanwhile shares the next;
//! - while the store is slow, nodes hand their records to the scheduler's node, which needs one append for the
//!   records of all of them;
//! - an append is sent again only where no other way is left, within a budget;
//! - an append is given up only when no answer can come any more, not when it takes longer than a sound one;
//! - what can't be stored in time is turned away before anything of it is sent.

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
