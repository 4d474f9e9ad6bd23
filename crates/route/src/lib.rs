//! Routing decisions for callers' requests: which endpoint, and what may be repeated.

mod endpoints;
mod once;

pub use endpoints::EndpointInfo;
pub use endpoints::EndpointKey;
pub use endpoints::Endpoints;
pub use once::Kept;
pub use once::Once;
pub use once::OnceAnswer;
