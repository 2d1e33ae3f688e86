//! When clients wait for earlier work.

use crate::server::client_pause::ClientPause;

/// Guards against clients that wait without a bound while workers or timers cause commands in every turn.
#[test]
fn clients_wait_while_commands_are_left_but_not_for_ever() {
    let mut pause = ClientPause::default();
    assert!(!pause.update(false));
    let paused: Vec<bool> = (0..10).map(|_| pause.update(true)).collect();
    assert_eq!(
        paused,
        [true, true, true, true, false, true, true, true, true, false]
    );
    assert!(!pause.update(false));
    assert!(pause.update(true));
}
