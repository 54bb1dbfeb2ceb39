//! Patches that operators write in YAML.
//!
//! ```yaml
//! id: 2f8b3a52-5d8e-4c6a-9c1b-0a4f6c1d2e3f
//! base: 12
//! changes:
//!   - set_operator: {name: northlink, weight: 4, allowed_priority: high}
//!   - add_adapter:
//!       {name: notes, base_model: m-8b, operator: northlink, versions: [1, 2], default_version: 2}
//!   - set_adapter_priority: {name: notes, priority: high}
//!   - set_adapter_operator: {name: notes, operator: marcha}
//!   - remove_adapter: {name: old-notes}
//!   - set_service: {name: timetable, repeatable: true}
//! ```
//!
//! `replace_adapter` takes the fields of `add_adapter`; `remove_operator` and `remove_service` take
//! a name. Parsing reports every error, not only the first.

use std::fmt;

use decisions::units;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{DisplayFromStr, serde_as};
use snafu::{ResultExt, Snafu, ensure};
use uuid::Uuid;

use crate::{configuration, organisation, patch_parser, snapshot};

/// Largest patch text in bytes; the record derived from it must fit the log's record limit.
pub const MAX_TEXT_BYTES: usize = 192 * 1024;
/// Deepest nesting of a patch.
pub const MAX_DEPTH: usize = 8;
/// Largest number of changes in one patch.
pub const MAX_CHANGES: usize = 2_000;
/// Largest number of versions of one adapter.
pub const MAX_VERSIONS: usize = 64;
/// Longest name in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Largest weight of an operator.
pub const MAX_WEIGHT: u32 = 1_000;
/// Largest number of validation errors that are listed.
pub const MAX_VALIDATION_ERRORS: usize = 50;
const MAX_YAML_EVENTS: usize = 100_000;

/// Identifier of a patch, which makes it safe to send the patch again.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PatchId(#[serde_as(as = "DisplayFromStr")] pub Uuid);

/// Changes against a base version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    pub id: PatchId,
    /// Version that the changes were written against.
    pub base: u64,
    pub changes: Vec<ConfigurationChange>,
}

/// Values for fields that the text of a patch leaves out.
#[derive(Clone, Copy, Debug, Default)]
pub struct PatchDefaults {
    pub id: Option<Uuid>,
    pub base: Option<u64>,
}

/// One change of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationChange {
    AddAdapter(configuration::AdapterEntry),
    ReplaceAdapter(configuration::AdapterEntry),
    RemoveAdapter(RemovalTarget),
    SetAdapterPriority(AdapterPriority),
    SetAdapterOperator(AdapterOperator),
    SetOperator(configuration::OperatorEntry),
    RemoveOperator(RemovalTarget),
    SetService(configuration::ServiceEntry),
    RemoveService(RemovalTarget),
    SetOrganisation(organisation::OrganisationEntry),
    RemoveOrganisation(RemovalTarget),
}

/// Name of an entry to remove.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RemovalTarget {
    pub name: Box<str>,
}

/// New priority of an adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterPriority {
    pub name: Box<str>,
    pub priority: units::Priority,
}

/// New owner of an adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterOperator {
    pub name: Box<str>,
    pub operator: Box<str>,
}

/// One validation error of a patch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValidationError {
    /// Path of the field, for example `changes[2].add_adapter.versions`.
    pub path: String,
    pub problem: String,
    pub remedy: &'static str,
}

/// Validation errors of a patch in the order of the text, at most [`MAX_VALIDATION_ERRORS`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ValidationErrorList {
    errors: Vec<ValidationError>,
    omitted: usize,
}

/// Reason why a patch cannot be parsed.
#[derive(Debug, Snafu)]
pub enum PatchError {
    #[snafu(display(
        "the patch has {bytes} bytes and at most {MAX_TEXT_BYTES} are allowed; split it into several patches"
    ))]
    TooLarge { bytes: usize },
    #[snafu(display("the patch is not valid YAML: {source}; correct the text at this position"))]
    InvalidYaml {
        #[snafu(source(from(serde_saphyr::Error, Box::new)))]
        source: Box<serde_saphyr::Error>,
    },
    #[snafu(display("the patch is invalid:\n{errors}"))]
    Invalid { errors: ValidationErrorList },
}

impl Patch {
    /// Parses a patch and reports every error.
    ///
    /// # Errors
    /// [`PatchError`] when the text is too large, is not YAML or is invalid.
    pub fn from_yaml(text: &str) -> Result<Self, PatchError> {
        Self::from_yaml_with(text, &PatchDefaults::default())
    }

    /// Parses a patch whose id and base may be given as arguments.
    ///
    /// # Errors
    /// [`PatchError`] as for [`Self::from_yaml`], also when text and argument name different bases.
    pub fn from_yaml_with(text: &str, defaults: &PatchDefaults) -> Result<Self, PatchError> {
        let bytes = text.len();
        ensure!(bytes <= MAX_TEXT_BYTES, TooLargeSnafu { bytes });
        let mut root: Value =
            serde_saphyr::from_str_with_options(text, yaml_options()).context(InvalidYamlSnafu)?;
        let mut errors = ValidationErrorList::default();
        defaults.fill_missing_fields(&mut root, &mut errors);
        let patch = patch_parser::parse_patch(root, &mut errors);
        match patch {
            Some(patch) if errors.is_empty() => {
                let bytes = snapshot::encode_patch(&patch).len();
                ensure!(bytes <= snapshot::MAX_RECORD_BYTES, TooLargeSnafu { bytes });
                Ok(patch)
            }
            _ => InvalidSnafu { errors }.fail(),
        }
    }
}

impl PatchDefaults {
    /// Adds the fields that the text leaves out.
    fn fill_missing_fields(&self, root: &mut Value, errors: &mut ValidationErrorList) {
        let Some(fields) = root.as_object_mut() else {
            return;
        };
        if let Some(id) = self.id {
            fields.entry("id").or_insert_with(|| id.to_string().into());
        }
        let Some(base) = self.base else {
            return;
        };
        let given = fields.entry("base").or_insert_with(|| base.into());
        if given.as_u64() != Some(base) {
            let problem = format!("is {given}, but {base} was given as an argument");
            errors.push("base", problem, "write the patch against one version");
        }
    }
}

impl ValidationErrorList {
    /// Whether there are no errors.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// Errors in the order of the text.
    #[must_use]
    pub fn errors(&self) -> &[ValidationError] {
        &self.errors
    }

    /// Adds an error, or counts it as omitted when the list is full.
    pub fn push(
        &mut self,
        path: impl Into<String>,
        problem: impl Into<String>,
        remedy: &'static str,
    ) {
        if self.errors.len() >= MAX_VALIDATION_ERRORS {
            self.omitted += 1;
            return;
        }
        self.errors.push(ValidationError {
            path: path.into(),
            problem: problem.into(),
            remedy,
        });
    }
}

impl fmt::Display for ValidationErrorList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for error in &self.errors {
            writeln!(
                formatter,
                "{}: {}; {}",
                error.path, error.problem, error.remedy
            )?;
        }
        if self.omitted > 0 {
            writeln!(formatter, "and {} more", self.omitted)?;
        }
        Ok(())
    }
}

fn yaml_options() -> serde_saphyr::Options {
    serde_saphyr::options! {
        // An excerpt of the text could show a caller's key.
        with_snippet: false,
        budget: serde_saphyr::budget! {
            max_reader_input_bytes: Some(MAX_TEXT_BYTES),
            max_depth: MAX_DEPTH,
            max_events: MAX_YAML_EVENTS,
            max_nodes: MAX_YAML_EVENTS,
            max_total_scalar_bytes: MAX_TEXT_BYTES,
            // Anchors are refused: aliases could expand a small text without limit.
            max_anchors: 0,
            max_aliases: 0,
            max_documents: 1,
        },
    }
}
