//! Maps names and numeric identifiers from the settings and the endpoint list to dense indices.

use super::error::SettingsError;
use super::typed::{ClassPlacement, PlacementSet, Settings};
use super::wire::{Field, List, Named, NonEmptyName, Number, WireClass, WireSettings, WireTenant};
use crate::types::{ClassId, EndpointId, EndpointState, EndpointUpdate, TenantId};
use serde_json::Value;
use slab::Slab;
use std::collections::HashMap;

/// The names in a list of the settings. A name keeps its index after it is removed from the list.
#[derive(Clone, Default)]
pub struct NamedEntries {
    /// All names, also those removed, by index.
    pub names: Vec<String>,
    listed: Vec<bool>,
}

impl NamedEntries {
    /// The index of a currently listed name.
    fn index(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|known| known == name).filter(|index| self.listed[*index])
    }

    /// Whether no name is currently listed.
    pub fn is_empty(&self) -> bool {
        !self.listed.contains(&true)
    }

    /// Applies a new list. `entries` holds all entries by index, also those removed from the list.
    fn update<T: Clone + Default>(&mut self, entries: &mut Vec<Named<T>>, listed: &[Named<T>]) {
        self.listed.fill(false);
        for entry in listed {
            let index = intern(&mut self.names, &entry.name);
            if index == entries.len() {
                entries.push(Named::default());
                self.listed.push(false);
            }
            entries[index] = entry.clone();
            self.listed[index] = true;
        }
    }
}

/// The indices of request classes, tenants, zones, machine classes, endpoints and pods.
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
    endpoints: IdInterner,
    pods: IdInterner,
    /// The pod index of each endpoint, by endpoint index.
    pod_of_endpoint: Vec<usize>,
}

impl NameIndex {
    /// Builds the index of the names in the settings, and parses the settings. The index is returned even if
    /// parsing fails.
    pub fn from_settings(settings: &Value) -> (Self, Result<Settings, SettingsError>) {
        let mut names = NameIndex::default();
        let settings = names.update(settings);
        (names, settings)
    }

    /// Parses new settings; names keep their indices. Names may be added even if it fails, so call it on a
    /// copy.
    ///
    /// # Errors
    ///
    /// A required setting is missing or invalid.
    pub fn update(&mut self, settings: &Value) -> Result<Settings, SettingsError> {
        let mut wire = WireSettings::parse(settings);
        for zone in wire.zones.entries() {
            self.intern_zone(&zone.name);
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
        // A proxy without a configured zone is assigned to the first one.
        let local_zone = wire.local_zone.text().map_or(0, |zone| self.intern_zone(zone));
        Settings::from_wire(&wire, local_zone, placement)
    }

    /// The currently listed request class with this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.index(name).map(ClassId::new)
    }

    /// The currently listed tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.index(name).map(TenantId::new)
    }

    /// Sets the weight of removed classes to 0, as priorities are relative to the highest weight.
    fn clear_unlisted_weights(&self, wire: &mut WireSettings) {
        let List::Valid(classes) = &mut wire.classes else { return };
        for (class, listed) in classes.iter_mut().zip(&self.classes.listed) {
            if !listed {
                class.entry.priority_weight = Field::Valid(Number::Number(0.into()));
            }
        }
    }

    /// The placement constraints of a class. Names that no endpoint uses yet are assigned an index.
    fn placement(&mut self, class: &WireClass) -> ClassPlacement {
        ClassPlacement {
            zones: placement_set(&class.zones, &mut self.zones),
            machine_classes: placement_set(&class.machine_classes, &mut self.machine_classes),
        }
    }

    fn intern_zone(&mut self, name: &str) -> usize {
        intern(&mut self.zones, name)
    }

    /// Removes endpoints that are not in use, and pods left without endpoints, so that the index does not grow
    /// as endpoints are replaced under new identifiers.
    pub fn retain_endpoints(&mut self, in_use: impl Fn(EndpointId) -> bool) {
        self.endpoints.retain(|index| in_use(EndpointId::new(index)));
        let (endpoints, pod_of_endpoint) = (&self.endpoints.ids, &self.pod_of_endpoint);
        self.pods.retain(|pod| endpoints.iter().any(|(endpoint, _)| pod_of_endpoint[endpoint] == pod));
    }

    /// The identifier of an endpoint, the same in all proxies.
    pub fn stable_hash(&self, endpoint: EndpointId) -> u64 {
        self.endpoints.ids[endpoint.index()]
    }

    /// The index of the endpoint with this identifier, which is assigned one if it has none.
    pub fn endpoint(&mut self, stable_hash: u64) -> EndpointId {
        let endpoint = self.endpoints.intern(stable_hash);
        let pod = self.pods.intern(u64::MAX - stable_hash);
        if self.pod_of_endpoint.len() <= endpoint {
            self.pod_of_endpoint.resize(endpoint + 1, pod);
        }
        EndpointId::new(endpoint)
    }

    /// The index of the endpoint with this identifier, if it is known.
    pub fn find_endpoint(&self, stable_hash: u64) -> Option<EndpointId> {
        self.endpoints.index_by_id.get(&stable_hash).copied().map(EndpointId::new)
    }

    /// Builds an entry of the endpoint list. An endpoint without a pod is assigned one of its own.
    pub fn endpoint_update(
        &mut self,
        stable_hash: u64,
        state: EndpointState,
        (zone, machine_class): (&str, &str),
        pod: Option<u64>,
        started_at_ms: f64,
    ) -> EndpointUpdate {
        let endpoint = self.endpoints.intern(stable_hash);
        let pod = self.pods.intern(pod.unwrap_or(u64::MAX - stable_hash));
        if self.pod_of_endpoint.len() <= endpoint {
            self.pod_of_endpoint.resize(endpoint + 1, pod);
        }
        self.pod_of_endpoint[endpoint] = pod;
        EndpointUpdate {
            endpoint: EndpointId::new(endpoint),
            stable_hash,
            state,
            zone: self.intern_zone(zone),
            machine_class: intern(&mut self.machine_classes, machine_class),
            pod,
            started_at_ms,
        }
    }
}

/// Assigns dense indices to external identifiers, and reuses the indices of removed ones.
#[derive(Clone, Default)]
struct IdInterner {
    index_by_id: HashMap<u64, usize>,
    ids: Slab<u64>,
}

impl IdInterner {
    /// The index of an identifier, which is assigned one if it has none.
    fn intern(&mut self, id: u64) -> usize {
        *self.index_by_id.entry(id).or_insert_with(|| self.ids.insert(id))
    }

    fn retain(&mut self, in_use: impl Fn(usize) -> bool) {
        let index_by_id = &mut self.index_by_id;
        self.ids.retain(|index, id| in_use(index) || index_by_id.remove(id).is_none());
    }
}

/// The index of a name, which is assigned one if it has none.
fn intern(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.into());
        names.len() - 1
    })
}

/// The indices of allowed zones or machine classes. An invalid list counts as empty, as it must not lift a
/// restriction; [`super::validate`] rejects it.
fn placement_set(allowed: &Field<Vec<NonEmptyName>>, names: &mut Vec<String>) -> Option<PlacementSet> {
    match allowed {
        Field::Absent => None,
        Field::Valid(allowed) => Some(allowed.iter().map(|name| intern(names, &name.0)).collect()),
        Field::Invalid => Some(PlacementSet::from([])),
    }
}
