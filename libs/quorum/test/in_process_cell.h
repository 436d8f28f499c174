#pragma once

#include <quorum/quorum.h>

#include <condition_variable>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace gooseberry {

/** A state machine that records the applied commands in order. */
class RecordingMachine : public StateMachine
{
public:
    void apply(const LogEntry &entry) override
    {
        const std::lock_guard lock(this->mutex);
        this->commands.push_back(entry.payload);
        this->changed.notify_all();
    }
    std::string snapshot() override
    {
        const std::lock_guard lock(this->mutex);
        this->snapshots += 1;
        std::string bytes;
        for (const std::string &command : this->commands) {
            bytes += command + '\n';
        }
        return bytes;
    }
    Status restore(const std::string &bytes) override
    {
        const std::lock_guard lock(this->mutex);
        this->restored += 1;
        this->commands.clear();
        for (std::size_t begin = 0; begin < bytes.size();) {
            const std::size_t end = bytes.find('\n', begin);
            this->commands.push_back(bytes.substr(begin, end - begin));
            begin = end + 1;
        }
        this->changed.notify_all();
        return Done{};
    }
    void leadershipBegan(Term term) override
    {
        const std::lock_guard lock(this->mutex);
        this->ledTerm = term;
        this->changed.notify_all();
    }
    void leadershipEnded() override
    {
        const std::lock_guard lock(this->mutex);
        this->ledTerm = Term(0);
    }

    /** Waits until count commands have been applied. Returns false after 30 seconds. */
    bool waitForCommands(std::size_t count)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_until(lock,
                                        std::chrono::system_clock::now() + std::chrono::seconds(30),
                                        [&] { return this->commands.size() >= count; });
    }
    /**
     * Waits until count different commands have been applied; a command that was applied again
     * after a retry counts once. Returns false after 30 seconds.
     */
    bool waitForDistinctCommands(std::size_t count)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_until(
            lock, std::chrono::system_clock::now() + std::chrono::seconds(30), [&] {
                return std::set<std::string_view>(this->commands.begin(), this->commands.end())
                           .size()
                    >= count;
            });
    }
    std::vector<std::string> applied()
    {
        const std::lock_guard lock(this->mutex);
        return this->commands;
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> commands;
    Term ledTerm;
    int snapshots = 0;
    int restored = 0;
};

/** Runs replicas in one process that call each other directly; each has its own data folder. */
class InProcessCell
{
public:
    explicit InProcessCell(const std::vector<std::string> &names)
    {
        std::string pattern
            = (std::filesystem::temp_directory_path() / "gl_quorum_XXXXXX").string();
        this->folder = ::mkdtemp(pattern.data());
        for (const std::string &name : names) {
            this->defaults.initialMembership.voters.emplace(name);
        }
        this->defaults.bootstrap = true;
    }
    InProcessCell(const InProcessCell &) = delete;
    InProcessCell &operator=(const InProcessCell &) = delete;
    ~InProcessCell()
    {
        this->stopAll();
        std::filesystem::remove_all(this->folder);
    }

    struct Node : ReplicaTransport
    {
        InProcessCell *cell = nullptr;
        InstanceId id;
        RecordingMachine machine;
        std::unique_ptr<Replica> replica;

        void send(const InstanceId &to, QuorumMessage message) override
        {
            this->cell->deliver(this->id, to, std::move(message));
        }
    };

    /** Starts a replica with a new state machine on its existing data folder. */
    Status start(const std::string &name)
    {
        auto node = std::make_shared<Node>();
        node->cell = this;
        node->id = InstanceId(name);
        ReplicaSettings settings = this->defaults;
        settings.self = node->id;
        settings.dataFolder = this->folder / name;
        node->replica = std::make_unique<Replica>(settings, node->machine, *node, this->clock);
        {
            const std::lock_guard lock(this->mutex);
            this->nodes[node->id] = node;
        }
        return node->replica->start();
    }
    void startAll()
    {
        for (const InstanceId &id : this->defaults.initialMembership.voters) {
            this->start(id.value);
        }
    }
    void stop(const std::string &name)
    {
        std::shared_ptr<Node> node;
        {
            const std::lock_guard lock(this->mutex);
            node = std::move(this->nodes[InstanceId(name)]);
            this->nodes.erase(InstanceId(name));
        }
        if (node) {
            node->replica->stop();
        }
    }
    void stopAll()
    {
        for (const std::string &name : this->running()) {
            this->stop(name);
        }
    }
    void eraseDisk(const std::string &name)
    {
        std::filesystem::remove_all(this->folder / name);
    }

    std::vector<std::string> running()
    {
        const std::lock_guard lock(this->mutex);
        std::vector<std::string> names;
        for (const auto &[id, node] : this->nodes) {
            names.push_back(id.value);
        }
        return names;
    }
    std::shared_ptr<Node> node(const std::string &name)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->nodes.find(InstanceId(name));
        return found == this->nodes.end() ? nullptr : found->second;
    }

    /** Waits for a replica that holds the lease and returns its name, or "" after the limit. */
    std::string waitForLeader(std::chrono::seconds limit = std::chrono::seconds(20))
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < end) {
            for (const std::string &name : this->running()) {
                const auto candidate = this->node(name);
                if (candidate && candidate->replica->holdsLease()) {
                    return name;
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return {};
    }

    void deliver(const InstanceId &from, const InstanceId &to, QuorumMessage message)
    {
        std::shared_ptr<Node> receiver;
        {
            const std::lock_guard lock(this->mutex);
            const auto found = this->nodes.find(to);
            if (found == this->nodes.end() || !this->nodes.contains(from)
                || this->isolated.contains(from) || this->isolated.contains(to)) {
                return;
            }
            receiver = found->second;
        }
        receiver->replica->receive(from, std::move(message));
    }
    void isolate(const std::string &name, bool cut)
    {
        const std::lock_guard lock(this->mutex);
        if (cut) {
            this->isolated.insert(InstanceId(name));
        } else {
            this->isolated.erase(InstanceId(name));
        }
    }

    ReplicaSettings defaults;
    std::filesystem::path folder;
    SystemClock clock;

private:
    std::mutex mutex;
    std::map<InstanceId, std::shared_ptr<Node>> nodes;
    std::set<InstanceId> isolated;
};

} // namespace gooseberry
