//! Transport layer: framed links between daemons, and an HTTP listener and client.
//!
//! This layer moves bytes and interprets neither frame payloads nor HTTP bodies.

mod body;
mod body_blocks;
mod client;
mod connection;
mod dial;
mod frame;
mod head_scanner;
pub mod http;
mod intake;
mod link_load;
pub mod peer;
mod peer_listener;
mod receive_buffer;

pub use body::BodyError;
pub use body::hold_memory;
pub use body::json_response;
pub use body::read_body;
pub use client::HttpClientOptions;
pub use client::http_client;
pub use client::tracked_http_client;
pub use dial::DialBudget;
pub use dial::DialTracker;
pub use dial::is_dial_budget_exceeded;
pub use frame::FRAME_OVERHEAD_BYTES;
pub use http::HttpListener;
pub use http::HttpOptions;
pub use http::OverLimit;
pub use http::is_over_limit;
pub use intake::Intake;
pub use intake::IntakeOptions;
pub use intake::IntakeReadings;
pub use intake::Refusal;
pub use intake::RefusalCounts;
pub use peer::CallError;
pub use peer::PeerClient;
pub use peer::PeerOptions;
pub use peer_listener::UnsentReplies;
pub use peer_listener::serve_peers;
