use super::*;
use std::collections::HashSet;

/// Guards against ids that repeat after a restart or at another scheduler, which a worker takes for a repeat of an
/// earlier exchange (review, case 3).
#[test]
fn generated_ids_differ_between_schedulers_with_the_same_seed() {
    let mut correlation_ids = HashSet::new();
    let mut exchange_numbers = HashSet::new();
    for _ in 0..3 {
        let mut generator = IdGenerator::new(7);
        for _ in 0..100 {
            assert!(correlation_ids.insert(generator.correlation_id()));
            assert!(exchange_numbers.insert(generator.exchange_number()));
        }
    }
}
