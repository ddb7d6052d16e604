//! The example files are valid and have the sizes that their comments state.

use std::fs;
use std::path::Path;

use cowslipport_lib::config::Manifest;
use cowslipport_lib::settings::Settings;
use sha2::Digest;
use sha2::Sha256;

fn read(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name);
    fs::read_to_string(path).expect("the example exists")
}

fn manifest(name: &str) -> Manifest {
    Manifest::from_toml(&read(name)).expect("the example is valid")
}

/// Guards against examples that no longer match the schema.
#[test]
fn examples_are_valid() {
    for (user, data_centres) in [("predah", 4), ("prairie", 3)] {
        let manifest = manifest(&format!("{user}/manifest.toml"));
        assert_eq!(manifest.data_centres.len(), data_centres);
        assert_eq!(manifest.pools.values().filter(|pool| !pool.spare).count(), 5);
        assert_eq!(manifest.pools.values().filter(|pool| pool.spare).count(), 1);
        assert_eq!(manifest.budgets.len(), 6);
        assert_eq!(manifest.organisations.len(), 6);
        assert_eq!(manifest.waves.len(), 1);
        let settings = Settings::from_toml(&read(&format!("{user}/settings.toml")))
            .expect("the example is valid");
        assert!(manifest.data_centres.contains_key(&settings.data_centre));
    }
    manifest("demo.toml");
}

/// Guards against example keys that their organisation's hash does not match.
#[test]
fn documented_keys_have_the_hashes_of_the_examples() {
    for (user, name) in [
        ("predah", "predah/manifest.toml"),
        ("prairie", "prairie/manifest.toml"),
        ("demo", "demo.toml"),
    ] {
        for organisation in manifest(name).organisations.values() {
            let key = format!("{user}-{}-example-key", organisation.name);
            assert_eq!(organisation.keys[0].sha256, <[u8; 32]>::from(Sha256::digest(&key)));
            assert!(read(name).contains(&key));
        }
    }
}
