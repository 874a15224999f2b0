//! Rejects a reload whose file lacks keys of the running configuration, such as a truncated file that still parses.

use serde_json::Value;

/// The only key that a reload may remove.
const OPTIONAL_KEY: &str = "AimStretch";
/// JSON pointers of the objects whose keys are compared.
const COMPARED_OBJECTS: [&str; 3] = ["", "/settings", "/limits"];

/// Returns the path of the first key that the running configuration has and the new one lacks: at the top level, in
/// `settings`, in `limits` and in each request class. A new request class must have the keys common to all running
/// classes.
pub(super) fn first_missing_key(running: &Value, new: &Value) -> Option<String> {
    for pointer in COMPARED_OBJECTS {
        // An object that the running configuration lacks requires no keys.
        let required = running.pointer(pointer).map(keys).unwrap_or_default();
        let found = new.pointer(pointer);
        let missing = required
            .into_iter()
            .find(|key| found.is_none_or(|found| found.get(key).is_none()));
        if let Some(key) = missing {
            return Some(dotted_path(&format!("{pointer}/{key}")));
        }
    }
    first_missing_class_key(running, new)
}

fn first_missing_class_key(running: &Value, new: &Value) -> Option<String> {
    let running_classes = request_classes(running);
    let common = common_keys(running_classes)?;
    for (index, class) in request_classes(new).iter().enumerate() {
        let name = class.get("Name");
        let running_class = running_classes
            .iter()
            .find(|running| running.get("Name") == name);
        let required = running_class.map_or_else(|| common.clone(), keys);
        if let Some(key) = required.iter().find(|key| class.get(key).is_none()) {
            return Some(format!("settings.Categories.{index}.{key}"));
        }
    }
    None
}

/// The keys that all request classes have; `None` if there are no classes.
fn common_keys(classes: &[Value]) -> Option<Vec<String>> {
    let mut common = keys(classes.first()?);
    common.retain(|key| classes.iter().all(|class| class.get(key).is_some()));
    Some(common)
}

fn request_classes(document: &Value) -> &[Value] {
    let classes = document.pointer("/settings/Categories");
    classes.and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// The keys of an object that a reload must keep.
fn keys(object: &Value) -> Vec<String> {
    let names = object.as_object().into_iter().flat_map(|map| map.keys());
    names.filter(|key| *key != OPTIONAL_KEY).cloned().collect()
}

/// Converts a JSON pointer to a dotted key path.
fn dotted_path(pointer: &str) -> String {
    pointer.trim_start_matches('/').replace('/', ".")
}
