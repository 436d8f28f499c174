#include <link/http_client.h>

#include <algorithm>
#include <optional>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "connection_pool.h"
#include "executor_impl.h"

namespace gooseberry {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using BoostError = boost::system::error_code;

/** Returns whether the text would end a header line, which would allow header injection. */
bool containsLineBreak(const std::string &text)
{
    return text.find_first_of(std::string("\r\n\0", 3)) != std::string::npos;
}

bool isWellFormed(const HttpRequest &request)
{
    return !request.method.empty() && !request.target.empty() && !containsLineBreak(request.method)
        && !containsLineBreak(request.target)
        && std::none_of(request.headers.begin(), request.headers.end(), [](const auto &field) {
               return field.first.empty() || containsLineBreak(field.first)
                   || containsLineBreak(field.second);
           });
}

/** Returns whether this process ran out of a resource that a connection needs. */
bool isLocalShortage(BoostError error)
{
    namespace errc = boost::system::errc;
    return error == errc::too_many_files_open || error == errc::too_many_files_open_in_system
        || error == errc::no_buffer_space || error == errc::not_enough_memory
        || error == errc::address_not_available;
}

/** One request and its response. Once it has a connection, it runs on the connection's strand. */
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    HttpExchange(std::shared_ptr<ConnectionPool> initialPool, Address initialAddress,
                 std::chrono::milliseconds deadline, HttpClient::Callback initialDone)
        : pool(std::move(initialPool))
        , address(std::move(initialAddress))
        , startedAt(std::chrono::steady_clock::now())
        , deadlineAt(startedAt + deadline)
        , done(std::move(initialDone))
    {
    }

    void start(const HttpRequest &message, Bytes maxResponseBody)
    {
        BoostError error;
        this->endpoint
            = tcp::endpoint(asio::ip::make_address(this->address.host, error), this->address.port);
        if (error || !isWellFormed(message)) {
            this->done(this->makeError(ErrorCode::InvalidArgument,
                                       "the request or the address is malformed", Outcome::NotRun));
            return;
        }
        this->request.method_string(message.method);
        this->request.target(message.target);
        this->request.version(11);
        for (const auto &[name, value] : message.headers) {
            this->request.set(name, value);
        }
        this->request.set(http::field::host, toString(this->address));
        this->request.keep_alive(true);
        this->request.body() = message.body;
        this->request.prepare_payload();
        this->bodyLimit = static_cast<std::uint64_t>(maxResponseBody.value);
        this->acquire();
    }

private:
    void acquire()
    {
        this->pool->acquire(
            this->address, this->deadlineAt,
            [self = this->shared_from_this()](Result<std::shared_ptr<PooledConnection>> acquired) {
                if (!ok(acquired)) {
                    self->done(errorOf(acquired));
                    return;
                }
                self->connection = valueOf(std::move(acquired));
                asio::dispatch(self->connection->socket.get_executor(),
                               [self]() { self->connect(); });
            });
    }

    void connect()
    {
        this->timer.emplace(this->connection->socket.get_executor(), this->deadlineAt);
        this->ownsConnection = std::make_shared<bool>(true);
        this->timer->async_wait([self = this->shared_from_this(), held = this->connection,
                                 ownsConnection = this->ownsConnection](BoostError error) {
            // A timer that expired just before the connection was released must not close it.
            if (!error && *ownsConnection) {
                // The pending operation fails and reports the error.
                self->timedOut = true;
                BoostError ignored;
                held->socket.close(ignored);
            }
        });
        if (this->connection->reused) {
            this->write();
            return;
        }
        this->connection->socket.async_connect(
            this->endpoint, [self = this->shared_from_this()](BoostError error) {
                if (error || self->timedOut) {
                    self->fail(error, Outcome::NotRun);
                    return;
                }
                BoostError ignored;
                self->connection->socket.set_option(tcp::no_delay(true), ignored);
                self->write();
            });
    }

    void write()
    {
        http::async_write(this->connection->socket, this->request,
                          [self = this->shared_from_this()](BoostError error, std::size_t written) {
                              if (!error) {
                                  self->read();
                              } else if (written > 0) {
                                  self->fail(error, Outcome::Unknown);
                              } else if (self->connection->reused && !self->timedOut) {
                                  // Nothing was written, so another connection may be tried.
                                  self->releaseConnection(false);
                                  self->acquire();
                              } else {
                                  self->fail(error, Outcome::NotRun);
                              }
                          });
    }

    void read()
    {
        this->parser.emplace();
        this->parser->body_limit(this->bodyLimit);
        this->parser->skip(this->request.method() == http::verb::head);
        http::async_read(this->connection->socket, this->connection->buffer, *this->parser,
                         [self = this->shared_from_this()](BoostError error, std::size_t) {
                             if (error || self->timedOut) {
                                 self->fail(error, Outcome::Unknown);
                             } else if (self->parser->need_eof()) {
                                 self->releaseConnection(false);
                                 self->done(self->makeError(ErrorCode::Unavailable,
                                                            "the response has no length",
                                                            Outcome::Unknown));
                             } else {
                                 self->succeed();
                             }
                         });
    }

    void succeed()
    {
        auto message = this->parser->release();
        HttpResponse response;
        response.status = message.result_int();
        for (const auto &field : message) {
            std::string name(field.name_string());
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            response.headers[name] = std::string(field.value());
        }
        response.body = std::move(message.body());
        // Surplus bytes after the response would be parsed as the next response.
        this->releaseConnection(message.keep_alive() && this->connection->buffer.size() == 0);
        this->done(std::move(response));
    }

    void fail(BoostError error, Outcome outcome)
    {
        this->releaseConnection(false);
        if (this->timedOut) {
            this->pool->closeIdle(this->address, this->startedAt);
            this->done(this->makeError(ErrorCode::DeadlineExceeded,
                                       "no complete response arrived in time", outcome));
            return;
        }
        const ErrorCode code
            = isLocalShortage(error) ? ErrorCode::Overloaded : ErrorCode::Unavailable;
        this->done(this->makeError(code, error.message(), outcome));
    }

    void releaseConnection(bool reusable)
    {
        *this->ownsConnection = false;
        this->timer->cancel();
        this->pool->release(this->address, std::exchange(this->connection, nullptr), reusable);
    }

    Error makeError(ErrorCode code, const std::string &message, Outcome outcome) const
    {
        return Error{.code = code,
                     .step = Step::Send,
                     .peer = toString(this->address),
                     .message = message,
                     .outcome = outcome};
    }

    std::shared_ptr<ConnectionPool> pool;
    Address address;
    SteadyTime startedAt;
    SteadyTime deadlineAt;
    HttpClient::Callback done;
    tcp::endpoint endpoint;
    std::shared_ptr<PooledConnection> connection;
    std::optional<asio::steady_timer> timer;
    /** Whether the exchange still owns the current connection; used only on its strand. */
    std::shared_ptr<bool> ownsConnection;
    bool timedOut = false;
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::string_body>> parser;
    std::uint64_t bodyLimit = 0;
};

} // namespace

struct HttpClient::Impl
{
    std::shared_ptr<ConnectionPool> pool;
    HttpClientLimits limits;
};

HttpClient::HttpClient(Executor &executor, HttpClientLimits limits)
    : impl(std::make_shared<Impl>(
        Impl{.pool = std::make_shared<ConnectionPool>(executor.impl().context, limits),
             .limits = limits}))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(const Address &address, const HttpRequest &request,
                      std::chrono::milliseconds deadline, Callback done)
{
    std::make_shared<HttpExchange>(this->impl->pool, address, deadline, std::move(done))
        ->start(request, this->impl->limits.maxResponseBody);
}

HttpClientUsage HttpClient::usage() const
{
    return this->impl->pool->usage();
}

} // namespace gooseberry
