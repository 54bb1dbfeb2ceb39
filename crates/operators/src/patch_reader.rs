//! Reads a patch from parsed YAML field by field, so that every fault is found.

use decisions::units;
use serde::de;
use serde_json::Value;

use crate::{configuration, patch};

/// Longest problem text of a fault in characters.
const MAX_PROBLEM_CHARS: usize = 200;

/// Reads the fields of one mapping and reports the faults of each.
struct FieldReader<'a> {
    path: String,
    fields: serde_json::Map<String, Value>,
    errors: &'a mut patch::ValidationErrorList,
}

impl<'a> FieldReader<'a> {
    fn open(path: &str, value: Value, errors: &'a mut patch::ValidationErrorList) -> Option<Self> {
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

    fn place(&self, name: &str) -> String {
        if self.path.is_empty() {
            return name.to_owned();
        }
        format!("{}.{name}", self.path)
    }

    fn fault(&mut self, name: &str, problem: String, remedy: &'static str) {
        let place = self.place(name);
        self.errors.push(place, problem, remedy);
    }

    fn required<T: de::DeserializeOwned>(&mut self, name: &str, remedy: &'static str) -> Option<T> {
        if !self.fields.contains_key(name) {
            self.fault(name, "is missing".to_owned(), remedy);
            return None;
        }
        self.optional(name, remedy)
    }

    fn optional<T: de::DeserializeOwned>(&mut self, name: &str, remedy: &'static str) -> Option<T> {
        let value = self.fields.remove(name)?;
        match serde_json::from_value(value) {
            Ok(value) => Some(value),
            Err(error) => {
                // The message may quote the value, which can be as long as the patch.
                let problem = error.to_string().chars().take(MAX_PROBLEM_CHARS).collect();
                self.fault(name, problem, remedy);
                None
            }
        }
    }

    fn name(&mut self, field: &str) -> Option<Box<str>> {
        let name: Box<str> = self.required(field, "write a name, in quotes if it is a number")?;
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./:".contains(&byte);
        if name.is_empty() || name.len() > patch::MAX_NAME_BYTES || !name.bytes().all(allowed) {
            self.fault(
                field,
                format!("the name of {} bytes is not allowed", name.len()),
                "use 1 to 128 ASCII letters, digits, `-`, `_`, `.`, `/` or `:`",
            );
            return None;
        }
        Some(name)
    }

    fn close(self) {
        let Self {
            path,
            fields,
            errors,
        } = self;
        for name in fields.keys() {
            let name: String = name.chars().take(patch::MAX_NAME_BYTES).collect();
            let place = if path.is_empty() {
                name
            } else {
                format!("{path}.{name}")
            };
            errors.push(
                place,
                "is not a known field",
                "remove it or correct its spelling",
            );
        }
    }
}

pub fn read_patch(root: Value, errors: &mut patch::ValidationErrorList) -> Option<patch::Patch> {
    let mut fields = FieldReader::open("", root, errors)?;
    let id = fields.required("id", "write a UUID, for example from `uuidgen`");
    let base = fields.required(
        "base",
        "write the current version, see `cowslipdeal status`",
    );
    let list: Option<Vec<Value>> = fields.required("changes", "write a list of changes");
    fields.close();
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
        changes.extend(read_change(index, value, errors));
    }
    Some(patch::Patch {
        id: id?,
        base: base?,
        changes,
    })
}

fn read_change(
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
    let mut fields = FieldReader::open(&format!("{path}.{kind}"), value, errors)?;
    let change = match kind.as_str() {
        "add_adapter" => read_adapter(&mut fields).map(patch::ConfigurationChange::AddAdapter),
        "replace_adapter" => {
            read_adapter(&mut fields).map(patch::ConfigurationChange::ReplaceAdapter)
        }
        "remove_adapter" => read_target(&mut fields).map(patch::ConfigurationChange::RemoveAdapter),
        "set_adapter_priority" => read_adapter_priority(&mut fields),
        "set_adapter_operator" => read_adapter_operator(&mut fields),
        "set_operator" => read_operator(&mut fields).map(patch::ConfigurationChange::SetOperator),
        "remove_operator" => {
            read_target(&mut fields).map(patch::ConfigurationChange::RemoveOperator)
        }
        "set_service" => read_service(&mut fields).map(patch::ConfigurationChange::SetService),
        "remove_service" => read_target(&mut fields).map(patch::ConfigurationChange::RemoveService),
        _ => {
            let remedy = "use add_adapter, replace_adapter, remove_adapter, set_adapter_priority, set_adapter_operator, set_operator, remove_operator, set_service or remove_service";
            errors.push(format!("{path}.{kind}"), "is not a kind of change", remedy);
            return None;
        }
    };
    fields.close();
    change
}

const PRIORITY_REMEDY: &str = "write low, normal or high";

fn read_adapter(fields: &mut FieldReader<'_>) -> Option<configuration::AdapterEntry> {
    let name = fields.name("name");
    let base_model = fields.name("base_model");
    let operator = fields.name("operator");
    let versions: Option<Vec<u32>> = fields.required(
        "versions",
        "write a list of whole numbers, for example [1, 2]",
    );
    let default_version = fields.required("default_version", "write one of `versions`");
    let given = fields.fields.contains_key("priority");
    let priority = fields.optional("priority", PRIORITY_REMEDY);
    let mut versions = versions?;
    versions.sort_unstable();
    versions.dedup();
    if versions.is_empty() || versions.len() > patch::MAX_VERSIONS {
        let problem = format!("has {} versions", versions.len());
        fields.fault("versions", problem, "write 1 to 64 versions");
        return None;
    }
    let default_version = default_version?;
    if versions.binary_search(&default_version).is_err() {
        let problem = format!("{default_version} is not in `versions`");
        fields.fault("default_version", problem, "write one of `versions`");
        return None;
    }
    Some(configuration::AdapterEntry {
        name: name?,
        base_model: base_model?.into(),
        operator: operator?.into(),
        versions: versions.into(),
        default_version,
        priority: if given {
            priority?
        } else {
            units::Priority::default()
        },
    })
}

fn read_target(fields: &mut FieldReader<'_>) -> Option<patch::RemovalTarget> {
    fields
        .name("name")
        .map(|name| patch::RemovalTarget { name })
}

fn read_adapter_priority(fields: &mut FieldReader<'_>) -> Option<patch::ConfigurationChange> {
    let name = fields.name("name");
    let priority = fields.required("priority", PRIORITY_REMEDY);
    Some(patch::ConfigurationChange::SetAdapterPriority(
        patch::AdapterPriority {
            name: name?,
            priority: priority?,
        },
    ))
}

fn read_adapter_operator(fields: &mut FieldReader<'_>) -> Option<patch::ConfigurationChange> {
    let name = fields.name("name");
    let operator = fields.name("operator");
    Some(patch::ConfigurationChange::SetAdapterOperator(
        patch::AdapterOperator {
            name: name?,
            operator: operator?,
        },
    ))
}

fn read_operator(fields: &mut FieldReader<'_>) -> Option<configuration::OperatorEntry> {
    let name = fields.name("name");
    let weight = fields.required("weight", "write a whole number from 1 to 1,000");
    let allowed_priority = fields.required("allowed_priority", PRIORITY_REMEDY);
    let weight = weight?;
    if !(1..=patch::MAX_WEIGHT).contains(&weight) {
        let problem = format!("{weight} is out of range");
        fields.fault("weight", problem, "write a whole number from 1 to 1,000");
        return None;
    }
    Some(configuration::OperatorEntry {
        name: name?,
        weight,
        allowed_priority: allowed_priority?,
    })
}

fn read_service(fields: &mut FieldReader<'_>) -> Option<configuration::ServiceEntry> {
    let name = fields.name("name");
    let repeatable = fields.required("repeatable", "write true or false");
    Some(configuration::ServiceEntry {
        name: name?,
        repeatable: repeatable?,
    })
}
