//! The settings that only take effect at a start: a reload keeps their values.

use crate::config::{SchedulerConfig, VrrpConfig};

/// A setting that only takes effect at a start.
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

    /// Its name in the log.
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

/// A configuration, as far as it only takes effect at a start.
pub(super) struct StartupSettings<'a> {
    /// The platform's configuration.
    pub(super) scheduler: &'a SchedulerConfig,
    /// The operator's virtual router, if there is one.
    pub(super) vrrp: Option<&'a VrrpConfig>,
}

impl StartupSettings<'_> {
    /// The settings that have other values in a requested configuration.
    pub(super) fn differing_from(&self, requested: &StartupSettings) -> Vec<StartupSetting> {
        let mut settings = StartupSetting::ALL.to_vec();
        settings.retain(|setting| self.differs(*setting, requested));
        settings
    }

    fn differs(&self, setting: StartupSetting, requested: &StartupSettings) -> bool {
        let current = self.scheduler;
        let new = requested.scheduler;
        match setting {
            // Port 0 leaves the choice to the system, which has made it.
            StartupSetting::Listen => new.listen.port() != 0 && new.listen != current.listen,
            StartupSetting::Name => new.name != current.name,
            StartupSetting::Zones => new.site.zones != current.site.zones,
            StartupSetting::Kinds => new.site.kinds != current.site.kinds,
            StartupSetting::Vrrp => requested.vrrp != self.vrrp,
        }
    }
}
