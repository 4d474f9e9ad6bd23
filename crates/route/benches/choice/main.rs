//! Time of a choice, and the ways to divide slots compared in virtual time.

mod time;

fn main() {
    time::report();
}
