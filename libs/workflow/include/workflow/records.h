#pragma once

#include <codec/codec.h>
#include <workflow/workflow_state.h>

// Record encodings of this library's types. Members are encoded in order and without field numbers,
// so a changed order changes the stored format.

namespace gooseberry {

template<typename Codec>
void fields(Codec &codec, AdviserTiming &value)
{
    codec(value.decision, value.timePerWorker, value.ticketValidity);
}

template<typename Codec>
void fields(Codec &codec, QueueRule &value)
{
    codec(value.name, value.host, value.pathPrefix, value.upstream, value.requestTimeout,
          value.completionTarget, value.slackFactor, value.priority, value.attempts, value.advice,
          value.openToAll);
}

template<typename Codec>
void fields(Codec &codec, UpstreamRule &value)
{
    codec(value.name, value.workersEnforceCapacity, value.standby, value.healthPath);
}

template<typename Codec>
void fields(Codec &codec, CustomerRule &value)
{
    codec(value.id, value.keys, value.weight, value.limit);
}

template<typename Codec>
void fields(Codec &codec, RoutingConfig &value)
{
    codec(value.version, value.queues, value.upstreams, value.customers, value.document);
}

template<typename Codec>
void fields(Codec &codec, StepSpec &value)
{
    codec(value.count, value.size, value.estimate, value.dependsOn, value.checkpointing, value.gang,
          value.rackSensitive, value.allowDuplicates, value.longRunning, value.fillsIdleCpu,
          value.requiredLabel, value.dataRack, value.image, value.maxPerWorker,
          value.responseTarget, value.maxUnavailable);
}

template<typename Codec>
void fields(Codec &codec, Timetable &value)
{
    codec(value.occurrences, value.first, value.interval);
}

template<typename Codec>
void fields(Codec &codec, WorkflowSpec &value)
{
    codec(value.payload, value.steps, value.timetable);
}

template<typename Codec>
void fields(Codec &codec, TaskKey &value)
{
    codec(value.workflow, value.occurrence, value.step, value.index);
}

template<typename Codec>
void fields(Codec &codec, WorkerRecord &value)
{
    codec(value.id, value.address, value.incarnation, value.upstream, value.domain, value.labels,
          value.rack, value.capacity, value.draining, value.announcement);
}

template<typename Codec>
void fields(Codec &codec, PutConfig &value)
{
    codec(value.config);
}

template<typename Codec>
void fields(Codec &codec, AcceptWorkflow &value)
{
    codec(value.id, value.queue, value.upstream, value.customer, value.attempts, value.spec);
}

template<typename Codec>
void fields(Codec &codec, RunAssignment &value)
{
    codec(value.task, value.run, value.worker, value.incarnation, value.checkpoint);
}

template<typename Codec>
void fields(Codec &codec, AssignRuns &value)
{
    codec(value.runs);
}

template<typename Codec>
void fields(Codec &codec, RunEnd &value)
{
    codec(value.task, value.run, value.result, value.checkpoint);
}

template<typename Codec>
void fields(Codec &codec, EndRuns &value)
{
    codec(value.ends);
}

template<typename Codec>
void fields(Codec &codec, CancelWorkflow &value)
{
    codec(value.id);
}

template<typename Codec>
void fields(Codec &codec, SetEvacuation &value)
{
    codec(value.domain, value.evacuated);
}

template<typename Codec>
void fields(Codec &codec, OrderEvacuation &value)
{
    codec(value.domain, value.evacuated, value.expectedRevision);
}

template<typename Codec>
void fields(Codec &codec, AnnounceWorker &value)
{
    codec(value.worker);
}

template<typename Codec>
void fields(Codec &codec, ForgetWorker &value)
{
    codec(value.id, value.incarnation);
}

template<typename Codec>
void fields(Codec &codec, RecordStarts &value)
{
    codec(value.workflows);
}

template<typename Codec>
void fields(Codec &codec, StoredTask &value)
{
    codec(value.phase, value.run, value.worker, value.incarnation, value.failures,
          value.checkpoint);
}

template<typename Codec>
void fields(Codec &codec, StepState &value)
{
    codec(value.tasks, value.done, value.gangFailures, value.lastFailedRun);
}

template<typename Codec>
void fields(Codec &codec, RetiredQueue &value)
{
    codec(value.rule, value.retiredAt);
}

template<typename Codec>
void fields(Codec &codec, RetiredCustomer &value)
{
    codec(value.rule, value.retiredAt);
}

template<typename Codec>
void fields(Codec &codec, OccurrenceSet &value)
{
    codec(value.ranges);
}

/** A workflow as stored in a snapshot. */
struct StoredWorkflow
{
    WorkflowRecord record;
    WorkflowSpec spec;
};

template<typename Codec>
void fields(Codec &codec, StoredWorkflow &value)
{
    WorkflowRecord &record = value.record;
    codec(record.id, record.queue, record.upstream, record.customer, record.attempts,
          record.acceptedAt, record.phase, record.endedAt, value.spec, record.occurrences,
          record.occurrencesDone);
}

/** The whole replicated state as stored in a snapshot. */
struct StoredState
{
    /**
     * Version 1 has no retired queues and customers. Up to version 2, a workflow is running from
     * its first assignment on. Up to version 3, the state of ended occurrences is kept whole. Up to
     * version 4, orders for evacuations have no revision. Up to version 5, nothing tells when
     * workers were announced.
     */
    std::uint32_t version = 6;
    CellTime now;
    std::optional<RoutingConfig> config;
    std::set<FailureDomainId> evacuated;
    std::map<InstanceId, WorkerRecord> workers;
    std::vector<StoredWorkflow> workflows;
    std::vector<RetiredQueue> retiredQueues;
    std::vector<RetiredCustomer> retiredCustomers;
    /** Of workflows with a timetable that have not ended. */
    std::map<WorkflowId, OccurrenceSet> endedOccurrences;
    std::map<FailureDomainId, std::uint64_t> evacuationRevisions;
    std::map<InstanceId, CellTime> restartedAt;
};

template<typename Codec>
void fields(Codec &codec, StoredState &value)
{
    codec(value.version, value.now, value.config, value.evacuated, value.workers, value.workflows);
    if (value.version >= 2) {
        codec(value.retiredQueues, value.retiredCustomers);
    }
    if (value.version >= 4) {
        codec(value.endedOccurrences);
    }
    if (value.version >= 5) {
        codec(value.evacuationRevisions);
    }
    if (value.version >= 6) {
        codec(value.restartedAt);
    }
}

} // namespace gooseberry
