//! Conversion of the settings from their deserialized form to the types that the program uses, section by
//! section. Request classes are parsed in [`super::classes`].

use super::classes::parse_classes;
use super::document::{
    LoadingDocument, PermissionsDocument, PricesDocument, SafetyLimitsDocument, SettingsDocument,
    TenantDocument,
};
use crate::config::error::ConfigProblem;
use crate::model::{
    DiscoveryMode, LoadMetric, LoadRateLimit, LoadingSettings, OnMiss, Permissions, Prices, SafetyLimits,
    Settings, Site, Span, Tenant, ZoneId,
};

/// Default weight of a request beyond its tenant's quota, relative to a request within it.
const DEFAULT_OVER_QUOTA_WEIGHT: f64 = 1.0;

impl TryFrom<SettingsDocument> for Site {
    type Error = ConfigProblem;

    fn try_from(document: SettingsDocument) -> Result<Site, ConfigProblem> {
        let settings = Settings::try_from(&document)?;
        let permissions = document.permissions;
        let class_names = document.classes.into_iter().map(|class| Some(class.name));
        Ok(Site {
            settings,
            class_names: class_names.collect(),
            zones: document.zones,
            kinds: document.kinds,
            attempts_per_connection: permissions.attempts_per_connection.max(1),
            max_open_requests: permissions.max_open_requests,
            idle_timeout: Span(permissions.idle_timeout_ns),
            connect_timeout: Span(permissions.connect_timeout_ns),
            load_timeout: Span(document.loading.load_timeout_ns),
            load_metric_names: document.load_report.metric_names,
        })
    }
}

impl TryFrom<&SettingsDocument> for Settings {
    type Error = ConfigProblem;

    fn try_from(document: &SettingsDocument) -> Result<Settings, ConfigProblem> {
        let metric_names = &document.load_report.metric_names;
        Ok(Settings {
            scheduler_count: document.scheduler_count,
            index: document.index,
            zone: ZoneId(document.zone),
            tick: Span(document.tick_ns),
            classes: parse_classes(&document.classes)?,
            tenants: document.tenants.iter().map(Tenant::from).collect(),
            over_quota_weight: document.over_quota_weight.unwrap_or(DEFAULT_OVER_QUOTA_WEIGHT),
            safety_limits: safety_limits(&document.safety_limits, &document.loading),
            permissions: permissions(&document.permissions, &document.loading),
            prices: prices(&document.prices, &document.loading),
            load_metrics: metric_names.iter().map(|name| parse_load_metric(name)).collect(),
            reports_function_in_flight: document.loading.reports_function_in_flight,
            discovery: parse_discovery_mode(&document.discovery),
            weights_are_capacities: weights_are_capacities(&document.weight_source),
            loading: LoadingSettings::try_from(&document.loading)?,
        })
    }
}

impl From<&TenantDocument> for Tenant {
    fn from(document: &TenantDocument) -> Tenant {
        Tenant {
            quota_per_second: document.quota_per_second,
        }
    }
}

impl TryFrom<&LoadingDocument> for LoadingSettings {
    type Error = ConfigProblem;

    fn try_from(document: &LoadingDocument) -> Result<LoadingSettings, ConfigProblem> {
        Ok(LoadingSettings {
            keep_alive: Span(document.keep_alive_ns),
            on_miss: parse_on_miss(&document.on_miss)?,
            worker_memory_mb: document.worker_memory_mb.clone(),
        })
    }
}

fn safety_limits(document: &SafetyLimitsDocument, loading: &LoadingDocument) -> SafetyLimits {
    SafetyLimits {
        initial_capacity: document.initial_capacity,
        warm_up_duration: Span(document.warm_up_duration_ns),
        overload_multiple: document.overload_multiple,
        overload_window: Span(document.overload_window_ns),
        drain_grace: Span(document.drain_grace_ns),
        load_rate_limit: load_rate_limit(loading),
    }
}

fn load_rate_limit(document: &LoadingDocument) -> Option<LoadRateLimit> {
    let limit = LoadRateLimit {
        burst: document.rate_limit_burst,
        per_request: document.rate_limit_per_request,
        window: Span(document.rate_limit_window_ns),
    };
    (document.rate_limit_window_ns > 0).then_some(limit)
}

fn permissions(document: &PermissionsDocument, loading: &LoadingDocument) -> Permissions {
    Permissions {
        max_attempts: document.max_attempts,
        may_cancel: document.may_cancel,
        may_probe: document.may_probe,
        may_order: loading.may_order,
        max_retry_after: document
            .may_send_retry_after
            .then_some(Span(document.max_retry_after_ns)),
    }
}

fn prices(document: &PricesDocument, loading: &LoadingDocument) -> Prices {
    Prices {
        idle_memory: loading.idle_memory_price,
        store_fetch: document.store_fetch,
        cross_zone: document.cross_zone,
        wasted_work: document.wasted_work,
        health_check: document.health_check,
    }
}

fn parse_on_miss(value: &str) -> Result<OnMiss, ConfigProblem> {
    match value {
        "load" => Ok(OnMiss::Load),
        "miss" => Ok(OnMiss::Miss),
        other => Err(ConfigProblem::unknown_value("familyInfo.notLoaded", other)),
    }
}

/// Returns the load report metric of this name; the policy ignores the values of [`LoadMetric::Other`].
fn parse_load_metric(name: &str) -> LoadMetric {
    match name {
        "busy_reqs" => LoadMetric::InFlight,
        "pending" => LoadMetric::QueueLength,
        "cpu_share" => LoadMetric::Utilization,
        "x1" => LoadMetric::PendingLoads,
        "x0" => LoadMetric::PinnedMemory,
        _ => LoadMetric::Other,
    }
}

fn parse_discovery_mode(value: &str) -> DiscoveryMode {
    match value {
        "on_request" => DiscoveryMode::OnRequest,
        _ => DiscoveryMode::Pushed,
    }
}

/// Returns whether the worker weights in the endpoint list are capacities, given the source of the weights.
fn weights_are_capacities(weight_source: &str) -> bool {
    matches!(weight_source, "nominal" | "rough")
}
