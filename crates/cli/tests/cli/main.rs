//! The tool as a child process, against daemons and stand-ins of the platform on loopback.

mod bed;
mod files;
mod jobs;
mod operators;
mod session;
mod story;
mod usage;
