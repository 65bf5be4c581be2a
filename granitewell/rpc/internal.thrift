// What nodes of the system say to each other. Read at run time by thriftpy2; fields are only ever added.
namespace py granitewell.rpc.internal

// version of the weights; absent if it is not known
struct LoadedModel { 1: string name, 2: list<string> adapters, 3: optional i64 version }
struct Server {
  1: string id, 2: string service_name, 3: string address, 4: string zone, 5: i32 slots,
  6: i32 state, 7: i32 remaining_ms, 8: list<LoadedModel> models
}

// Where a watcher stands in one shard's table of servers: epoch is the owner's term, sequence counts changes.
struct TableVersion { 1: i32 shard, 2: i64 epoch, 3: i64 sequence }
struct TableUpdate {
  1: TableVersion version, 2: bool is_complete, 3: list<Server> changed, 4: list<string> removed,
  5: i32 list_age_ms   // how long ago the platform's list was read for this table; -1 for never
}
struct ConfigurationUpdate { 1: i64 version, 2: bool is_complete, 3: list<binary> documents }

struct WatchRequest {
  1: string node, 2: string zone, 3: bool edge, 4: i64 configuration_version,
  5: list<TableVersion> tables, 6: i32 hold_ms, 7: i64 members_digest,
  8: optional bool members_only   // only control_nodes are wanted; the watcher is not counted as an edge
}
struct WatchReply {
  1: optional ConfigurationUpdate configuration, 2: list<TableUpdate> tables,
  3: list<string> control_nodes,   // `ip:port` of internal addresses; empty where members_digest is the same
  4: i64 members_digest, 5: i32 edges, 6: i32 max_edges,
  7: optional bool is_referral,   // the sender has no replica: control_nodes is what it has heard of, to be asked instead
  8: optional bool edges_partial   // edges and max_edges are lower bounds: the sender has just started, joined, or been cut off
}

struct Demand {
  1: string service_name, 2: string model, 3: string adapter, 4: i32 requests, 5: i32 waiting, 6: i32 in_flight,
  7: i32 priority
}
struct DemandReport {
  1: string node, 2: string zone, 3: list<Demand> demands,
  4: bool forwarded   // by a control node to the owner: never forwarded again
}

// One datagram of a replica group; payload is a message of the consensus library.
struct GroupMessage { 1: string group, 2: string sender_address, 3: binary payload }

// How many edges a control node hears from, and which process of that node says so, told to the other control
// nodes. has_members is false while the sender knows no members of its groups, as before it has joined; absent from
// older versions.
struct EdgeCount { 1: string node, 2: i32 edges, 3: string incarnation, 4: string address, 5: optional bool has_members }
