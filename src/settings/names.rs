//! The index of names: what operators and the endpoint list call by name or number has a small index here.

use super::error::SettingsError;
use super::typed::{ClassPlacement, PlacementSet, Settings};
use super::wire::{Field, List, Named, Number, PlaceName, WireClass, WireSettings, WireTenant};
use crate::types::{ClassId, EndpointId, EndpointState, EndpointUpdate, TenantId};
use serde_json::Value;
use slab::Slab;
use std::collections::HashMap;

/// The names of one list of the settings. Each keeps its index for good, also once it is gone from them.
#[derive(Clone, Default)]
pub struct NamedEntries {
    /// All names, by index.
    pub names: Vec<String>,
    listed: Vec<bool>,
}

impl NamedEntries {
    /// The index of one that the settings list now.
    fn index(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|known| known == name).filter(|index| self.listed[*index])
    }

    /// Whether the settings list none.
    pub fn is_empty(&self) -> bool {
        !self.listed.contains(&true)
    }

    /// Takes over what the settings list now; `kept` holds the entries by index, also those listed no more.
    fn update<T: Clone + Default>(&mut self, kept: &mut Vec<Named<T>>, listed: &[Named<T>]) {
        self.listed.fill(false);
        for entry in listed {
            let index = index_of(&mut self.names, &entry.name);
            if index == kept.len() {
                kept.push(Named::default());
                self.listed.push(false);
            }
            kept[index] = entry.clone();
            self.listed[index] = true;
        }
    }
}

/// The names of request classes, tenants, zones, machine classes, endpoints and pods, with their indices.
#[derive(Clone, Default)]
pub struct NameIndex {
    /// The request classes.
    pub classes: NamedEntries,
    /// The tenants.
    pub tenants: NamedEntries,
    class_entries: Vec<Named<WireClass>>,
    tenant_entries: Vec<Named<WireTenant>>,
    zones: Vec<String>,
    machine_classes: Vec<String>,
    endpoints: NumberIndex,
    pods: NumberIndex,
    /// The pod of each endpoint, by its index.
    pod_of_endpoint: Vec<usize>,
}

impl NameIndex {
    /// Reads the names of the settings, and the settings by these. The names stand also where a setting that
    /// the decisions need is missing.
    pub fn from_settings(settings: &Value) -> (Self, Result<Settings, SettingsError>) {
        let mut names = NameIndex::default();
        let settings = names.update(settings);
        (names, settings)
    }

    /// Reads new settings: whatever had an index keeps it. As names may have changed also where this fails,
    /// call it on a copy.
    ///
    /// # Errors
    ///
    /// Names a setting that the decisions cannot do without.
    pub fn update(&mut self, settings: &Value) -> Result<Settings, SettingsError> {
        let mut wire = WireSettings::read(settings);
        for zone in wire.zones.entries() {
            self.zone(&zone.name);
        }
        if wire.classes != List::Absent {
            self.classes.update(&mut self.class_entries, wire.classes.entries());
            wire.classes = List::Valid(self.class_entries.clone());
            self.clear_unlisted_weights(&mut wire);
        }
        if wire.tenants != List::Absent {
            self.tenants.update(&mut self.tenant_entries, wire.tenants.entries());
            wire.tenants = List::Valid(self.tenant_entries.clone());
        }
        let classes = wire.classes.entries().iter();
        let placement = classes.map(|class| self.placement(&class.entry)).collect();
        // Without a zone of its own a proxy counts as one of the first zone.
        let my_zone = wire.my_zone.text().map_or(0, |zone| self.zone(zone));
        Settings::read(&wire, my_zone, placement)
    }

    /// The request class of this name that the settings list now.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.index(name).map(ClassId::new)
    }

    /// The tenant of this name that the settings list now.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.index(name).map(TenantId::new)
    }

    /// The weight of a class that is listed no more would make all others look small.
    fn clear_unlisted_weights(&self, wire: &mut WireSettings) {
        let List::Valid(classes) = &mut wire.classes else { return };
        for (class, listed) in classes.iter_mut().zip(&self.classes.listed) {
            if !listed {
                class.entry.priority_weight = Field::Valid(Number::Number(0.into()));
            }
        }
    }

    /// Where a class may run. A name that no endpoint has yet gets its index now, so that no other fits it.
    fn placement(&mut self, class: &WireClass) -> ClassPlacement {
        ClassPlacement {
            zones: placement_set(&class.zones, &mut self.zones),
            machine_classes: placement_set(&class.machine_classes, &mut self.machine_classes),
        }
    }

    fn zone(&mut self, name: &str) -> usize {
        index_of(&mut self.zones, name)
    }

    /// Forgets all endpoints but those still in use, and the pods that held no other. Endpoints that are
    /// replaced under new numbers would otherwise fill the memory.
    pub fn retain_endpoints(&mut self, in_use: impl Fn(EndpointId) -> bool) {
        self.endpoints.retain(|index| in_use(EndpointId::new(index)));
        let (endpoints, pod_of_endpoint) = (&self.endpoints.numbers, &self.pod_of_endpoint);
        self.pods.retain(|pod| endpoints.iter().any(|(endpoint, _)| pod_of_endpoint[endpoint] == pod));
    }

    /// The number by which all proxies know an endpoint.
    pub fn stable_hash(&self, endpoint: EndpointId) -> u64 {
        self.endpoints.numbers[endpoint.index()]
    }

    /// The index of an endpoint by that number, which it gets if it has none.
    pub fn endpoint(&mut self, stable_hash: u64) -> EndpointId {
        let endpoint = self.endpoints.index(stable_hash);
        let pod = self.pods.index(u64::MAX - stable_hash);
        if self.pod_of_endpoint.len() <= endpoint {
            self.pod_of_endpoint.resize(endpoint + 1, pod);
        }
        EndpointId::new(endpoint)
    }

    /// The index of an endpoint by that number, while it is known.
    pub fn find_endpoint(&self, stable_hash: u64) -> Option<EndpointId> {
        self.endpoints.by_number.get(&stable_hash).copied().map(EndpointId::new)
    }

    /// One line of the endpoint list. Without a pod an endpoint shares one with no other.
    pub fn endpoint_update(
        &mut self,
        stable_hash: u64,
        state: EndpointState,
        (zone, machine_class): (&str, &str),
        pod: Option<u64>,
        started_at_ms: f64,
    ) -> EndpointUpdate {
        let endpoint = self.endpoints.index(stable_hash);
        let pod = self.pods.index(pod.unwrap_or(u64::MAX - stable_hash));
        if self.pod_of_endpoint.len() <= endpoint {
            self.pod_of_endpoint.resize(endpoint + 1, pod);
        }
        self.pod_of_endpoint[endpoint] = pod;
        EndpointUpdate {
            endpoint: EndpointId::new(endpoint),
            stable_hash,
            state,
            zone: self.zone(zone),
            machine_class: index_of(&mut self.machine_classes, machine_class),
            pod,
            started_at_ms,
        }
    }
}

/// Small indices for numbers from outside, used again once what they stood for is forgotten.
#[derive(Clone, Default)]
struct NumberIndex {
    by_number: HashMap<u64, usize>,
    numbers: Slab<u64>,
}

impl NumberIndex {
    /// The index of a number, which it gets if it has none.
    fn index(&mut self, number: u64) -> usize {
        *self.by_number.entry(number).or_insert_with(|| self.numbers.insert(number))
    }

    fn retain(&mut self, in_use: impl Fn(usize) -> bool) {
        let by_number = &mut self.by_number;
        self.numbers.retain(|index, number| in_use(index) || by_number.remove(number).is_none());
    }
}

/// The index of a name, which it gets if it has none.
fn index_of(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.into());
        names.len() - 1
    })
}

/// The indices of named places. Something other than a list must not open what a list was to close, so that
/// it counts as an empty one; [`super::validate`] refuses it before it comes so far.
fn placement_set(places: &Field<Vec<PlaceName>>, names: &mut Vec<String>) -> Option<PlacementSet> {
    match places {
        Field::Absent => None,
        Field::Valid(places) => Some(places.iter().map(|place| index_of(names, &place.0)).collect()),
        Field::Invalid => Some(PlacementSet::from([])),
    }
}
