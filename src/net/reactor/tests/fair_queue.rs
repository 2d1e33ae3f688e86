//! The bound on the wait of a connection, on a virtual clock with random arrivals.

use super::super::fair_queue::FairQueue;
use super::super::input_credit::InputCredit;
use crate::model::{ConnectionId, Span};
use std::collections::HashMap;

/// Number of turns that a simulation plays.
const TURNS: usize = 20_000;
/// Time that a cheap and an expensive message take, and a pause of the process that falls into a message.
const CHEAP: Span = Span::from_micros(20);
const EXPENSIVE: Span = Span::from_millis(3);
const PAUSE: Span = Span::from_millis(300);

/// A connection with input that has not had its turn yet.
struct Waiting {
    /// Number of turns of others since it has waited.
    turns: usize,
    /// Largest number of connections that have waited at once meanwhile.
    most_waiting: usize,
}

/// Connections that come, send and leave at random.
struct Simulation {
    random: fastrand::Rng,
    queue: FairQueue,
    next_id: u64,
    /// The open connections, and whether each always has input.
    open: Vec<(ConnectionId, bool)>,
    waiting: HashMap<ConnectionId, Waiting>,
    longest: usize,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut simulation = Simulation {
            random: fastrand::Rng::with_seed(seed),
            queue: FairQueue::default(),
            next_id: 1,
            open: Vec::new(),
            waiting: HashMap::new(),
            longest: 0,
        };
        for _ in 0..simulation.random.usize(2..60) {
            let is_backlogged = simulation.random.bool();
            simulation.connect(is_backlogged);
        }
        simulation
    }

    fn connect(&mut self, is_backlogged: bool) {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.open.push((id, is_backlogged));
        self.send(id);
    }

    fn send(&mut self, id: ConnectionId) {
        self.queue.join(id);
        let waiting = Waiting {
            turns: 0,
            most_waiting: 0,
        };
        self.waiting.entry(id).or_insert(waiting);
    }

    /// Closes a connection and connects anew, or lets one send.
    fn arrive(&mut self) {
        let index = self.random.usize(..self.open.len());
        let (id, is_backlogged) = self.open[index];
        if self.random.u8(..4) > 0 {
            return self.send(id);
        }
        self.open.swap_remove(index);
        self.queue.remove(id);
        self.waiting.remove(&id);
        self.connect(is_backlogged);
    }

    fn cost(&mut self) -> Span {
        match self.random.u8(..20) {
            0 => PAUSE,
            1..4 => EXPENSIVE,
            _ => CHEAP,
        }
    }

    /// Plays a turn of one connection, and asserts that it did not wait for more than the bound.
    fn take_turn(&mut self) {
        let Some(turn) = self.queue.next_turn() else {
            return;
        };
        let id = turn.id;
        let waiting_now = self.waiting.len();
        for (other, waiting) in &mut self.waiting {
            waiting.turns += usize::from(*other != id);
            waiting.most_waiting = waiting.most_waiting.max(waiting_now);
        }
        if let Some(waited) = self.waiting.remove(&id) {
            let bound = 2 * InputCredit::MAX_GRANTS_TO_CREDIT as usize * (self.open.len() + 1);
            assert!(waited.turns <= bound, "{} turns, bound {bound}", waited.turns);
            self.longest = self.longest.max(waited.turns);
            let cost = self.cost();
            self.queue.charge(id, cost);
        }
        let is_backlogged = self.open.contains(&(id, true));
        self.queue.end_turn(turn, is_backlogged);
        if is_backlogged {
            self.send(id);
        }
    }
}

/// Guards against a wait without a bound (second review, case 7, and peers that reconnect for ever): a connection
/// that waits, in debt or not, sparse or backlogged, early or late, has its turn after at most twice as many turns of
/// others as there are connections, times the grants that pay the largest debt.
#[test]
fn every_connection_has_its_turn_within_the_bound() {
    let mut longest = 0;
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..TURNS {
            if simulation.random.u8(..3) > 0 {
                simulation.arrive();
            }
            simulation.take_turn();
        }
        longest = longest.max(simulation.longest);
    }
    assert!(longest > 60, "connections had to wait: {longest}");
}

/// Guards against a connection that pays for a pause of the process in its callback (second review, case 7).
#[test]
fn a_pause_costs_a_connection_a_bounded_number_of_turns() {
    let mut queue = FairQueue::default();
    let (paused, other) = (ConnectionId(1), ConnectionId(2));
    queue.join(paused);
    let turn = queue.next_turn().expect("it has input");
    assert!(!queue.charge(paused, PAUSE));
    queue.end_turn(turn, true);
    queue.join(other);
    let mut turns_of_other = 0;
    while let Some(turn) = queue.next_turn()
        && turn.id == other
    {
        turns_of_other += 1;
        queue.charge(other, CHEAP);
        queue.end_turn(turn, true);
    }
    assert!(
        turns_of_other <= 2 * InputCredit::MAX_GRANTS_TO_CREDIT,
        "{turns_of_other}"
    );
}

/// Guards against peers that reconnect for ever and are sparse each time: one with more input than that has every
/// second turn all the same.
#[test]
fn a_backlogged_connection_has_its_turn_beside_new_ones() {
    let mut queue = FairQueue::default();
    let backlogged = ConnectionId(0);
    queue.join(backlogged);
    let mut turns = 0;
    for number in 1..200 {
        queue.join(ConnectionId(2 * number));
        queue.join(ConnectionId(2 * number + 1));
        let turn = queue.next_turn().expect("there is input");
        turns += u64::from(turn.id == backlogged);
        queue.charge(turn.id, CHEAP);
        let has_input = turn.id == backlogged;
        queue.end_turn(turn, has_input);
    }
    assert!(turns >= 50, "{turns} turns of 199");
}
