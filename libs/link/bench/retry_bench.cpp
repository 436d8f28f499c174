// Compares two client retry policies for requests that must run once: counts duplicate runs and
// false "not run" reports. The upstream runs every request it reads, pauses and then closes two
// out of three connections without a response. The first attempt of every third request is
// refused, as by a worker that restarts.

#include <link/link.h>

#include <atomic>
#include <cstdio>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace {

using namespace gooseberry;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr int requestCount = 300;
constexpr int maxAttempts = 3;
constexpr milliseconds upstreamPause{5};
constexpr milliseconds deadline{1000};

/** An upstream that runs every request it reads but responds only to every third one. */
class ClosingUpstream
{
public:
    ClosingUpstream()
        : acceptor(this->context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , thread([this]() { this->serve(); })
    {
    }
    ~ClosingUpstream()
    {
        // A last connection unblocks the thread, which waits in accept().
        this->stopping.store(true);
        asio::io_context waker;
        tcp::socket socket(waker);
        boost::system::error_code ignored;
        socket.connect(this->acceptor.local_endpoint(), ignored);
        socket.close(ignored);
        this->thread.join();
    }
    ClosingUpstream(const ClosingUpstream &) = delete;
    ClosingUpstream &operator=(const ClosingUpstream &) = delete;

    Address address() const
    {
        return {.host = "127.0.0.1", .port = this->acceptor.local_endpoint().port()};
    }
    int runsOf(const std::string &target)
    {
        const std::lock_guard lock(this->mutex);
        return this->runs[target];
    }

private:
    void serve()
    {
        for (int count = 0; !this->stopping.load();) {
            tcp::socket socket(this->context);
            boost::system::error_code error;
            this->acceptor.accept(socket, error);
            std::string bytes;
            asio::read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n", error);
            if (error) {
                continue;
            }
            const std::size_t begin = bytes.find(' ') + 1;
            {
                const std::lock_guard lock(this->mutex);
                ++this->runs[bytes.substr(begin, bytes.find(' ', begin) - begin)];
            }
            std::this_thread::sleep_for(upstreamPause);
            if (++count % 3 == 0) {
                const std::string response
                    = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                asio::write(socket, asio::buffer(response), error);
            }
        }
    }

    asio::io_context context;
    tcp::acceptor acceptor;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::map<std::string, int> runs;
    std::thread thread;
};

Result<HttpResponse> sendAndWait(HttpClient &client, const Address &address,
                                 const std::string &target)
{
    const HttpRequest request{
        .method = "POST", .target = target, .headers = {}, .body = {}, .peer = {}};
    std::promise<Result<HttpResponse>> promise;
    client.send(address, request, deadline,
                [&promise](Result<HttpResponse> reply) { promise.set_value(std::move(reply)); });
    return promise.get_future().get();
}

struct Counts
{
    int answered = 0;
    int reportedNotRun = 0;
    int reportedUnknown = 0;
    int duplicates = 0;
    int falseNotRun = 0;
};

/** When a caller retries, and what it reports after the last error of a request. */
enum class Policy {
    RetryOnAnyError, ///< Retries after every error; reports the last one as "not run".
    RetryIfNothingSent, ///< Retries, and reports "not run", only for outcome NotRun.
};

Counts runPolicy(Executor &executor, Policy policy)
{
    ClosingUpstream upstream;
    HttpClient client(executor);
    const Address closedPort{.host = "127.0.0.1", .port = 1};
    Counts counts;
    for (int i = 0; i < requestCount; ++i) {
        const std::string target = "/" + std::to_string(i);
        Result<HttpResponse> reply = Error{};
        bool again = true;
        for (int attempt = 0; attempt < maxAttempts && again; ++attempt) {
            // The first attempt of every third request goes to a port that nothing listens on.
            const bool refused = attempt == 0 && i % 3 == 0;
            reply = sendAndWait(client, refused ? closedPort : upstream.address(), target);
            again = !ok(reply)
                && (policy == Policy::RetryOnAnyError || errorOf(reply).outcome == Outcome::NotRun);
        }
        const int runs = upstream.runsOf(target);
        counts.duplicates += runs > 1 ? 1 : 0;
        if (ok(reply)) {
            ++counts.answered;
        } else if (policy == Policy::RetryOnAnyError || errorOf(reply).outcome == Outcome::NotRun) {
            ++counts.reportedNotRun;
            counts.falseNotRun += runs > 0 ? 1 : 0;
        } else {
            ++counts.reportedUnknown;
        }
    }
    return counts;
}

void print(const char *name, const Counts &counts)
{
    std::printf("%-22s %8d %9d %8d %10d %14d\n", name, counts.answered, counts.reportedNotRun,
                counts.reportedUnknown, counts.duplicates, counts.falseNotRun);
}

} // namespace

int main()
{
    Executor executor(2);
    std::printf("%d requests, at most %d attempts each\n", requestCount, maxAttempts);
    std::printf("%-22s %8s %9s %8s %10s %14s\n", "policy", "answered", "not-run", "unknown",
                "duplicates", "false refusals");
    print("retry on any error", runPolicy(executor, Policy::RetryOnAnyError));
    print("retry if nothing sent", runPolicy(executor, Policy::RetryIfNothingSent));
    return 0;
}
