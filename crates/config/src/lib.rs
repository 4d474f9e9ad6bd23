//! Settings of a daemon and the configuration documents that operators publish.
//!
//! Everything is checked as a whole: each fault becomes a finding with its place in the text, and
//! all findings are reported together.

mod documents;
mod findings;
mod parse;
mod settings;

pub use documents::Document;
pub use documents::EndpointDoc;
pub use documents::Inventory;
pub use documents::Policy;
pub use documents::ServiceDoc;
pub use documents::Team;
pub use documents::WorkerDoc;
pub use documents::parse_document;
pub use findings::Finding;
pub use findings::Findings;
pub use settings::Limits;
pub use settings::Listen;
pub use settings::PeerSettings;
pub use settings::PlatformSettings;
pub use settings::Settings;
pub use settings::Timing;
pub use settings::parse_settings;
