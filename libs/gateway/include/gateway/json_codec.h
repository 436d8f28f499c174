#pragma once

#include <map>
#include <string>
#include <vector>

#include <base/base.h>
#include <cell/cell.h>

namespace gooseberry {

/** Body of a worker announcement: its address and capacity, and its first report. */
struct WorkerAnnouncement
{
    InstanceSpec instance;
    WorkerReport report;
};

/** Load and capacity of the whole cell; "gooseberryctl plan" checks a change against them. */
struct CellOverview
{
    std::map<QueueId, QueueLoad> queues;
    Resources capacity;
    std::size_t workers = 0;
};

// Readers fail with InvalidArgument and name the field, the value and what is allowed. They refuse
// unknown fields, so that a misspelt one is not ignored.
Result<JobSpec> readJobSpec(const std::string &json);
Result<WorkerAnnouncement> readAnnouncement(const std::string &json);
Result<WorkerReport> readReport(const InstanceId &worker, const std::string &json);
Result<Key> readKey(const std::string &json);
/** Reads "job.index.attempt". */
Result<AttemptId> readAttemptId(const std::string &text);

std::string writeError(const Error &error);
std::string writeSubmitReply(const SubmitReply &reply);
std::string writeJob(const JobRecord &job);
std::string writeLease(const WorkerLease &lease);
std::string writeStart(const StartMessage &message);
std::string writeTop(const std::vector<TeamOverview> &teams, const CellOverview &cell);
/** Writes version, declarations, ids of keys and domains out of service, but no salt and no hash.
 */
std::string writeConfig(const ConfigImage &image);

} // namespace gooseberry
