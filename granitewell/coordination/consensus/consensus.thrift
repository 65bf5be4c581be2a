// What replicas of a group say to each other. Read at run time by thriftpy2; fields are only ever added, and only
// plain ones: lists are packed into binaries (encoding.py says why). sender and receiver are replica ids.
namespace py granitewell.coordination.consensus

struct PreVote { 1: string sender, 2: string receiver, 3: i64 term, 4: i64 last_index, 5: i64 last_term }
struct PreVoteReply { 1: string sender, 2: string receiver, 3: i64 term, 4: bool granted }
struct Vote {
  1: string sender, 2: string receiver, 3: i64 term, 4: i64 last_index, 5: i64 last_term, 6: bool leadership_transfer
}
struct VoteReply { 1: string sender, 2: string receiver, 3: i64 term, 4: bool granted }
struct Heartbeat {
  1: string sender, 2: string receiver, 3: i64 term, 4: i64 round, 5: i64 commit_index, 6: bool leased,
  7: i64 acknowledged_stamp = 0, 8: i64 leader_commit_index = 0
}
struct HeartbeatReply { 1: string sender, 2: string receiver, 3: i64 term, 4: i64 round, 5: i64 stamp = 0 }
struct Append {
  1: string sender, 2: string receiver, 3: i64 term, 4: i64 previous_index, 5: i64 previous_term,
  6: i64 commit_index, 7: binary entries
}
struct AppendReply {
  1: string sender, 2: string receiver, 3: i64 term, 4: bool accepted, 5: i64 index
}
struct SnapshotChunk {
  1: string sender, 2: string receiver, 3: i64 term, 4: i64 index, 5: i64 index_term, 6: binary membership,
  7: i64 offset, 8: i64 total, 9: binary data
}
struct SnapshotReply { 1: string sender, 2: string receiver, 3: i64 term, 4: i64 index, 5: i64 received }
struct TimeoutNow { 1: string sender, 2: string receiver, 3: i64 term }
struct Join { 1: string sender, 2: string receiver, 3: i64 term, 4: binary member, 5: bool forwarded }
struct Removed { 1: string sender, 2: string receiver, 3: i64 term }
struct Leave { 1: string sender, 2: string receiver, 3: i64 term }
struct LeaveReply { 1: string sender, 2: string receiver, 3: i64 term, 4: bool wait }
