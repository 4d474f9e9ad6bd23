//! The published schemas are the ones that the code checks with.

use std::path::Path;

use syc_config::schemas;

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
            "{file} is stale: run `cargo run -p syc-config --example schema -- docs/schema`"
        );
        names.push(file);
    }
    for entry in std::fs::read_dir(&directory).expect("directory") {
        let file = entry.expect("entry").file_name();
        let file = file.to_string_lossy().into_owned();
        assert!(names.contains(&file), "{file} describes nothing");
    }
}
