//! What operators can see: numbered log events and metrics.

mod cell_metrics;
mod client_metrics;
mod events;
mod exporter;
mod lines;
mod metrics;

pub use cell_metrics::CellMetrics;
pub use cell_metrics::CellReadings;
pub use cell_metrics::RateReading;
pub use cell_metrics::Stage;
pub use cell_metrics::WorkspaceReading;
pub use client_metrics::ClientReadings;
pub use events::ALL;
pub use events::Event;
pub use events::catalogue;
pub use events::emit;
pub use lines::Line;
pub use lines::LineOptions;
pub use lines::flush_lines;
pub use lines::start_lines;
pub use metrics::Metrics;
pub use metrics::Readings;
