//! The limit on what is known of functions.

use super::*;

/// Memory for some hundred functions, in bytes.
const LIMIT_BYTES: usize = 1 << 20;
const KEEP_ALIVE: Span = Span::from_millis(1_000);

/// Receives a request for a function.
fn receive(cluster: &mut Cluster, request: u32, function: u64) {
    let incoming = IncomingRequest {
        function: FunctionId(function),
        ..incoming(request)
    };
    cluster.add_request(&incoming, KEEP_ALIVE, Time(1));
    cluster.hash_order_indices(incoming.function);
    cluster.limit_functions(Time(1), KEEP_ALIVE);
}

/// Guards against clients that name ever new functions and drive the process over its memory limit (review,
/// case 2).
#[test]
fn functions_that_clients_name_once_are_forgotten_once_they_exceed_the_memory() {
    let (popular, open) = (1, 2);
    let mut cluster = Cluster::default();
    cluster.function_memory.set_limit(LIMIT_BYTES);
    receive(&mut cluster, 1, open);
    for request in 10..20_000 {
        let is_popular = request < 13;
        let function = if is_popular { popular } else { u64::from(request) };
        receive(&mut cluster, request, function);
        cluster.requests.remove(&RequestId(request));
    }
    let most = cluster.function_memory.max_functions();
    let known = cluster.functions.len();
    assert!((most / 2..=most).contains(&known), "{known} of at most {most}");
    assert!(cluster.hash_orders.len() <= cluster.function_memory.max_hash_orders(0));
    for kept in [popular, open] {
        assert!(cluster.functions.contains_key(&FunctionId(kept)), "{kept}");
    }
}
