//! The daemon against stand-ins, everything on one arbiter and on ports that the system chooses.

mod bed;
mod cluster;
mod control;
mod home;
mod home_crash;
mod log;
mod members;
mod owner;
mod path;
mod publish;
mod requests;
mod requests_homes;
mod requests_input;
