//! A site: the settings of the policy, and what the scheduler and its connections need in addition.

use super::{KindId, RequestClass, Settings, Span, ZoneId};

/// The settings of the policy and the values that the scheduler and its connections need in addition.
#[derive(Clone, Debug)]
pub struct Site {
    /// Settings of the policy.
    pub settings: Settings,
    /// Names of the classes, in the order of [`Settings::classes`]; `None` for a class that only requests
    /// in progress still use.
    pub class_names: Vec<Option<String>>,
    /// Names of the zones, in the order of [`ZoneId`]s.
    pub zones: Vec<String>,
    /// Names of the machine kinds, in the order of [`KindId`]s.
    pub kinds: Vec<String>,
    /// Number of attempts that one connection to a worker carries at a time, at least 1.
    pub attempts_per_connection: usize,
    /// Maximum number of open requests; further requests are rejected.
    pub max_open_requests: usize,
    /// Time after which a worker closes an idle connection.
    pub idle_timeout: Span,
    /// Time after which a connection that is not established has failed.
    pub connect_timeout: Span,
    /// Time after which a load order without a response has failed.
    pub load_timeout: Span,
    /// Names of the values of a load report, in the order of [`Settings::load_metrics`].
    pub load_metric_names: Vec<String>,
}

/// A class with the name by which new requests may select it.
struct NamedClass {
    name: Option<String>,
    class: RequestClass,
}

impl Site {
    /// Returns the index in [`Settings::classes`] of the class that new requests may select by `name`.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.class_names
            .iter()
            .position(|known| known.as_deref() == Some(name))
    }

    /// Returns the zone named `name`, or the first zone if the name is unknown.
    pub fn zone_id(&self, name: &str) -> ZoneId {
        ZoneId(position_or_first(&self.zones, name))
    }

    /// Returns the machine kind named `name`, or the first kind if the name is unknown.
    pub fn kind_id(&self, name: &str) -> KindId {
        KindId(position_or_first(&self.kinds, name))
    }

    /// Returns the site after a reload with the settings of `new`.
    ///
    /// Classes keep their indices, because requests in progress refer to their class by index. A class that
    /// `new` lacks is kept for these requests, without a name; one that only `new` has is appended.
    pub fn reloaded_with(&self, new: Site) -> Site {
        let mut new_classes = new.named_classes();
        let mut merged: Vec<NamedClass> = Vec::new();
        for old in self.named_classes() {
            let same_name = |new: &NamedClass| new.name.is_some() && new.name == old.name;
            match new_classes.iter().position(same_name) {
                Some(index) => merged.push(new_classes.remove(index)),
                None => merged.push(NamedClass {
                    name: None,
                    class: old.class,
                }),
            }
        }
        merged.extend(new_classes.into_iter().filter(|class| class.name.is_some()));
        new.with_classes(merged)
    }

    fn named_classes(&self) -> Vec<NamedClass> {
        let classes = self.settings.classes.iter().cloned();
        let names = self.class_names.iter().cloned();
        names
            .zip(classes)
            .map(|(name, class)| NamedClass { name, class })
            .collect()
    }

    fn with_classes(mut self, classes: Vec<NamedClass>) -> Site {
        self.class_names = classes.iter().map(|class| class.name.clone()).collect();
        self.settings.classes = classes.into_iter().map(|class| class.class).collect();
        self
    }
}

fn position_or_first(names: &[String], name: &str) -> u8 {
    names.iter().position(|known| known == name).unwrap_or(0) as u8
}
