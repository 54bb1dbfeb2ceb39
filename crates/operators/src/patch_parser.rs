//! Parses the fields of a patch one by one, so that every error is reported.

use decisions::{caller_key, units};
use serde::de;
use serde_json::Value;

use crate::{configuration, organisation, patch};

/// Longest problem text of a validation error, in characters.
const MAX_PROBLEM_CHARS: usize = 200;

/// Parses the fields of one mapping and reports the errors of each.
struct FieldParser<'a> {
    path: String,
    fields: serde_json::Map<String, Value>,
    errors: &'a mut patch::ValidationErrorList,
}

impl<'a> FieldParser<'a> {
    fn from_value(
        path: &str,
        value: Value,
        errors: &'a mut patch::ValidationErrorList,
    ) -> Option<Self> {
        let Value::Object(fields) = value else {
            errors.push(path, "is not a mapping", "write `field: value` pairs");
            return None;
        };
        Some(Self {
            path: path.to_owned(),
            fields,
            errors,
        })
    }

    fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() {
            return name.to_owned();
        }
        format!("{}.{name}", self.path)
    }

    fn push_error(&mut self, name: &str, problem: String, remedy: &'static str) {
        let path = self.field_path(name);
        self.errors.push(path, problem, remedy);
    }

    fn parse_required<T: de::DeserializeOwned>(
        &mut self,
        name: &str,
        remedy: &'static str,
    ) -> Option<T> {
        if !self.fields.contains_key(name) {
            self.push_error(name, "is missing".to_owned(), remedy);
            return None;
        }
        self.parse_optional(name, remedy)
    }

    fn parse_optional<T: de::DeserializeOwned>(
        &mut self,
        name: &str,
        remedy: &'static str,
    ) -> Option<T> {
        let value = self.fields.remove(name)?;
        match serde_json::from_value(value) {
            Ok(value) => Some(value),
            Err(error) => {
                // The message may quote the value, which can be as long as the whole patch.
                let problem = error.to_string().chars().take(MAX_PROBLEM_CHARS).collect();
                self.push_error(name, problem, remedy);
                None
            }
        }
    }

    fn parse_name(&mut self, field: &str) -> Option<Box<str>> {
        let name: Box<str> =
            self.parse_required(field, "write a name, in quotes if it is a number")?;
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./:".contains(&byte);
        if name.is_empty() || name.len() > patch::MAX_NAME_BYTES || !name.bytes().all(allowed) {
            self.push_error(
                field,
                format!("the name of {} bytes is not allowed", name.len()),
                "use 1 to 128 ASCII letters, digits, `-`, `_`, `.`, `/` or `:`",
            );
            return None;
        }
        Some(name)
    }

    /// Parses keys of callers. No message quotes a value, which may be a key.
    fn parse_keys(&mut self, field: &str) -> Option<Box<[caller_key::CallerKey]>> {
        const REMEDY: &str = "write a list of 1 to 64 keys in quotes";
        let values = match self.fields.remove(field) {
            Some(Value::Array(values)) if (1..=organisation::MAX_KEYS).contains(&values.len()) => {
                values
            }
            Some(_) => {
                self.push_error(field, "is not a list of 1 to 64 keys".to_owned(), REMEDY);
                return None;
            }
            None => {
                self.push_error(field, "is missing".to_owned(), REMEDY);
                return None;
            }
        };
        let mut keys = Vec::with_capacity(values.len());
        for (index, value) in values.iter().enumerate() {
            let key = value.as_str().map(caller_key::CallerKey::new);
            match key.filter(organisation::is_valid_key) {
                Some(key) => keys.push(key),
                None => self.push_error(
                    &format!("{field}[{index}]"),
                    "is not a key".to_owned(),
                    "write 16 to 256 visible ASCII characters without spaces, in quotes",
                ),
            }
        }
        keys.sort_unstable();
        keys.dedup();
        (!keys.is_empty()).then(|| keys.into())
    }

    fn reject_unknown_fields(self) {
        let Self {
            path,
            fields,
            errors,
        } = self;
        for name in fields.keys() {
            let name: String = name.chars().take(patch::MAX_NAME_BYTES).collect();
            let field_path = if path.is_empty() {
                name
            } else {
                format!("{path}.{name}")
            };
            errors.push(
                field_path,
                "is not a known field",
                "remove it or correct its spelling",
            );
        }
    }
}

pub fn parse_patch(root: Value, errors: &mut patch::ValidationErrorList) -> Option<patch::Patch> {
    let mut fields = FieldParser::from_value("", root, errors)?;
    let id = fields.parse_required("id", "write a UUID, for example from `uuidgen`");
    let base = fields.parse_required(
        "base",
        "write the current version, see `cowslipdeal status`",
    );
    let list: Option<Vec<Value>> = fields.parse_required("changes", "write a list of changes");
    fields.reject_unknown_fields();
    let list = list?;
    if list.is_empty() || list.len() > patch::MAX_CHANGES {
        let problem = format!("has {} changes", list.len());
        errors.push(
            "changes",
            problem,
            "write 1 to 2,000 changes; split larger patches",
        );
        return None;
    }
    let mut changes = Vec::with_capacity(list.len());
    for (index, value) in list.into_iter().enumerate() {
        changes.extend(parse_change(index, value, errors));
    }
    Some(patch::Patch {
        id: id?,
        base: base?,
        changes,
    })
}

fn parse_change(
    index: usize,
    value: Value,
    errors: &mut patch::ValidationErrorList,
) -> Option<patch::ConfigurationChange> {
    const REMEDY: &str =
        "write one change per list item, for example `remove_adapter: {name: notes}`";
    let path = format!("changes[{index}]");
    let Value::Object(fields) = value else {
        errors.push(path, "is not a mapping", REMEDY);
        return None;
    };
    if fields.len() != 1 {
        errors.push(
            path,
            format!("has {} kinds of change", fields.len()),
            REMEDY,
        );
        return None;
    }
    let (kind, value) = fields.into_iter().next()?;
    let kind: String = kind.chars().take(patch::MAX_NAME_BYTES).collect();
    let mut fields = FieldParser::from_value(&format!("{path}.{kind}"), value, errors)?;
    let change = match kind.as_str() {
        "add_adapter" => parse_adapter(&mut fields).map(patch::ConfigurationChange::AddAdapter),
        "replace_adapter" => {
            parse_adapter(&mut fields).map(patch::ConfigurationChange::ReplaceAdapter)
        }
        "remove_adapter" => {
            parse_target(&mut fields).map(patch::ConfigurationChange::RemoveAdapter)
        }
        "set_adapter_priority" => parse_adapter_priority(&mut fields),
        "set_adapter_operator" => parse_adapter_operator(&mut fields),
        "set_operator" => parse_operator(&mut fields).map(patch::ConfigurationChange::SetOperator),
        "remove_operator" => {
            parse_target(&mut fields).map(patch::ConfigurationChange::RemoveOperator)
        }
        "set_service" => parse_service(&mut fields).map(patch::ConfigurationChange::SetService),
        "remove_service" => {
            parse_target(&mut fields).map(patch::ConfigurationChange::RemoveService)
        }
        "set_organisation" => {
            parse_organisation(&mut fields).map(patch::ConfigurationChange::SetOrganisation)
        }
        "remove_organisation" => {
            parse_target(&mut fields).map(patch::ConfigurationChange::RemoveOrganisation)
        }
        _ => {
            let remedy = "use add_adapter, replace_adapter, remove_adapter, set_adapter_priority, set_adapter_operator, set_operator, remove_operator, set_service, remove_service, set_organisation or remove_organisation";
            errors.push(format!("{path}.{kind}"), "is not a kind of change", remedy);
            return None;
        }
    };
    fields.reject_unknown_fields();
    change
}

const PRIORITY_REMEDY: &str = "write low, normal or high";

fn parse_adapter(fields: &mut FieldParser<'_>) -> Option<configuration::AdapterEntry> {
    let name = fields.parse_name("name");
    let base_model = fields.parse_name("base_model");
    let operator = fields.parse_name("operator");
    let versions: Option<Vec<u32>> = fields.parse_required(
        "versions",
        "write a list of whole numbers, for example [1, 2]",
    );
    let default_version = fields.parse_required("default_version", "write one of `versions`");
    let has_priority = fields.fields.contains_key("priority");
    let priority = fields.parse_optional("priority", PRIORITY_REMEDY);
    let mut versions = versions?;
    versions.sort_unstable();
    versions.dedup();
    if versions.is_empty() || versions.len() > patch::MAX_VERSIONS {
        let problem = format!("has {} versions", versions.len());
        fields.push_error("versions", problem, "write 1 to 64 versions");
        return None;
    }
    let default_version = default_version?;
    if versions.binary_search(&default_version).is_err() {
        let problem = format!("{default_version} is not in `versions`");
        fields.push_error("default_version", problem, "write one of `versions`");
        return None;
    }
    Some(configuration::AdapterEntry {
        name: name?,
        base_model: base_model?.into(),
        operator: operator?.into(),
        versions: versions.into(),
        default_version,
        priority: if has_priority {
            priority?
        } else {
            units::Priority::default()
        },
    })
}

fn parse_target(fields: &mut FieldParser<'_>) -> Option<patch::RemovalTarget> {
    fields
        .parse_name("name")
        .map(|name| patch::RemovalTarget { name })
}

fn parse_adapter_priority(fields: &mut FieldParser<'_>) -> Option<patch::ConfigurationChange> {
    let name = fields.parse_name("name");
    let priority = fields.parse_required("priority", PRIORITY_REMEDY);
    Some(patch::ConfigurationChange::SetAdapterPriority(
        patch::AdapterPriority {
            name: name?,
            priority: priority?,
        },
    ))
}

fn parse_adapter_operator(fields: &mut FieldParser<'_>) -> Option<patch::ConfigurationChange> {
    let name = fields.parse_name("name");
    let operator = fields.parse_name("operator");
    Some(patch::ConfigurationChange::SetAdapterOperator(
        patch::AdapterOperator {
            name: name?,
            operator: operator?,
        },
    ))
}

fn parse_operator(fields: &mut FieldParser<'_>) -> Option<configuration::OperatorEntry> {
    let name = fields.parse_name("name");
    let weight = fields.parse_required("weight", "write a whole number from 1 to 1,000");
    let allowed_priority = fields.parse_required("allowed_priority", PRIORITY_REMEDY);
    let weight = weight?;
    if !(1..=patch::MAX_WEIGHT).contains(&weight) {
        let problem = format!("{weight} is out of range");
        fields.push_error("weight", problem, "write a whole number from 1 to 1,000");
        return None;
    }
    Some(configuration::OperatorEntry {
        name: name?,
        weight,
        allowed_priority: allowed_priority?,
    })
}

fn parse_service(fields: &mut FieldParser<'_>) -> Option<configuration::ServiceEntry> {
    let name = fields.parse_name("name");
    let repeatable = fields.parse_required("repeatable", "write true or false");
    Some(configuration::ServiceEntry {
        name: name?,
        repeatable: repeatable?,
    })
}

fn parse_organisation(fields: &mut FieldParser<'_>) -> Option<organisation::OrganisationEntry> {
    let name = fields.parse_name("name");
    let keys = fields.parse_keys("keys");
    Some(organisation::OrganisationEntry {
        name: name?,
        keys: keys?,
    })
}
