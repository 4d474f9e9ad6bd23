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
mod advice_nodes;
mod authority;
mod circuit_breaker;
mod consistency;
mod contact_plan;
mod contact_timeout;
mod counts;
mod crash_history;
mod drain_record;
mod durations;
mod election_backoff;
mod election_report;
mod event;
mod forecast;
mod gang;
mod headroom;
mod ids;
mod jitter;
mod job;
mod job_lifecycle;
mod late_starts;
mod leadership_proof;
mod maintenance;
mod misdirected;
mod note;
mod options;
mod orders;
mod orphans;
mod pacing;
mod placement;
mod pools;
mod predecessor_placement;
mod progress;
mod rates;
mod recovery;
mod reports;
mod retention;
mod retries;
mod run_ends;
mod run_times;
mod scheduler;
mod shares;
mod slowness;
mod spec;
mod speed;
mod speed_placement;
mod stale_capacity;
mod succession;
mod suspects;
mod tick;
mod unit;
mod usable;
mod vm_operation;
mod vms;
mod waiting;
mod worker;
mod worker_clock;
mod worker_report;
mod workspaces;

pub use action::Action;
pub use action::StartOrder;
pub use action::StopReason;
pub use advice_nodes::AdviceNodes;
pub use advice_nodes::AdviceSlots;
pub use advice_nodes::CallLength;
pub use authority::Authority;
pub use contact_plan::ContactPlan;
pub use contact_plan::ContactPlans;
pub use contact_plan::NodeTraits;
pub use contact_plan::may_replace_yielding;
pub use contact_timeout::ContactTimeout;
pub use counts::Counts;
pub use counts::WorkspaceUsage;
pub use election_backoff::ElectionBackoff;
pub use election_report::ElectionReport;
pub use election_report::KnownScheduler;
pub use election_report::ReportOrigin;
pub use event::AdviceAnswer;
pub use event::AllowedWorker;
pub use event::Cancellation;
pub use event::Event;
pub use forecast::ShedRow;
pub use forecast::WaitError;
pub use ids::JobId;
pub use ids::Run;
pub use ids::StepId;
pub use ids::TaskId;
pub use ids::WorkerKey;
pub use job::objective_ms;
pub use note::LatestRun;
pub use note::Note;
pub use note::RateUseChange;
pub use note::WorkerNote;
pub use options::Options;
pub use progress::CrashCount;
pub use progress::JobProgress;
pub use progress::JobState;
pub use progress::StepProgress;
pub use progress::UnitProgress;
pub use progress::Version;
pub use retention::EndedJob;
pub use run_times::SpeedCounts;
pub use scheduler::Scheduler;
pub use spec::AdvicePolicy;
pub use spec::JobSpec;
pub use spec::QueuePolicy;
pub use spec::Schedule;
pub use spec::SpecFinding;
pub use spec::StepSpec;
pub use succession::PendingNotice;
pub use succession::SuccessionNotice;
pub use succession::Tenure;
pub use usable::UnusableReason;
pub use usable::UnusableWorkers;
pub use vm_operation::VmInfo;
pub use vm_operation::VmNote;
pub use vm_operation::VmOperation;
pub use vm_operation::VmOrderAnswer;
pub use vm_operation::VmState;
pub use vm_operation::Wave;
pub use vm_operation::WaveProgress;
pub use worker_clock::ClockReading;
pub use worker_clock::clock_drift_ms;
pub use worker_report::EndReport;
pub use worker_report::RunEnd;
pub use worker_report::RunningReport;
pub use worker_report::StartAnswer;
pub use worker_report::StartRefusal;
pub use worker_report::WorkerReport;
pub use worker_report::WorkerSpec;
pub use workspaces::PlantedUsageFault;
