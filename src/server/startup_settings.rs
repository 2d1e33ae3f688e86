//! Settings that take effect only at startup; a reload keeps their values.

use crate::config::{SchedulerConfig, VrrpConfig};

/// A setting that takes effect only at startup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartupSetting {
    Listen,
    Name,
    Zones,
    Kinds,
    Vrrp,
}

impl StartupSetting {
    const ALL: [StartupSetting; 5] = [
        StartupSetting::Listen,
        StartupSetting::Name,
        StartupSetting::Zones,
        StartupSetting::Kinds,
        StartupSetting::Vrrp,
    ];

    /// Returns the name of the setting in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            StartupSetting::Listen => "listen",
            StartupSetting::Name => "name",
            StartupSetting::Zones => "zones",
            StartupSetting::Kinds => "kinds",
            StartupSetting::Vrrp => "vrrp",
        }
    }
}

/// The parts of a configuration that take effect only at startup.
pub(super) struct StartupSettings<'a> {
    /// The platform's configuration.
    pub(super) scheduler: &'a SchedulerConfig,
    /// The operator's virtual router, if one is configured.
    pub(super) vrrp: Option<&'a VrrpConfig>,
}

impl StartupSettings<'_> {
    /// Returns the settings whose values differ in a requested configuration.
    pub(super) fn differing_from(&self, requested: &StartupSettings) -> Vec<StartupSetting> {
        let mut settings = StartupSetting::ALL.to_vec();
        settings.retain(|setting| self.differs(*setting, requested));
        settings
    }

    fn differs(&self, setting: StartupSetting, requested: &StartupSettings) -> bool {
        let current = self.scheduler;
        let new = requested.scheduler;
        match setting {
            // Port 0 lets the system choose a port, which it did at startup.
            StartupSetting::Listen => new.listen.port() != 0 && new.listen != current.listen,
            StartupSetting::Name => new.name != current.name,
            StartupSetting::Zones => new.site.zones != current.site.zones,
            StartupSetting::Kinds => new.site.kinds != current.site.kinds,
            StartupSetting::Vrrp => requested.vrrp != self.vrrp,
        }
    }
}
