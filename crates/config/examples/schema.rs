//! Writes the published schemas and the page of settings:
//! `cargo run -p syc-config --example schema -- docs/schema docs/SETTINGS.md`.

use std::path::PathBuf;

use syc_config::schemas;
use syc_config::settings_page;

fn main() -> std::io::Result<()> {
    let mut paths = std::env::args_os().skip(1).map(PathBuf::from);
    let directory = paths.next().unwrap_or_else(|| "docs/schema".into());
    let page = paths.next().unwrap_or_else(|| "docs/SETTINGS.md".into());
    for named in schemas() {
        let path = directory.join(format!("{}.json", named.name));
        std::fs::write(path, format!("{:#}\n", named.schema))?;
    }
    std::fs::write(page, settings_page())
}
