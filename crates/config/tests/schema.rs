//! The published schemas and the page of settings are made from the code.

use std::path::Path;

use syc_config::schemas;
use syc_config::settings_page;

/// Command that writes the files again.
const REMEDY: &str = "cargo run -p syc-config --example schema -- docs/schema docs/SETTINGS.md";

#[test]
fn the_page_of_settings_matches_the_code() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let page = std::fs::read_to_string(docs.join("SETTINGS.md")).unwrap_or_default();
    assert!(
        page == settings_page(),
        "docs/SETTINGS.md is stale: run `{REMEDY}`"
    );
    assert!(page.contains("| `peers[].address` |"), "{page}");
}

#[test]
fn published_schemas_match_the_code() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/schema");
    let mut names = Vec::new();
    for named in schemas() {
        let file = format!("{}.json", named.name);
        let published = std::fs::read_to_string(directory.join(&file));
        let published = published.unwrap_or_default();
        assert_eq!(
            published,
            format!("{:#}\n", named.schema),
            "docs/schema/{file} is stale: run `{REMEDY}`"
        );
        names.push(file);
    }
    for entry in std::fs::read_dir(&directory).expect("directory") {
        let file = entry.expect("entry").file_name();
        let file = file.to_string_lossy().into_owned();
        assert!(names.contains(&file), "{file} describes nothing");
    }
}
