use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn endpoint(uid: &str, port: u16, dest: u64, state: EndpointState) -> EndpointInfo {
    let (zone, kind) = (String::new(), String::new());
    EndpointInfo {
        uid: uid.into(),
        address: address(port),
        zone,
        kind,
        dest,
        state,
        started_ms: 0,
        weight: 1.0,
    }
}

fn list(is_full: bool, endpoints: Vec<EndpointInfo>) -> EndpointList {
    EndpointList { version: 1, is_full, endpoints }
}

#[test]
fn an_address_passes_to_another_destination_in_either_order_of_the_changes() {
    use EndpointState::{InService, Terminated};
    let old = endpoint("old", 1, 7, Terminated);
    let new = endpoint("new", 1, 8, InService);
    for changes in [vec![old.clone(), new.clone()], vec![new, old]] {
        let listed = ListedAddresses::new(&list(true, vec![endpoint("old", 1, 7, InService)]));
        assert!(listed.contains(address(1), 7));
        listed.apply(&list(false, changes));
        assert!(!listed.contains(address(1), 7) && listed.contains(address(1), 8));
    }
}

#[test]
fn an_endpoint_that_drains_or_is_replaced_by_one_of_its_destination_stays_listed() {
    use EndpointState::{InService, Terminated, Terminating};
    let listed = ListedAddresses::new(&list(true, vec![endpoint("a", 1, 7, InService)]));
    listed.apply(&list(false, vec![endpoint("a", 1, 7, Terminating)]));
    assert!(listed.contains(address(1), 7));
    listed.apply(&list(false, vec![endpoint("b", 1, 7, InService), endpoint("a", 1, 7, Terminated)]));
    assert!(listed.contains(address(1), 7));
    listed.apply(&list(true, vec![endpoint("c", 2, 7, InService)]));
    assert!(!listed.contains(address(1), 7) && listed.contains(address(2), 7));
}
