//! Guards a reload against a file that was cut short and still parses: it must have the keys of the running
//! configuration.

use serde_json::Value;

/// The one key that may come and go.
const OPTIONAL_KEY: &str = "AimStretch";
/// The objects whose keys are compared.
const COMPARED_OBJECTS: [&str; 3] = ["", "/settings", "/limits"];

/// The first key that the running configuration has and a new one lacks: at the top, in `settings`, in
/// `limits` and in each request class. A class that is new must have the keys that all others had.
pub(super) fn first_missing_key(running: &Value, new: &Value) -> Option<String> {
    for pointer in COMPARED_OBJECTS {
        // What the running configuration does not have is not required; the other objects are compared all the same.
        let required = running.pointer(pointer).map(keys).unwrap_or_default();
        let found = new.pointer(pointer);
        let missing = required
            .into_iter()
            .find(|key| found.is_none_or(|found| found.get(key).is_none()));
        if let Some(key) = missing {
            return Some(dotted(&format!("{pointer}/{key}")));
        }
    }
    first_missing_class_key(running, new)
}

fn first_missing_class_key(running: &Value, new: &Value) -> Option<String> {
    let running_classes = request_classes(running);
    let common = common_keys(running_classes)?;
    for (index, class) in request_classes(new).iter().enumerate() {
        let name = class.get("Name");
        let same = running_classes
            .iter()
            .find(|running| running.get("Name") == name);
        let required = same.map_or_else(|| common.clone(), keys);
        if let Some(key) = required.iter().find(|key| class.get(key).is_none()) {
            return Some(format!("settings.Categories.{index}.{key}"));
        }
    }
    None
}

/// The keys that all request classes have; none where there is no class.
fn common_keys(classes: &[Value]) -> Option<Vec<String>> {
    let mut common = keys(classes.first()?);
    common.retain(|key| classes.iter().all(|class| class.get(key).is_some()));
    Some(common)
}

fn request_classes(document: &Value) -> &[Value] {
    let classes = document.pointer("/settings/Categories");
    classes.and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// The keys of an object that must be there again.
fn keys(object: &Value) -> Vec<String> {
    let names = object.as_object().into_iter().flat_map(|map| map.keys());
    names.filter(|key| *key != OPTIONAL_KEY).cloned().collect()
}

/// A JSON pointer as operators write a key's path.
fn dotted(pointer: &str) -> String {
    pointer.trim_start_matches('/').replace('/', ".")
}
