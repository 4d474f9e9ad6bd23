//! The owner's decisions against fake workers in virtual time.

mod bed;
mod failures;
mod machine;
mod queue;
mod recovery;
