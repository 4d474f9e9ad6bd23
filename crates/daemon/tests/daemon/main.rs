//! The daemon against stand-ins, everything on one arbiter and on ports that the system chooses.

mod bed;
mod control;
mod home;
mod home_crash;
mod log;
mod owner;
mod path;
mod publish;
