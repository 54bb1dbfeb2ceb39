//! Order of a service's engines for an adapter and for a length of response.

use decisions::{length_split, relative_speed, replica_choice, units};
use xxhash_rust::xxh3;

use crate::{plan, replica, replica_table};

impl replica_table::ReplicaTable {
    /// Speeds of a service's engines.
    pub(crate) fn fleet_speeds(
        &self,
        service: &str,
        now: units::Timestamp,
    ) -> relative_speed::FleetSpeeds {
        let times: Vec<_> = self
            .replicas
            .iter()
            .filter(|replica| replica.record.service == service)
            .map(|replica| replica.token_times(now))
            .collect();
        relative_speed::FleetSpeeds::new(&times)
    }

    /// Whether each candidate prefers responses of the request's length.
    pub(crate) fn length_affinities(
        &self,
        candidates: &[&replica::Replica],
        plan: &plan::RequestPlan,
        speeds: &relative_speed::FleetSpeeds,
        now: units::Timestamp,
    ) -> Vec<replica_choice::LengthAffinity> {
        let place = |replica: &replica::Replica| {
            let times = replica.token_times(now);
            length_split::LengthPlace {
                tier: speeds.tier(times),
                hash: replica.address_hash(),
                capacity: speeds.capacity(times),
            }
        };
        let policy = self.remote_policy(&plan.service);
        let mut places: Vec<_> = self
            .replicas
            .iter()
            .filter(|replica| replica.record.service == plan.service)
            .map(|replica| (Self::group(policy, replica), place(replica)))
            .collect();
        places.sort_by_key(|(group, _)| *group);
        let splits: Vec<_> = places
            .chunk_by(|(one, _), (other, _)| one == other)
            .map(|group| {
                let members = group.iter().map(|(_, place)| *place).collect();
                (group[0].0, length_split::LengthSplit::new(members))
            })
            .collect();
        let affinity = |replica: &&replica::Replica| {
            let group = Self::group(policy, replica);
            let found = splits.binary_search_by_key(&group, |(name, _)| *name);
            let prefers_long =
                found.is_ok_and(|position| splits[position].1.prefers_long(&place(replica)));
            if prefers_long == plan.is_long {
                replica_choice::LengthAffinity::Preferred
            } else {
                replica_choice::LengthAffinity::Other
            }
        };
        candidates.iter().map(affinity).collect()
    }

    /// Rendezvous rank of each replica for the adapter, within its data centre unless distance does not
    /// count or the adapter is pooled.
    pub(crate) fn rendezvous_ranks(
        &self,
        replicas: &[&replica::Replica],
        plan: &plan::RequestPlan,
    ) -> Vec<u32> {
        let Some((_, adapter)) = plan.adapter() else {
            return vec![0; replicas.len()];
        };
        let seed = xxh3::xxh3_64(adapter.as_bytes());
        let policy = self.remote_policy(&plan.service);
        let is_pooled = self.remote.is_pooled(&plan.service, seed);
        let group = |replica| {
            if is_pooled && self.is_near(replica) {
                ""
            } else {
                Self::group(policy, replica)
            }
        };
        let mut order: Vec<(&str, u64, usize)> = replicas
            .iter()
            .enumerate()
            .map(|(position, replica)| {
                let hash = rendezvous_hash(replica, seed);
                (group(*replica), hash, position)
            })
            .collect();
        order.sort_unstable();
        let mut ranks = vec![0; replicas.len()];
        for group in order.chunk_by(|(one, ..), (other, ..)| one == other) {
            for (rank, (.., position)) in (0..).zip(group) {
                ranks[*position] = rank;
            }
        }
        ranks
    }
}

/// The address is hashed, because it survives restarts of the replica, as the adapters on its disk do.
pub(crate) fn rendezvous_hash(replica: &replica::Replica, adapter_hash: u64) -> u64 {
    let address = replica.record.address.to_string();
    xxh3::xxh3_64_with_seed(address.as_bytes(), adapter_hash)
}
