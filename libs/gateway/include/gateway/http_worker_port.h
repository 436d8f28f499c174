#pragma once

#include <chrono>

#include <cell/cell.h>
#include <link/link.h>

namespace gooseberry {

/** Sends start and stop requests to workers over HTTP: POST and DELETE below /v1/tasks. */
class HttpWorkerPort : public WorkerPort
{
public:
    HttpWorkerPort(HttpClient &initialClient, std::chrono::milliseconds initialDeadline);

    void sendStart(const InstanceId &worker, const Address &address, const StartMessage &message,
                   Callback done) override;
    void sendStop(const Address &address, const AttemptId &attempt) override;

private:
    HttpClient &client;
    std::chrono::milliseconds deadline;
};

} // namespace gooseberry
