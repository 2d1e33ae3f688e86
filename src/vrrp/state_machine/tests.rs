//! Tests of each event in each state: the next state, the timer and the advertisement sent.

use super::*;

/// Primary address of the router under test. If priorities are equal, the last byte of a peer's address
/// decides which router takes precedence.
const OWN_ADDRESS: &str = "127.0.0.5:9112";
const LOWER_ADDRESS: u8 = 1;
const HIGHER_ADDRESS: u8 = 9;

/// Time at which the event of a case happens and the running timer expires, in milliseconds.
const NOW: u64 = 10_000;

fn milliseconds(count: u64) -> Time {
    Time(count * 1_000_000)
}

fn router(priority: u8, preempt: bool) -> StateMachine {
    StateMachine::new(Configuration {
        priority,
        advertisement_interval: Span::from_millis(1000),
        preempt,
        primary_address: OWN_ADDRESS.parse().unwrap(),
    })
}

fn advertisement(priority: u8, interval_ms: u64, sender: u8) -> Event {
    let interval = Span::from_millis(interval_ms);
    let sender = SocketAddr::from(([127, 0, 0, sender], 9112));
    Event::AdvertisementReceived {
        priority,
        interval,
        sender,
    }
}

/// The initial state of the router and the event of a test case.
struct TransitionCase {
    state: State,
    priority: u8,
    preempt: bool,
    event: Event,
}

impl TransitionCase {
    /// Creates a case with a preempting router of priority 128, whose skew time is half an interval.
    fn new(state: State, event: Event) -> TransitionCase {
        TransitionCase {
            state,
            priority: 128,
            preempt: true,
            event,
        }
    }

    fn address_owner(self) -> TransitionCase {
        TransitionCase {
            priority: PRIORITY_ADDRESS_OWNER,
            ..self
        }
    }

    fn without_preemption(self) -> TransitionCase {
        TransitionCase {
            preempt: false,
            ..self
        }
    }

    /// Asserts the state after the event, the timer in milliseconds and the advertised priority.
    fn assert_transition(self, state: State, timer: Option<u64>, advertised: Option<u8>) {
        let mut router = router(self.priority, self.preempt);
        router.state = self.state;
        router.timer = (self.state != State::Initialize).then_some(milliseconds(NOW));
        let sent = router.handle(milliseconds(NOW), self.event);
        let case = format!(
            "{:?} {} {} {:?}",
            self.state, self.priority, self.preempt, self.event
        );
        assert_eq!(router.state(), state, "{case}");
        assert_eq!(router.next_timer(), timer.map(milliseconds), "{case}");
        assert_eq!(
            sent.map(|advertisement| advertisement.priority),
            advertised,
            "{case}"
        );
    }
}

#[test]
fn initialize_responds_only_to_startup() {
    use State::{Active, Backup, Initialize};
    TransitionCase::new(Initialize, Event::Startup).assert_transition(Backup, Some(13_500), None);
    TransitionCase::new(Initialize, Event::Startup)
        .address_owner()
        .assert_transition(Active, Some(11_000), Some(255));
    TransitionCase::new(Initialize, advertisement(200, 1000, HIGHER_ADDRESS))
        .assert_transition(Initialize, None, None);
    TransitionCase::new(Initialize, Event::TimerExpired).assert_transition(Initialize, None, None);
    TransitionCase::new(Initialize, Event::Shutdown).assert_transition(Initialize, None, None);
}

#[test]
fn backup_follows_the_active_router_and_takes_over_when_it_is_down() {
    use State::{Active, Backup, Initialize};
    TransitionCase::new(Backup, Event::TimerExpired).assert_transition(Active, Some(11_000), Some(128));
    TransitionCase::new(Backup, Event::Shutdown).assert_transition(Initialize, None, None);
    TransitionCase::new(Backup, advertisement(0, 1000, HIGHER_ADDRESS)).assert_transition(
        Backup,
        Some(10_500),
        None,
    );
    TransitionCase::new(Backup, advertisement(128, 1000, HIGHER_ADDRESS)).assert_transition(
        Backup,
        Some(13_500),
        None,
    );
    TransitionCase::new(Backup, advertisement(200, 2000, HIGHER_ADDRESS)).assert_transition(
        Backup,
        Some(17_000),
        None,
    );
    let lower_priority = advertisement(100, 2000, HIGHER_ADDRESS);
    TransitionCase::new(Backup, lower_priority).assert_transition(Backup, Some(10_000), None);
    TransitionCase::new(Backup, lower_priority)
        .without_preemption()
        .assert_transition(Backup, Some(17_000), None);
}

#[test]
fn active_advertises_and_returns_to_backup_for_a_higher_priority_or_address() {
    use State::{Active, Backup, Initialize};
    TransitionCase::new(Active, Event::TimerExpired).assert_transition(Active, Some(11_000), Some(128));
    TransitionCase::new(Active, Event::Shutdown).assert_transition(Initialize, None, Some(0));
    TransitionCase::new(Active, advertisement(0, 1000, HIGHER_ADDRESS)).assert_transition(
        Active,
        Some(11_000),
        Some(128),
    );
    TransitionCase::new(Active, advertisement(200, 2000, LOWER_ADDRESS)).assert_transition(
        Backup,
        Some(17_000),
        None,
    );
    TransitionCase::new(Active, advertisement(128, 1000, HIGHER_ADDRESS)).assert_transition(
        Backup,
        Some(13_500),
        None,
    );
    TransitionCase::new(Active, advertisement(128, 1000, LOWER_ADDRESS)).assert_transition(
        Active,
        Some(11_000),
        Some(128),
    );
    TransitionCase::new(Active, advertisement(100, 1000, HIGHER_ADDRESS)).assert_transition(
        Active,
        Some(11_000),
        Some(128),
    );
    let other_owner = advertisement(255, 1000, HIGHER_ADDRESS);
    TransitionCase::new(Active, other_owner)
        .address_owner()
        .assert_transition(Active, Some(10_000), None);
}

#[test]
fn a_restarted_timer_does_not_expire_early() {
    let mut router = router(128, true);
    router.handle(milliseconds(0), Event::Startup);
    router.handle(milliseconds(3000), advertisement(200, 1000, HIGHER_ADDRESS));
    assert_eq!(router.handle(milliseconds(3500), Event::TimerExpired), None);
    assert_eq!(router.state(), State::Backup);
}
