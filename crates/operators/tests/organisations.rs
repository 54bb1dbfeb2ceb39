//! Organisations and their keys in patches and snapshots.

use std::sync::Arc;

use decisions::caller_key::CallerKey;
use operators::{check, configuration::Configuration, patch, snapshot};
use test_case::test_case;

const HEADER: &str = "id: 2f8b3a52-5d8e-4c6a-9c1b-0a4f6c1d2e3f\nbase: 0\nchanges:\n";
const KEY: &str = "quiet-harbour-0001";
const OTHER_KEY: &str = "quiet-harbour-0002";

fn parse(changes: &str) -> Result<patch::Patch, patch::PatchError> {
    patch::Patch::from_yaml(&format!("{HEADER}{changes}"))
}

fn set(name: &str, keys: &[&str]) -> String {
    let keys = keys.join(", ");
    format!("  - set_organisation: {{name: {name}, keys: [{keys}]}}\n")
}

fn apply(state: &mut Configuration, changes: &str) {
    let patch = parse(changes).unwrap();
    let errors = check::check_patch(state, &patch);
    assert!(errors.is_empty(), "{errors}");
    state.apply(&patch.changes);
}

// Guards against an organisation that a patch, a snapshot or a removal loses or keeps by mistake.
#[test]
fn organisations_are_set_kept_in_snapshots_and_removed() {
    let mut state = Configuration::default();
    apply(&mut state, &set("north", &[OTHER_KEY, KEY]));
    let snapshot = snapshot::Snapshot {
        as_of: 1,
        configuration: Arc::new(state.clone()),
        recent: Vec::new(),
    };
    let image = snapshot::encode_image(&snapshot);
    let decoded = snapshot::decode_image(&image).unwrap();
    assert_eq!(*decoded.configuration, state);
    assert!(state.organisations()[0].has_key(&CallerKey::new(KEY)));
    assert!(!format!("{state:?}").contains("harbour"));

    // A key may move to another organisation in one patch.
    let moved = set("north", &[OTHER_KEY]) + &set("south", &[KEY]);
    apply(&mut state, &moved);
    assert!(state.organisations()[1].has_key(&CallerKey::new(KEY)));
    apply(&mut state, "  - remove_organisation: {name: north}\n");
    assert_eq!(state.organisations().len(), 1);
}

// Guards against a configuration in which everyone may call because its last organisation was removed.
#[test]
fn callers_need_keys_after_the_last_organisation_is_removed() {
    let mut state = Configuration::default();
    assert!(!state.requires_keys());
    apply(&mut state, &set("north", &[KEY]));
    apply(&mut state, "  - remove_organisation: {name: north}\n");
    assert!(state.organisations().is_empty() && state.requires_keys());
    let snapshot = snapshot::Snapshot {
        as_of: 1,
        configuration: Arc::new(state),
        recent: Vec::new(),
    };
    let image = snapshot::encode_image(&snapshot);
    let decoded = snapshot::decode_image(&image).unwrap();
    assert_eq!(decoded, snapshot);
    assert!(decoded.configuration.requires_keys());
}

// Guards against an older process' snapshot that cannot be read because it has no organisations.
#[test]
fn snapshot_without_organisations_is_read() {
    let state = "{\"as_of\":0,\"recent\":[],\"configuration\":\
                 {\"version\":3,\"adapters\":[],\"operators\":[],\"services\":[]}}";
    let image = snapshot::EncodedImage {
        version: 3,
        as_of: 0,
        state: state.as_bytes().to_vec(),
    };
    let decoded = snapshot::decode_image(&image).unwrap();
    assert!(decoded.configuration.organisations().is_empty());
    assert!(!decoded.configuration.requires_keys());
}

// Guards against keys that identify nobody or that can be guessed, and against errors that show one.
#[test_case("keys: []", "keys"; "no key")]
#[test_case("keys: quiet-harbour-0001", "keys"; "text for a list")]
#[test_case("keys: [1234567890123456]", "keys[0]"; "number")]
#[test_case("keys: [short-harbour]", "keys[0]"; "too short")]
#[test_case("keys: ['quiet harbour 0001']", "keys[0]"; "spaces")]
#[test_case("", "keys"; "missing")]
fn invalid_keys_are_errors(keys: &str, field: &str) {
    let text = format!("  - set_organisation: {{name: north, {keys}}}\n");
    let error = parse(&text).unwrap_err().to_string();
    let path = format!("changes[0].set_organisation.{field}: ");
    assert!(error.contains(&path), "{error}");
    assert!(
        !error.contains("harbour") && !error.contains("1234567890"),
        "{error}"
    );
}

// Guards against a syntax error whose excerpt shows a key.
#[test]
fn syntax_error_shows_no_key() {
    let error = parse(&set("north", &[KEY, "]"])).unwrap_err().to_string();
    assert!(!error.contains("harbour"), "{error}");
}

// Guards against two organisations with one key, and a removal of an unknown one.
#[test]
fn inapplicable_organisations_are_reported() {
    let shared = set("north", &[KEY]) + &set("south", &[KEY]);
    let unknown = "  - remove_organisation: {name: north}\n";
    for (changes, problem) in [(shared.as_str(), "same key"), (unknown, "not configured")] {
        let errors = check::check_patch(&Configuration::default(), &parse(changes).unwrap());
        let shown = errors.to_string();
        assert!(
            shown.contains(problem) && !shown.contains("harbour"),
            "{shown}"
        );
    }
}
