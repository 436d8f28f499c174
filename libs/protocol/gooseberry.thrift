/*
 * Messages between control instances and records of the replicated log, in Thrift's compact
 * protocol. Fields are required unless their absence has a meaning, so that a message with a
 * missing field is rejected instead of filled with a default. Numbers of fields and enum values are
 * never reused. Enum fields have type i32, because a C++ enum can't hold unknown values that
 * another version may send. Unsigned numbers are carried in signed types of the same width. All
 * times are in milliseconds.
 */

namespace cpp gooseberry.wire

enum JobClass { SERVICE = 1, BATCH = 2, GANG = 3, URGENT = 4 }

enum TaskState {
    PENDING = 1, RUNNING = 2, SUCCEEDED = 3, FAILED = 4, CANCELLED = 5, UNKNOWN = 6
}

enum AttemptResult { SUCCEEDED = 1, FAILED = 2, STOPPED = 3 }

enum EntryKind { COMMAND = 1, NO_OP = 2, MEMBERSHIP = 3 }

enum ErrorCode {
    INVALID_ARGUMENT = 1, TOO_LARGE = 2, UNAUTHENTICATED = 3, PERMISSION_DENIED = 4,
    NOT_FOUND = 5, CONFLICT = 6, IMPOSSIBLE = 7, LIMIT_EXCEEDED = 8, OVERLOADED = 9,
    NOT_LEADER = 10, UNAVAILABLE = 11, DEADLINE_EXCEEDED = 12, STORAGE_FULL = 13, CORRUPT = 14,
    EXPIRED = 15, INTERNAL = 16
}

enum Step {
    SETTINGS = 1, RECEIVE = 2, PARSE = 3, AUTHENTICATE = 4, ADMIT = 5, FORWARD = 6, COMMIT = 7,
    PLACE = 8, SEND = 9, RUN = 10, ANSWER = 11, STORE = 12, RECOVER = 13
}

enum Outcome { NOT_RUN = 1, UNKNOWN = 2 }

struct Resources {
    1: required i64 cpuMillis
    2: required i64 memoryBytes
    3: required i64 accelerators
    4: required i64 slots
}

struct FailureDomainSpec {
    1: required string id
    2: required string region
}

struct Team {
    1: required string id
    2: required string customer
    3: required double weight
    4: required Resources maximum
    5: required list<string> keys
    6: required Resources guaranteed
}

struct Queue {
    1: required string id
    2: required string team
    3: required bool openToAll
    4: required set<i32> classes // JobClass
    5: required i32 maxPendingTasks
}

struct Customer {
    1: required string id
    2: required double weight
    3: required list<Team> teams
    4: required list<Queue> queues
}

struct CellConfig {
    1: required list<FailureDomainSpec> domains
    2: required list<Customer> customers
    3: required binary source
}

struct Key {
    1: required string id
    2: required string team
    3: required string salt
    4: required string hash
}

struct JobSpec {
    1: required string queue
    2: required i32 jobClass // JobClass
    3: required i32 taskCount
    4: required Resources perTask
    5: required i64 expectedRunTime
    6: required bool repeatable
    7: required i32 maxAttempts
    8: required string jobTemplate
    9: required string serviceName
    10: required binary payload
}

struct InstanceSpec {
    1: required string id
    2: required string rack
    3: required string domain
    4: required Resources capacity
    5: required string serviceName
    6: required string host
    7: required i32 port
    8: required string incarnation
}

struct Placement {
    1: required i64 job
    2: required i32 task
    3: required i32 attempt
    4: required string instance
}

struct ApplyConfig {
    1: required i64 version
    2: required CellConfig config
    3: required i64 changeDigest
}

struct SetDomain {
    1: required string domain
    2: required bool inService
}

struct Submit {
    1: required string request
    2: required string team
    3: required JobSpec spec
}

struct Start {
    1: required i64 job
    2: required bool allOrNone
    3: required list<Placement> placements
}

struct Finish {
    1: required Placement placement
    2: required i32 result // AttemptResult
    3: required binary answer
}

struct Release {
    1: required Placement placement
    2: required bool mayHaveRun
}

union Command {
    1: ApplyConfig applyConfig
    2: Key grantKey
    3: string withdrawKey
    4: SetDomain setDomain
    5: Submit submit
    6: Start start
    7: Finish finish
    8: Release releaseAttempt
    9: i64 cancelJob
    10: InstanceSpec announce
    11: string depart
    12: i64 expireEndedBefore
}

struct StampedCommand {
    1: required i64 at
    2: required Command command
    3: required i64 origin
    4: required i64 number
}

struct ConfigImage {
    1: required i64 version
    2: required CellConfig config
    3: required map<i64, i64> digests
    4: required list<Key> keys
    5: required set<string> withdrawnKeys
    6: required set<string> domainsOut
}

struct TaskRecord {
    1: required i32 state // TaskState
    2: required i32 attempt
    3: required i32 failures
    4: required string instance
    5: required i64 startedAt
    6: required i64 endedAt
    /* Absent while there is no answer, which differs from an empty answer. */
    7: optional binary answer
}

struct JobRecord {
    1: required i64 id
    2: required string request
    3: required string team
    4: required JobSpec spec
    5: required list<TaskRecord> tasks
    6: required i64 submittedAt
    7: required i64 endedAt
    8: required bool cancelRequested
    9: required i32 endedTasks
}

struct CellImage {
    1: required i64 time
    2: required i64 lastJob
    3: required ConfigImage config
    4: required list<InstanceSpec> instances
    5: required set<string> departing
    6: required list<JobRecord> jobs
}

struct Membership {
    1: required set<string> voters
    2: required set<string> learners
    3: required map<string, i64> disks
}

struct LogEntry {
    1: required i64 index
    2: required i64 term
    3: required i32 kind // EntryKind
    4: required binary payload
    /* Absent when empty, as in every entry that changes no membership. */
    5: optional Membership membership
}

struct PreVote {
    1: required i64 term
    2: required i64 lastIndex
    3: required i64 lastTerm
    4: required i64 disk
}

struct PreVoteReply {
    1: required i64 term
    2: required bool granted
    3: required i64 disk
}

struct Vote {
    1: required i64 term
    2: required i64 lastIndex
    3: required i64 lastTerm
    4: required bool handOver
    5: required i64 disk
}

struct VoteReply {
    1: required i64 term
    2: required bool granted
}

struct Append {
    1: required i64 term
    2: required i64 prevIndex
    3: required i64 prevTerm
    4: required list<LogEntry> entries
    5: required i64 commit
    6: required i64 round
}

struct AppendReply {
    1: required i64 term
    2: required bool success
    3: required i64 matchIndex
    4: required i64 round
    5: required i64 disk
}

struct InstallSnapshot {
    1: required i64 term
    2: required i64 lastIndex
    3: required i64 lastTerm
    4: required Membership membership
    5: required i64 offset
    6: required binary chunk
    7: required bool last
}

struct InstallSnapshotReply {
    1: required i64 term
    2: required i64 lastIndex
    3: required i64 nextOffset
    4: required bool complete
}

struct TimeoutNow {
    1: required i64 term
}

union QuorumMessage {
    1: PreVote preVote
    2: PreVoteReply preVoteReply
    3: Vote vote
    4: VoteReply voteReply
    5: Append append
    6: AppendReply appendReply
    7: InstallSnapshot installSnapshot
    8: InstallSnapshotReply installSnapshotReply
    9: TimeoutNow timeoutNow
}

struct HttpRequest {
    1: required string method
    2: required string target
    3: required map<string, string> headers
    4: required binary body
    5: required string peer
}

struct HttpResponse {
    1: required i32 status
    2: required map<string, string> headers
    3: required binary body
}

struct Error {
    1: required i32 code // ErrorCode
    2: required i32 step // Step
    3: required string peer
    4: required string message
    5: required i32 outcome // Outcome
    6: required string reason
}

struct Forward {
    1: required i64 id
    /* The remaining time, because steady clocks of two machines can't be compared. */
    2: required i64 deadline
    3: required HttpRequest request
}

union ForwardResult {
    1: HttpResponse response
    2: Error error
}

struct ForwardReply {
    1: required i64 id
    2: required ForwardResult result
}

struct LeaderHint {
    /* Absent while no leader is known. */
    1: optional string leader
    2: required i64 term
}

union PeerMessage {
    1: QuorumMessage quorum
    2: Forward forward
    3: ForwardReply forwardReply
    4: LeaderHint leaderHint
}
