//! What owners have to give by their last word, and to whom tasks are offered by it.

use syc_types::JobId;
use syc_types::JobSpec;
use syc_types::MemberId;
use syc_types::Resources;
use syc_types::hash;

use super::Part;

/// What an owner last said it has to give.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerRoom {
    /// Who said it.
    pub owner: MemberId,
    /// What no task holds, over all its workers.
    pub free: Resources,
    /// Tasks in its queue.
    pub queued_tasks: u64,
}

/// Orders the owners that a unit is offered to: those with room by what they last said, without a
/// queue before those with one, and different tasks begin at different owners. The order holds for
/// as long as they say nothing new.
#[must_use]
pub fn rank_owners(
    job_id: JobId,
    indexes: &[u32],
    spec: &JobSpec,
    members: &[MemberId],
    rooms: &[OwnerRoom],
) -> Vec<MemberId> {
    let first = indexes.first().copied().unwrap_or_default();
    let key = format!("{job_id}/{first}");
    let mut ranked: Vec<_> = members.iter().collect();
    ranked.sort_by_cached_key(|member| {
        let room = rooms.iter().find(|room| room.owner == **member);
        let fits = room.is_none_or(|room| fitting(room, &spec.resources) >= indexes.len());
        let queued = room.is_some_and(|room| room.queued_tasks > 0);
        let score = hash::score(&key, member.as_str());
        (!fits, queued, u64::MAX - score)
    });
    ranked.into_iter().cloned().collect()
}

/// Spreads a gang's tasks over several owners by what they last said; `None` where they have not
/// enough together.
#[must_use]
pub fn split(indexes: &[u32], size: &Resources, rooms: &[OwnerRoom]) -> Option<Vec<Part>> {
    let mut ordered: Vec<_> = rooms.iter().collect();
    ordered.sort_by_key(|room| std::cmp::Reverse((fitting(room, size), room.owner.clone())));
    let mut parts = Vec::new();
    let mut left = indexes;
    for room in ordered {
        let count = fitting(room, size).min(left.len());
        if count == 0 {
            break;
        }
        let (taken, rest) = left.split_at(count);
        parts.push(Part {
            owner: room.owner.clone(),
            indexes: taken.to_vec(),
        });
        left = rest;
    }
    (left.is_empty() && !parts.is_empty()).then_some(parts)
}

fn fitting(room: &OwnerRoom, size: &Resources) -> usize {
    let times = |free: u64, each: u64| free.checked_div(each).unwrap_or(u64::MAX);
    let fitting = times(room.free.cpu_millis, size.cpu_millis)
        .min(times(room.free.memory_bytes, size.memory_bytes))
        .min(times(
            u64::from(room.free.accelerators),
            u64::from(size.accelerators),
        ));
    usize::try_from(fitting).unwrap_or(usize::MAX)
}
