//! Writes the published schemas: `cargo run -p syc-config --example schema -- docs/schema`.

use std::path::PathBuf;

use syc_config::schemas;

fn main() -> std::io::Result<()> {
    let directory = std::env::args_os().nth(1).map(PathBuf::from);
    let directory = directory.unwrap_or_else(|| PathBuf::from("docs/schema"));
    for named in schemas() {
        let path = directory.join(format!("{}.json", named.name));
        std::fs::write(path, format!("{:#}\n", named.schema))?;
    }
    Ok(())
}
