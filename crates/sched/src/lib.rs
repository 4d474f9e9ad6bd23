//! The scheduling core of a cell: decides which task runs where and tracks the state of jobs and workers.
//!
//! A [`Scheduler`] is a pure state machine: events and the current time go in, actions come out. It performs
//! no I/O, reads no clock and draws no random numbers, so every failure seen in production can be
//! reproduced in a test.
//!
//! Three rules ensure that a task never runs twice at the same time and that a worker is never
//! overcommitted:
//!
//! - every order carries a fencing token, so a worker that has heard from the successor refuses the
//!   predecessor's orders;
//! - a run holds its resources from the decision to start it until the worker reports its end, its lease
//!   has certainly expired, or another incarnation of the worker answers;
//! - a change of a job's progress takes effect only once the store has it.

mod action;
mod advice;
mod advisers;
mod authority;
mod blame;
mod contact;
mod counts;
mod duty;
mod event;
mod gang;
mod headroom;
mod ids;
mod job;
mod note;
mod options;
mod orders;
mod orphans;
mod pacing;
mod place;
mod placed;
mod pools;
mod progress;
mod proof;
mod rebirth;
mod recovery;
mod repeats;
mod reports;
mod retention;
mod rooms;
mod scatter;
mod scheduler;
mod slowness;
mod spec;
mod suspects;
mod units;
mod upkeep;
mod usable;
mod vms;
mod waiting;
mod watch;
mod worker;
mod worker_report;

pub use action::Action;
pub use action::StartOrder;
pub use action::StopReason;
pub use advisers::AdviceSlots;
pub use advisers::Advisers;
pub use advisers::CallLength;
pub use authority::Authority;
pub use counts::Counts;
pub use duty::Duty;
pub use duty::DutyAnswer;
pub use duty::VmInfo;
pub use duty::VmNote;
pub use duty::VmState;
pub use duty::Wave;
pub use duty::WaveProgress;
pub use event::AdviceAnswer;
pub use event::AllowedWorker;
pub use event::Event;
pub use ids::JobId;
pub use ids::Run;
pub use ids::StepId;
pub use ids::TaskId;
pub use ids::WorkerKey;
pub use note::LatestRun;
pub use note::Note;
pub use note::WorkerNote;
pub use options::Options;
pub use progress::CrashCount;
pub use progress::JobProgress;
pub use progress::JobState;
pub use progress::StepProgress;
pub use progress::UnitProgress;
pub use progress::Version;
pub use retention::EndedJob;
pub use scheduler::Scheduler;
pub use spec::AdvicePolicy;
pub use spec::JobSpec;
pub use spec::QueuePolicy;
pub use spec::Schedule;
pub use spec::SpecFinding;
pub use spec::StepSpec;
pub use usable::Hindered;
pub use usable::Hindrance;
pub use worker_report::EndReport;
pub use worker_report::RunEnd;
pub use worker_report::RunningReport;
pub use worker_report::StartAnswer;
pub use worker_report::StartRefusal;
pub use worker_report::WorkerReport;
pub use worker_report::WorkerSpec;
