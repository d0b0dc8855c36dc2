//! Assignment of pools and of the configuration watch to gateways.

use std::collections::BTreeMap;

use marigold_core::ownership::{self, Candidate};

fn pools(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("pool{number}")).collect()
}

fn candidates(weights: &[f64]) -> Vec<Candidate> {
    let numbered = weights.iter().enumerate();
    numbered
        .map(|(number, weight)| Candidate {
            name: format!("gateway{number}"),
            weight: *weight,
            is_settled: true,
        })
        .collect()
}

#[test]
fn owners_do_not_depend_on_the_order_of_members() {
    let members = candidates(&[0.2; 4]);
    let reversed: Vec<Candidate> = members.iter().rev().cloned().collect();
    assert_eq!(ownership::owners(&pools(3), &members), ownership::owners(&pools(3), &reversed));
}

#[test]
fn owners_equal_weights_own_equally_many() {
    let members = candidates(&[0.2; 4]);
    let owners = ownership::owners(&pools(8), &members);
    for member in &members {
        assert_eq!(owners.values().filter(|owner| **owner == member.name).count(), 2);
    }
}

/// Guards against overloading a small VM: owning three pools would take a third of its CPU time.
#[test]
fn owners_small_gateways_own_nothing() {
    let members = candidates(&[0.09, 0.09, 0.5, 0.09, 0.5, 0.09, 0.5]);
    let owners = ownership::owners(&pools(3), &members);
    let large = ["gateway2", "gateway4", "gateway6"];
    assert!(owners.values().all(|owner| large.contains(&owner.as_str())), "{owners:?}");
}

/// An owner is killed and restarts after a second. Its pool has to move once, not twice.
#[test]
fn owners_restarted_gateway_does_not_regain_its_pool() {
    let mut members = candidates(&[0.2; 5]);
    let owner = ownership::owners(&pools(1), &members)["pool0"].clone();
    let is_owner = |member: &Candidate| member.name == owner;
    let others: Vec<Candidate> = members.iter().filter(|m| !is_owner(m)).cloned().collect();
    let successor = ownership::owners(&pools(1), &others)["pool0"].clone();
    members.iter_mut().filter(|m| is_owner(m)).for_each(|m| m.is_settled = false);
    assert_eq!(ownership::owners(&pools(1), &members)["pool0"], successor);
}

/// After a power failure of all VMs, no gateway is settled, and the pools need owners immediately.
#[test]
fn owners_all_restarted_all_are_eligible() {
    let members = candidates(&[0.2; 4]);
    let restarted = |settled: usize| -> Vec<Candidate> {
        let numbered = members.iter().cloned().enumerate();
        numbered.map(|(i, m)| Candidate { is_settled: i < settled, ..m }).collect()
    };
    assert_eq!(ownership::owners(&pools(4), &restarted(0)), ownership::owners(&pools(4), &members));
    assert_eq!(ownership::owners(&pools(4), &restarted(1)), ownership::owners(&pools(4), &members));
    let owners = ownership::owners(&pools(4), &restarted(2));
    assert!(owners.values().all(|owner| ["gateway0", "gateway1"].contains(&owner.as_str())));
}

#[test]
fn owners_without_members_is_empty() {
    assert!(ownership::owners(&pools(3), &[]).is_empty());
}

/// All gateways polled each owner in each round: 745 polls a second at 299 gateways.
#[test]
fn owners_are_polled_by_a_bounded_number_of_gateways() {
    assert_eq!(ownership::owner_poll_probability(4), 1.0);
    for gateways in [68, 330, 1_000] {
        let polls = gateways as f64 * ownership::owner_poll_probability(gateways);
        assert!((30.0..=40.5).contains(&polls), "{polls} of {gateways}");
    }
}

#[test]
fn watchers_are_few_and_the_same_for_all() {
    let members = candidates(&[0.1; 30]);
    let reversed: Vec<Candidate> = members.iter().rev().cloned().collect();
    assert_eq!(ownership::watchers(&members).len(), 2);
    assert_eq!(ownership::watchers(&members), ownership::watchers(&reversed));
}

/// Guards against saturating the network link of a small VM: every gateway polls the watchers.
#[test]
fn watchers_have_the_largest_weights() {
    let members = candidates(&[0.09, 0.5, 0.09, 0.5, 0.09]);
    let watchers = ownership::watchers(&members);
    assert!(
        watchers.iter().all(|name| ["gateway1", "gateway3"].contains(&name.as_str())),
        "{watchers:?}"
    );
}

/// How often each gateway is polled as a watcher, if each polls those that it chooses.
fn polled_watchers(members: &[Candidate]) -> BTreeMap<String, usize> {
    let mut polled = BTreeMap::new();
    for member in members {
        for watcher in ownership::watchers_polled_by(&member.name, members) {
            *polled.entry(watcher).or_default() += usize::from(member.name != watcher);
        }
    }
    polled
}

/// At 299 gateways, two watchers sent each change of the targets to all others: 1,850 KB/s at each of them.
#[test]
fn watchers_330_gateways_share_the_polls() {
    let members = candidates(&[0.1; 330]);
    let polled = polled_watchers(&members);
    let watchers = ownership::watchers(&members);
    assert!(polled.keys().all(|name| watchers.contains(name)), "{polled:?}");
    assert!(polled.values().all(|count| *count <= 120), "{polled:?}");
}

/// A gateway that polls no live watcher reads the store itself.
#[test]
fn watchers_one_fails_all_gateways_poll_another() {
    for size in [4, 68, 330] {
        let members = candidates(&vec![0.1; size]);
        for failed in ownership::watchers(&members) {
            for member in &members {
                let polled = ownership::watchers_polled_by(&member.name, &members);
                assert!(polled.iter().any(|name| *name != failed), "{} of {size}", member.name);
            }
        }
    }
}

/// A gateway that takes the place of a failed watcher has to notice the failure, so it polls that one.
#[test]
fn watchers_are_polled_by_their_successors() {
    let members = candidates(&[0.1; 330]);
    let watchers = ownership::watchers(&members);
    for failed in &watchers {
        let others: Vec<Candidate> =
            members.iter().filter(|member| member.name != *failed).cloned().collect();
        let successors = ownership::watchers(&others);
        let new = successors.iter().filter(|name| !watchers.contains(name));
        for successor in new {
            assert!(ownership::watchers_polled_by(successor, &members).contains(failed));
        }
    }
}

/// An entry with a negative weight, as another program may write it, left pools without an owner, and each gateway took them
/// for its own.
#[test]
fn owner_exists_for_any_weights() {
    let weights = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1e308, -1.0, 0.0, 0.2, 1e308];
    let pools = ["a".to_owned(), "b".to_owned()];
    for (odd, settled) in weights.iter().flat_map(|odd| [(*odd, false), (*odd, true)]) {
        for other in weights {
            let candidate = |name: &str, weight: f64, is_settled: bool| Candidate {
                name: name.to_owned(),
                weight,
                is_settled,
            };
            let candidates = [
                candidate("odd", odd, settled),
                candidate("x", other, false),
                candidate("y", 0.2, false),
            ];
            let owners = ownership::owners(&pools, &candidates);
            assert_eq!(owners.len(), pools.len(), "{odd} {settled} {other}");
            assert_eq!(ownership::watchers(&candidates).len(), 2, "{odd} {settled} {other}");
        }
    }
}

/// An odd weight must not move the pools of gateways with sound ones.
#[test]
fn owner_is_sound_beside_odd_weights() {
    for odd in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0] {
        let candidates = [("odd", odd), ("x", 0.2), ("y", 0.4)].map(|(name, weight)| Candidate {
            name: name.to_owned(),
            weight,
            is_settled: true,
        });
        let pools: Vec<String> = (0..6).map(|number| format!("pool-{number}")).collect();
        let owners = ownership::owners(&pools, &candidates);
        assert_eq!(owners, ownership::owners(&pools, &candidates[1..]), "{odd}");
        assert_eq!(ownership::watchers(&candidates), ["y", "x"], "{odd}");
    }
}
