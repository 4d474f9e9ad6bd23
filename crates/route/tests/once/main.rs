//! At most once: single promises, and whole clusters against an all-knowing model.

mod cluster;
mod model;
mod promises;
