//! The hosted scheduler instances: a policy for each, and the endpoint lists that endpoint updates refer to.

use function_scheduler::simulator_codec::{InstanceId, ListId, Record, Reply};
use function_scheduler::{Action, Endpoint, EndpointUpdateKind, Event, Policy, Time, config};
use std::collections::BTreeMap;

/// All instances of this process. Instances share no state; endpoint lists belong to the process.
#[derive(Default)]
pub(crate) struct Host {
    endpoint_lists: BTreeMap<ListId, Vec<Endpoint>>,
    instances: BTreeMap<InstanceId, Policy>,
    /// Buffer for the actions of one event, reused to avoid allocations.
    actions: Vec<Action>,
}

impl Host {
    /// Handles one record of a batch and appends the resulting actions to the reply.
    pub(crate) fn handle(&mut self, now: Time, record: Record, reply: &mut Reply) {
        match record {
            Record::OpenInstance {
                instance,
                seed,
                settings,
            } => {
                self.open_instance(instance, seed, &settings, reply);
            }
            Record::CloseInstance { instance } => {
                self.instances.remove(&instance);
            }
            Record::EndpointList { list, endpoints } => {
                self.endpoint_lists.insert(list, endpoints);
            }
            Record::EndpointUpdate { instance, kind, list } => {
                let endpoints = self.endpoints(kind, list);
                self.deliver(now, instance, Event::EndpointsUpdated { kind, endpoints }, reply);
            }
            Record::Event { instance, event } => self.deliver(now, instance, event, reply),
            Record::Ignored => {}
        }
    }

    /// Opens an instance. Invalid settings are reported as a fault of the instance.
    fn open_instance(&mut self, instance: InstanceId, seed: u64, settings: &[u8], reply: &mut Reply) {
        match config::parse_settings(settings) {
            Ok(settings) => {
                self.instances.insert(instance, Policy::new(settings, seed));
            }
            Err(error) => reply.add_fault(instance, &error.to_string()),
        }
    }

    /// Returns the endpoints of an update. An update of kind `Failed` has none, and its list id is
    /// meaningless.
    fn endpoints(&self, kind: EndpointUpdateKind, list: ListId) -> Vec<Endpoint> {
        if kind == EndpointUpdateKind::Failed {
            return Vec::new();
        }
        self.endpoint_lists.get(&list).cloned().unwrap_or_default()
    }

    /// Passes an event to an instance's policy. Events for an instance that is not open are dropped.
    fn deliver(&mut self, now: Time, instance: InstanceId, event: Event, reply: &mut Reply) {
        let Some(policy) = self.instances.get_mut(&instance) else {
            return;
        };
        policy.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            reply.add_action(instance, &action);
        }
    }
}
