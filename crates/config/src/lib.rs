//! Settings of a daemon and the configuration documents that operators publish.
//!
//! Everything is checked as a whole: each fault becomes a finding with its place in the text, and
//! all findings are reported together.

mod check;
mod documents;
mod effective;
mod findings;
mod import;
mod parse;
mod schema;
mod settings;
mod settings_page;

pub use check::parse_document;
pub use check::parse_job;
pub use documents::CapacityRule;
pub use documents::ClassPolicy;
pub use documents::Document;
pub use documents::EndpointDoc;
pub use documents::Inventory;
pub use documents::KindPolicy;
pub use documents::Layout;
pub use documents::Policy;
pub use documents::Rules;
pub use documents::ServiceDoc;
pub use documents::Team;
pub use documents::TeamLimits;
pub use documents::WorkerDoc;
pub use effective::effective_inventory;
pub use effective::unknown_names;
pub use findings::Finding;
pub use findings::Findings;
pub use import::ACCELERATORS_COLUMN;
pub use import::REGISTER_COLUMNS;
pub use import::import_register;
pub use schema::DOCUMENT_VERSION;
pub use schema::NamedSchema;
pub use schema::schemas;
pub use settings::Limits;
pub use settings::Listen;
pub use settings::LogLevel;
pub use settings::PeerSettings;
pub use settings::PlatformSettings;
pub use settings::Settings;
pub use settings::Timing;
pub use settings::parse_settings;
pub use settings_page::settings_page;
