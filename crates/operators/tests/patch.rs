//! Parsing and validation of patches.

use operators::{check, configuration::Configuration, patch};
use proptest::prelude::*;
use test_case::test_case;

const HEADER: &str = "id: 2f8b3a52-5d8e-4c6a-9c1b-0a4f6c1d2e3f\nbase: 12\nchanges:\n";

fn validation_errors(text: &str) -> Vec<(String, String)> {
    match patch::Patch::from_yaml(text) {
        Err(patch::PatchError::Invalid { errors }) => errors
            .errors()
            .iter()
            .map(|error| (error.path.clone(), error.remedy.to_owned()))
            .collect(),
        other => panic!("expected validation errors, got {other:?}"),
    }
}

// Guards against a field that is parsed into the wrong field or dropped.
#[test]
fn every_kind_of_change_is_parsed_and_applied() {
    let text = format!(
        "{HEADER}
  - set_operator: {{name: northlink, weight: 4, allowed_priority: high}}
  - set_operator: {{name: marcha, weight: 1, allowed_priority: normal}}
  - add_adapter: {{name: notes, base_model: m-8b, operator: northlink, versions: [2, 1], default_version: 2}}
  - add_adapter: {{name: old, base_model: m-8b, operator: northlink, versions: [1], default_version: 1, priority: low}}
  - replace_adapter: {{name: old, base_model: m-3b, operator: northlink, versions: [3], default_version: 3}}
  - set_adapter_priority: {{name: notes, priority: high}}
  - set_adapter_operator: {{name: notes, operator: marcha}}
  - remove_adapter: {{name: old}}
  - remove_operator: {{name: northlink}}
  - set_service: {{name: timetable, repeatable: true}}
  - set_service: {{name: billing, repeatable: false}}
  - remove_service: {{name: timetable}}
"
    );
    let patch = patch::Patch::from_yaml(&text).unwrap();
    assert_eq!((patch.base, patch.changes.len()), (12, 12));
    let mut state = Configuration::default();
    let list = check::check_patch(&state, &patch);
    assert!(list.is_empty(), "{list}");
    state.apply(&patch.changes);
    assert_eq!(state.version(), 1);
    assert_eq!(state.adapters().len(), 1);
    let notes = state.adapter("notes").unwrap();
    assert_eq!(
        (&*notes.operator, &*notes.versions),
        ("marcha", &[1, 2][..])
    );
    assert_eq!(state.resolve("notes", None).unwrap().version, 2);
    assert!(state.resolve("notes", Some(3)).is_err());
    assert!(state.operator("northlink").is_none());
    assert!(!state.service("billing").unwrap().repeatable);
}

// Guards against a report that stops at the first error, which costs the operator one attempt per
// error.
#[test]
fn every_error_has_a_path_and_a_remedy() {
    let text = "id: 7\nversion: 3\nchanges:
  - add_adapter: {name: a b, base_model: m, operator: o, versions: [1], default_version: 4, colour: red}
  - set_operator: {name: o, weight: 0, allowed_priority: urgent}
  - grow: {name: a}
  - remove_adapter: {}
  - [1]
";
    let list = validation_errors(text);
    let paths: Vec<&str> = list.iter().map(|(path, _)| path.as_str()).collect();
    let expected = [
        "id",
        "base",
        "version",
        "changes[0].add_adapter.name",
        "changes[0].add_adapter.default_version",
        "changes[0].add_adapter.colour",
        "changes[1].set_operator.allowed_priority",
        "changes[1].set_operator.weight",
        "changes[2].grow",
        "changes[3].remove_adapter.name",
        "changes[4]",
    ];
    assert_eq!(paths, expected);
    assert!(list.iter().all(|(_, remedy)| !remedy.is_empty()));
}

// Guards against a text that takes unbounded memory or time to parse.
#[test_case(&"x".repeat(10_000_000), "patch has 10000000 bytes"; "huge")]
#[test_case(&"[".repeat(5_000), "not valid YAML"; "deep")]
#[test_case("a: &a [1, 1]\nb: &b [*a, *a]\nc: [*b, *b]", "not valid YAML"; "aliases")]
#[test_case("id: 1\nid: 2", "not valid YAML"; "duplicate key")]
#[test_case("a: 1\n---\nb: 2", "not valid YAML"; "two documents")]
#[test_case("", "patch is invalid"; "empty")]
fn malformed_texts_are_rejected(text: &str, expected: &str) {
    let message = patch::Patch::from_yaml(text).unwrap_err().to_string();
    assert!(message.contains(expected), "{message}");
    assert!(message.len() < 20_000, "{} bytes", message.len());
}

// Guards against a base on the command line that silently overrides the one in the text.
#[test]
fn base_argument_fills_but_never_overrides_the_base() {
    let id = uuid::Uuid::from_u128(7);
    let defaults = patch::PatchDefaults {
        id: Some(id),
        base: Some(3),
    };
    let changes = "changes: [{remove_adapter: {name: notes}}]";
    let patch = patch::Patch::from_yaml_with(changes, &defaults).unwrap();
    let conflicting = patch::Patch::from_yaml_with(&format!("base: 2\n{changes}"), &defaults);
    assert_eq!((patch.id.0, patch.base), (id, 3));
    let message = conflicting.unwrap_err().to_string();
    assert!(message.contains("base: is 2, but 3 was given"), "{message}");
}

// Guards against an unbounded list of errors or changes.
#[test]
fn lists_of_errors_and_changes_are_bounded() {
    let many = format!("{HEADER}{}", "  - grow: {}\n".repeat(1_000));
    let error = patch::Patch::from_yaml(&many).unwrap_err().to_string();
    assert!(error.contains("and 950 more"), "{error}");
    let more = format!("{HEADER}{}", "  - {a: 1}\n".repeat(patch::MAX_CHANGES + 1));
    assert_eq!(validation_errors(&more)[0].0, "changes");
}

// Guards against publishing a patch whose changes would be skipped silently.
#[test_case(
    "add_adapter: {name: a, base_model: m, operator: nobody, versions: [1], default_version: 1}"
)]
#[test_case(
    "replace_adapter: {name: a, base_model: m, operator: nobody, versions: [1], default_version: 1}"
)]
#[test_case("remove_adapter: {name: a}")]
#[test_case("set_adapter_priority: {name: a, priority: low}")]
#[test_case("set_adapter_operator: {name: a, operator: o}")]
#[test_case("remove_operator: {name: o}")]
#[test_case("remove_service: {name: s}")]
fn inapplicable_changes_are_reported(change: &str) {
    let patch = patch::Patch::from_yaml(&format!("{HEADER}  - {change}\n")).unwrap();
    assert!(!check::check_patch(&Configuration::default(), &patch).is_empty());
}

proptest! {
    // Guards against a panic on malformed text.
    #[test]
    fn malformed_patches_never_panic(cut in 0_usize..200, insert in "[\\PC\n\t]{0,20}") {
        let text = format!("{HEADER}  - set_operator: {{name: n, weight: 4, allowed_priority: high}}\n  - remove_adapter: {{name: a}}\n");
        let at = cut.min(text.len());
        let malformed = format!("{}{insert}{}", &text[..at], &text[at..]);
        if let Err(error) = patch::Patch::from_yaml(&malformed) {
            prop_assert!(!error.to_string().is_empty());
        }
    }

    // Guards against a panic on records written by another program.
    #[test]
    fn arbitrary_records_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300), patch in any::<bool>()) {
        let head: &[u8] = if patch { b"\"patch\"\n" } else { b"" };
        let _ = operators::snapshot::decode_record(&[head, &bytes].concat());
    }
}
