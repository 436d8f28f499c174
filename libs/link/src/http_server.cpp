#include <link/http_server.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <set>

#include <sys/socket.h>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "executor_impl.h"

namespace gooseberry {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using BoostError = boost::system::error_code;

/** How many of the largest bodies a server without a given budget takes at once. */
constexpr std::int64_t largestBodiesAtOnce = 4;

std::shared_ptr<RequestBudget> makeBudget(const HttpServerLimits &limits)
{
    const Bytes large(
        std::max(RequestMemoryLimits{}.large.value, limits.maxBody.value * largestBodiesAtOnce));
    return std::make_shared<RequestBudget>(requestMemoryLimits(Bytes(large.value * 2)));
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/** Connections above the limit that get a 503 response; further ones are closed at once. */
constexpr std::size_t maxRejectedSessions = 64;
constexpr std::chrono::milliseconds acceptRetryDelay{50};

/** Bytes that a header field takes in memory beside its name and value. */
constexpr std::size_t fieldOverhead = 80;
/** What the sender of a request that is refused with 503 is asked to wait. */
constexpr std::chrono::seconds refusalRetryDelay{1};

HttpResponse makeErrorResponse(unsigned status, const std::string &code, const std::string &message,
                               Outcome outcome = Outcome::NotRun)
{
    HttpResponse response;
    response.status = status;
    response.headers["content-type"] = "application/json";
    if (status == 503) {
        response.headers["retry-after"] = std::to_string(refusalRetryDelay.count());
    }
    response.body = R"({"code":")" + code + R"(","reason":")" + code
        + R"(","step":"receive","peer":"","outcome":")" + toString(outcome) + R"(","message":")"
        + message + "\"}";
    return response;
}

} // namespace

class HttpSession;

/** State shared by the sessions of one server. */
struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
    Impl(Executor &executor, HttpServerLimits initialLimits, Handler initialHandler,
         std::shared_ptr<RequestBudget> initialBudget)
        : context(executor.impl().context)
        , limits(initialLimits)
        , handler(std::move(initialHandler))
        , budget(std::move(initialBudget))
        , acceptor(asio::make_strand(context))
    {
    }

    void acceptNext();
    void startSession(tcp::socket socket);
    /** Accepts the connections in the listen backlog, then closes the acceptor. */
    void stopAccepting();
    void onSessionClosed(const std::shared_ptr<HttpSession> &session);
    bool isDraining() const
    {
        return this->draining.load();
    }

    asio::io_context &context;
    HttpServerLimits limits;
    Handler handler;
    std::shared_ptr<RequestBudget> budget;
    tcp::acceptor acceptor;
    std::atomic<bool> draining{false};

    std::mutex mutex;
    std::condition_variable allClosed;
    std::set<std::shared_ptr<HttpSession>> sessions;
    /** Set when the server is destroyed; a session started later would never be released. */
    bool destroyed = false;
    /** False once no further session can start. */
    bool accepting = false;
};

/** One connection. All its operations run on its own strand. */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(tcp::socket socket, std::shared_ptr<HttpServer::Impl> initialServer)
        : stream(std::move(socket))
        , server(std::move(initialServer))
        // Beast parses trailers and a chunk's extensions once they are complete, so that only the
        // size of the buffer bounds them.
        , buffer(std::max(static_cast<std::size_t>(this->server->limits.maxHeader.value),
                          firstReadSize))
        , charge(this->server->budget)
    {
        BoostError ignored;
        this->stream.socket().set_option(tcp::no_delay(true), ignored);
        const tcp::endpoint remote = this->stream.socket().remote_endpoint(ignored);
        this->peer = remote.address().to_string() + ':' + std::to_string(remote.port());
    }

    void start(bool overLimit)
    {
        asio::dispatch(this->stream.get_executor(), [self = this->shared_from_this(), overLimit]() {
            if (overLimit) {
                self->reject(503, "overloaded", "too many connections");
            } else {
                self->readHeader();
            }
        });
    }

    /** Closes the connection if it is waiting for a request; otherwise lets the request finish. */
    void closeIfIdle()
    {
        asio::dispatch(this->stream.get_executor(), [self = this->shared_from_this()]() {
            // A request that has arrived but has not been read counts as in flight.
            if (self->idle && self->hasReadRequest && !self->hasInput()) {
                self->close();
            } else if (self->idle && !self->hasReadRequest) {
                const auto timer = std::make_shared<asio::steady_timer>(self->stream.get_executor(),
                                                                        drainGracePeriod);
                timer->async_wait([self, timer](BoostError) {
                    if (self->idle) {
                        self->close();
                    }
                });
            }
        });
    }

private:
    void readHeader()
    {
        const bool draining = this->server->isDraining();
        if (draining && this->hasReadRequest && !this->hasInput()) {
            this->close();
            return;
        }
        this->idle = true;
        this->outgoing.reset();
        this->serializer.reset();
        this->fieldsSize = 0;
        this->sentContinue = false;
        this->parser.emplace();
        this->parser->header_limit(
            static_cast<std::uint32_t>(this->server->limits.maxHeader.value));
        this->parser->body_limit(static_cast<std::uint64_t>(this->server->limits.maxBody.value));
        this->stream.expires_after(draining ? drainGracePeriod : this->server->limits.idleTimeout);
        // The first byte ends the idle timeout and starts the read timeout of the whole request.
        if (this->buffer.size() > 0) {
            this->readRequest();
            return;
        }
        if (this->buffer.capacity() > firstReadSize) {
            this->buffer.clear();
            this->buffer.shrink_to_fit();
        }
        this->charge.set(Bytes(0));
        this->stream.async_read_some(
            this->buffer.prepare(firstReadSize),
            [self = this->shared_from_this()](BoostError error, std::size_t size) {
                if (error) {
                    self->close();
                    return;
                }
                self->buffer.commit(size);
                self->readRequest();
            });
    }

    bool hasInput()
    {
        BoostError ignored;
        return this->buffer.size() > 0 || this->stream.socket().available(ignored) > 0;
    }

    void readRequest()
    {
        this->idle = false;
        this->stream.expires_after(this->server->limits.readTimeout);
        this->parse();
    }

    /** Reads more of the request. The read timeout covers all reads of a request together. */
    void readMore()
    {
        const std::size_t room = this->buffer.max_size() - this->buffer.size();
        if (room == 0) {
            this->onReadError(http::error::buffer_overflow);
            return;
        }
        const std::size_t spare = this->buffer.capacity() - this->buffer.size();
        this->stream.async_read_some(
            this->buffer.prepare(std::min(room, std::max(spare, minReadSize))),
            [self = this->shared_from_this()](BoostError error, std::size_t size) {
                if (error == asio::error::eof) {
                    BoostError incomplete;
                    self->parser->put_eof(incomplete);
                    self->onReadError(incomplete);
                } else if (error) {
                    self->onReadError(error);
                } else {
                    self->buffer.commit(size);
                    self->parse();
                }
            });
    }

    /** Parses what has been read, and then handles the request or reads more of it. */
    void parse()
    {
        BoostError error;
        while (!error && !this->parser->is_done() && this->buffer.size() > 0) {
            if (!this->reserveBody() || !this->chargeRequest()) {
                this->refuseForMemory();
                return;
            }
            const bool hadHeader = this->parser->is_header_done();
            this->buffer.consume(this->parser->put(this->buffer.data(), error));
            if (!error && !hadHeader && this->parser->is_header_done()) {
                this->onHeader();
            }
        }
        if (error && error != http::error::need_more) {
            this->onReadError(error);
        } else if (!this->chargeRequest()) {
            this->refuseForMemory();
        } else if (this->parser->is_done()) {
            this->handle();
        } else if (this->parser->is_header_done() && !this->sentContinue
                   && beast::iequals(this->parser->get()[http::field::expect], "100-continue")) {
            this->sendContinue();
        } else {
            this->readMore();
        }
    }

    void onHeader()
    {
        for (const auto &field : this->parser->get()) {
            this->fieldsSize += fieldOverhead + field.name_string().size() + field.value().size();
        }
        this->parser->eager(true);
    }

    /**
     * Makes room for what the parser may add to the body next. Returns false if the budget has no
     * room. The parser reserves an announced length itself.
     */
    bool reserveBody()
    {
        if (!this->parser->is_header_done()) {
            return true;
        }
        std::string &body = this->parser->get().body();
        const auto announced = this->parser->content_length();
        const std::size_t needed
            = announced ? static_cast<std::size_t>(*announced) : body.size() + this->buffer.size();
        if (needed <= body.capacity()) {
            return true;
        }
        const auto limit = static_cast<std::size_t>(this->server->limits.maxBody.value);
        const std::size_t capacity
            = announced ? needed : std::max(needed, std::min(body.capacity() * 2, limit));
        if (!this->charge.set(this->heldBytes(capacity))) {
            return false;
        }
        if (!announced) {
            body.reserve(capacity);
        }
        return true;
    }

    Bytes heldBytes(std::size_t bodyCapacity) const
    {
        return Bytes(
            static_cast<std::int64_t>(this->buffer.capacity() + this->fieldsSize + bodyCapacity));
    }

    bool chargeRequest()
    {
        const std::string &body = this->parser->get().body();
        const auto announced
            = this->parser->is_header_done() ? this->parser->content_length() : boost::none;
        const std::size_t reserved = announced ? static_cast<std::size_t>(*announced) : 0;
        return this->charge.set(this->heldBytes(std::max(body.capacity(), reserved)));
    }

    void refuseForMemory()
    {
        this->reject(503, "overloaded", "the requests in progress hold all the memory they may");
    }

    void sendContinue()
    {
        this->sentContinue = true;
        this->continueResponse.emplace(http::status::continue_, 11);
        http::async_write(this->stream, *this->continueResponse,
                          [self = this->shared_from_this()](BoostError error, std::size_t) {
                              if (error) {
                                  self->close();
                              } else {
                                  self->parse();
                              }
                          });
    }

    void onReadError(BoostError error)
    {
        static const auto &httpCategory = make_error_code(http::error::bad_method).category();
        if (error == http::error::body_limit) {
            this->reject(413, "too-large", "the body exceeds the size limit");
        } else if (error == http::error::header_limit || error == http::error::buffer_overflow) {
            this->reject(431, "too-large", "the header exceeds the size limit");
        } else if (error == http::error::partial_message) {
            this->reject(400, "invalid-argument",
                         "the connection closed before the request was complete");
        } else if (error.category() == httpCategory && error != http::error::end_of_stream) {
            this->reject(400, "invalid-argument", "the request is not valid HTTP");
        } else {
            // Beast closes the socket on a timeout, so no response can be sent.
            this->close();
        }
    }

    /** Sends an error response and then closes the connection. */
    void reject(unsigned status, const std::string &code, const std::string &message)
    {
        this->keepAlive = false;
        this->unreadInput = true;
        this->parser.reset();
        this->buffer.clear();
        this->buffer.shrink_to_fit();
        this->fieldsSize = 0;
        this->charge.set(Bytes(0));
        this->write(makeErrorResponse(status, code, message));
    }

    void handle()
    {
        // The charge stays until the response is written: the handler may keep what was read.
        auto message = this->parser->release();
        this->keepAlive = message.keep_alive();
        this->isHeadRequest = message.method() == http::verb::head;
        this->hasReadRequest = true;
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &field : message) {
            request.headers[lowerCase(std::string(field.name_string()))]
                = std::string(field.value());
        }
        request.body = std::move(message.body());
        request.peer = this->peer;
        request.senderLeft = [self = this->shared_from_this()]() { return self->senderLeft(); };
        // The handler has no timeout here; the caller decides how long it waits.
        this->stream.expires_never();
        const auto responded = std::make_shared<std::atomic<bool>>(false);
        const auto respond = [self = this->shared_from_this(), responded](HttpResponse response) {
            if (responded->exchange(true)) {
                return;
            }
            asio::post(self->stream.get_executor(),
                       [self, response = std::move(response)]() { self->respond(response); });
        };
        try {
            this->server->handler(std::move(request), respond);
        } catch (...) {
            // Whether the request has had an effect is not known, so the sender may ask again.
            respond(makeErrorResponse(500, "internal", "the request could not be handled",
                                      Outcome::Unknown));
            throw;
        }
    }

    /** Returns whether the peer has sent its end of the connection, or reset it. */
    bool senderLeft()
    {
        char next = 0;
        const ssize_t size = ::recv(this->stream.socket().native_handle(), &next, sizeof next,
                                    MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno == ECONNRESET);
    }

    /**
     * Writes the handler's response if the budget has room for it. A short one is always written:
     * the charge of the request covers it, and the request may have had an effect.
     */
    void respond(const HttpResponse &response)
    {
        if (response.body.size() <= shortResponseSize
            || this->charge.set(this->heldBytes(response.body.size()))) {
            this->write(response);
            return;
        }
        // Not 503, which promises callers that the request never runs.
        this->keepAlive = false;
        this->write(
            makeErrorResponse(504, "overloaded", "no memory for the response", Outcome::Unknown));
    }

    void write(const HttpResponse &response)
    {
        this->keepAlive = this->keepAlive && !this->server->isDraining();
        this->outgoing.emplace();
        this->outgoing->version(11);
        this->outgoing->result(response.status);
        for (const auto &[name, value] : response.headers) {
            this->outgoing->set(name, value);
        }
        this->outgoing->body() = response.body;
        this->outgoing->keep_alive(this->keepAlive);
        this->outgoing->prepare_payload();
        this->stream.expires_after(this->server->limits.writeTimeout);
        this->serializer.emplace(*this->outgoing);
        const auto onWritten = [self = this->shared_from_this()](BoostError error, std::size_t) {
            self->onWritten(error);
        };
        if (this->isHeadRequest) {
            // The header states the length of the body that a GET would return.
            http::async_write_header(this->stream, *this->serializer, onWritten);
        } else {
            http::async_write(this->stream, *this->serializer, onWritten);
        }
    }

    void onWritten(BoostError error)
    {
        if (!error && this->unreadInput) {
            // Closing with unread input resets the connection, and the response may be lost.
            BoostError ignored;
            this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
            this->stream.expires_after(lingerTimeout);
            this->discardInput();
        } else if (error || !this->keepAlive) {
            this->close();
        } else {
            this->isHeadRequest = false;
            this->readHeader();
        }
    }

    /** Reads and discards input until the peer closes or the linger timeout passes. */
    void discardInput()
    {
        this->buffer.clear();
        this->stream.async_read_some(
            this->buffer.prepare(firstReadSize),
            [self = this->shared_from_this()](BoostError error, std::size_t) {
                if (error) {
                    self->close();
                } else {
                    self->discardInput();
                }
            });
    }

    void close()
    {
        BoostError ignored;
        this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        this->stream.close();
        this->server->onSessionClosed(this->shared_from_this());
    }

    static constexpr std::size_t firstReadSize = 4096;
    static constexpr std::size_t minReadSize = 512;
    /** No more than the read buffer, which every request is charged for. */
    static constexpr std::size_t shortResponseSize = firstReadSize;
    /** How long to keep reading from a rejected sender before closing. */
    static constexpr std::chrono::milliseconds lingerTimeout{1000};
    /** How long a new connection may take to send its first request during a drain. */
    static constexpr std::chrono::milliseconds drainGracePeriod{500};

    beast::tcp_stream stream;
    std::shared_ptr<HttpServer::Impl> server;
    beast::flat_buffer buffer;
    RequestCharge charge;
    /** The memory of the request's header fields, in bytes. */
    std::size_t fieldsSize = 0;
    std::optional<http::request_parser<http::string_body>> parser;
    std::optional<http::response<http::string_body>> outgoing;
    std::optional<http::response_serializer<http::string_body>> serializer;
    std::optional<http::response<http::empty_body>> continueResponse;
    std::string peer;
    bool idle = false;
    bool keepAlive = true;
    bool hasReadRequest = false;
    bool isHeadRequest = false;
    bool unreadInput = false;
    bool sentContinue = false;
};

void HttpServer::Impl::acceptNext()
{
    this->acceptor.async_accept(
        asio::make_strand(this->context),
        [self = this->shared_from_this()](BoostError error, tcp::socket socket) {
            if (!error) {
                self->startSession(std::move(socket));
            }
            if (error == asio::error::operation_aborted || self->isDraining()) {
                return;
            }
            if (!error) {
                self->acceptNext();
                return;
            }
            // Most likely out of file descriptors; the delay keeps the accept loop from spinning.
            const auto timer = std::make_shared<asio::steady_timer>(self->acceptor.get_executor(),
                                                                    acceptRetryDelay);
            timer->async_wait([self, timer](BoostError) {
                if (!self->isDraining()) {
                    self->acceptNext();
                }
            });
        });
}

void HttpServer::Impl::startSession(tcp::socket socket)
{
    auto session = std::make_shared<HttpSession>(std::move(socket), this->shared_from_this());
    bool overLimit = false;
    {
        const std::lock_guard lock(this->mutex);
        // A rejected session also holds a connection briefly, so their number is bounded too.
        if (this->destroyed
            || this->sessions.size() >= this->limits.maxConnections + maxRejectedSessions) {
            return;
        }
        overLimit = this->sessions.size() >= this->limits.maxConnections;
        this->sessions.insert(session);
    }
    session->start(overLimit);
}

void HttpServer::Impl::stopAccepting()
{
    // Connections in the listen backlog may already carry a request.
    BoostError error;
    this->acceptor.cancel(error);
    this->acceptor.non_blocking(true, error);
    while (!error && this->acceptor.is_open()) {
        tcp::socket socket(asio::make_strand(this->context));
        this->acceptor.accept(socket, error);
        if (!error) {
            this->startSession(std::move(socket));
        }
    }
    this->acceptor.close(error);
}

void HttpServer::Impl::onSessionClosed(const std::shared_ptr<HttpSession> &session)
{
    const std::lock_guard lock(this->mutex);
    this->sessions.erase(session);
    if (this->sessions.empty()) {
        this->allClosed.notify_all();
    }
}

HttpServer::HttpServer(Executor &executor, HttpServerLimits limits, Handler handler,
                       std::shared_ptr<RequestBudget> budget)
    : impl(std::make_shared<Impl>(executor, limits, std::move(handler),
                                  budget != nullptr ? std::move(budget) : makeBudget(limits)))
{
}

HttpServer::~HttpServer()
{
    this->drain(std::chrono::milliseconds(0));
    // Sessions and server state refer to each other, so a request without a response would leak
    // both.
    std::set<std::shared_ptr<HttpSession>> openSessions;
    {
        const std::lock_guard lock(this->impl->mutex);
        openSessions.swap(this->impl->sessions);
        this->impl->destroyed = true;
    }
}

Result<Address> HttpServer::listen(const Address &address)
{
    BoostError error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
    tcp::acceptor &acceptor = this->impl->acceptor;
    if (!error) {
        acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error{.code = ErrorCode::Unavailable,
                     .step = Step::Settings,
                     .peer = toString(address),
                     .message = "can't listen: " + error.message(),
                     .outcome = Outcome::NotRun};
    }
    {
        const std::lock_guard lock(this->impl->mutex);
        this->impl->accepting = true;
    }
    this->impl->acceptNext();
    return Address{.host = address.host, .port = acceptor.local_endpoint().port()};
}

bool HttpServer::drain(std::chrono::milliseconds timeout)
{
    this->impl->draining.store(true);
    asio::post(this->impl->acceptor.get_executor(), [server = this->impl]() {
        server->stopAccepting();
        std::set<std::shared_ptr<HttpSession>> openSessions;
        {
            const std::lock_guard lock(server->mutex);
            openSessions = server->sessions;
            server->accepting = false;
            server->allClosed.notify_all();
        }
        for (const auto &session : openSessions) {
            session->closeIfIdle();
        }
    });
    std::unique_lock lock(this->impl->mutex);
    return this->impl->allClosed.wait_for(
        lock, timeout, [this]() { return this->impl->sessions.empty() && !this->impl->accepting; });
}

} // namespace gooseberry
