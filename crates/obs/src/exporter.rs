//! What all metrics of a process share: the registry behind them and the page that is scraped.

use std::fmt;

use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::process_collector::ProcessCollector;

/// Keeps metrics with opentelemetry and shows them in the Prometheus text form.
pub(crate) struct Exporter {
    registry: Registry,
    _provider: SdkMeterProvider,
}

impl fmt::Debug for Exporter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Exporter").finish_non_exhaustive()
    }
}

impl Exporter {
    /// Makes one, with the figures of the process itself, and the meter to register with.
    pub(crate) fn new() -> (Self, Meter) {
        let registry = Registry::new();
        // Without the collector, only the process's own figures are missing.
        let _registered = registry.register(Box::new(ProcessCollector::for_self()));
        let mut builder = SdkMeterProvider::builder();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build();
        if let Ok(exporter) = exporter {
            builder = builder.with_reader(exporter);
        }
        let provider = builder.build();
        let meter = provider.meter("sycamorespur");
        let exporter = Self {
            registry,
            _provider: provider,
        };
        (exporter, meter)
    }

    /// Returns the page as it is now.
    pub(crate) fn page(&self) -> String {
        let families = self.registry.gather();
        let encoded = TextEncoder::new().encode_to_string(&families);
        encoded.unwrap_or_default()
    }
}
