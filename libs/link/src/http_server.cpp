#include <link/http_server.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <set>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
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
using ErrorCodeValue = boost::system::error_code;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

HttpResponse plainError(unsigned status, const std::string &code, const std::string &message)
{
    HttpResponse response;
    response.status = status;
    response.headers["content-type"] = "application/json";
    response.body = R"({"code":")" + code + R"(","reason":")" + code
        + R"(","step":"receive","peer":"","outcome":"not-run","message":")" + message + "\"}";
    return response;
}

} // namespace

class HttpSession;

/** State that the sessions of one server share. */
struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
    Impl(Executor &executor, HttpServerLimits initialLimits, Handler initialHandler)
        : context(executor.impl().context)
        , limits(initialLimits)
        , handler(std::move(initialHandler))
        , acceptor(asio::make_strand(context))
    {
    }

    void accept();
    void closed(const std::shared_ptr<HttpSession> &session);
    bool isDraining() const
    {
        return this->draining.load();
    }

    asio::io_context &context;
    HttpServerLimits limits;
    Handler handler;
    tcp::acceptor acceptor;
    std::atomic<bool> draining{false};

    std::mutex mutex;
    std::condition_variable allClosed;
    std::set<std::shared_ptr<HttpSession>> sessions;
};

/** One connection. All its steps run on its own strand. */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(tcp::socket socket, std::shared_ptr<HttpServer::Impl> initialServer)
        : stream(std::move(socket))
        , server(std::move(initialServer))
    {
        ErrorCodeValue ignored;
        this->stream.socket().set_option(tcp::no_delay(true), ignored);
        const tcp::endpoint remote = this->stream.socket().remote_endpoint(ignored);
        this->peer = remote.address().to_string() + ':' + std::to_string(remote.port());
    }

    void start(bool overLimit)
    {
        asio::dispatch(this->stream.get_executor(), [self = this->shared_from_this(), overLimit]() {
            if (overLimit) {
                self->keepAlive = false;
                self->write(plainError(503, "overloaded", "too many connections"));
            } else {
                self->readHeader();
            }
        });
    }

    /** Closes the connection if it waits for a request; otherwise lets the request finish. */
    void closeIfIdle()
    {
        asio::dispatch(this->stream.get_executor(), [self = this->shared_from_this()]() {
            if (self->idle) {
                self->close();
            }
        });
    }

private:
    void readHeader()
    {
        if (this->server->isDraining()) {
            this->close();
            return;
        }
        this->idle = true;
        this->parser.emplace();
        this->parser->header_limit(
            static_cast<std::uint32_t>(this->server->limits.maxHeader.value));
        this->parser->body_limit(static_cast<std::uint64_t>(this->server->limits.maxBody.value));
        this->stream.expires_after(this->server->limits.idleTimeout);
        // A first byte ends the idle time; from then on the whole request must arrive in time.
        if (this->buffer.size() > 0) {
            this->readRequest();
            return;
        }
        this->stream.async_read_some(
            this->buffer.prepare(firstReadSize),
            [self = this->shared_from_this()](ErrorCodeValue error, std::size_t size) {
                if (error) {
                    self->close();
                    return;
                }
                self->buffer.commit(size);
                self->readRequest();
            });
    }

    void readRequest()
    {
        this->idle = false;
        this->stream.expires_after(this->server->limits.readTimeout);
        http::async_read(this->stream, this->buffer, *this->parser,
                         [self = this->shared_from_this()](ErrorCodeValue error, std::size_t) {
                             self->onRead(error);
                         });
    }

    void onRead(ErrorCodeValue error)
    {
        if (error == http::error::body_limit) {
            this->keepAlive = false;
            this->write(plainError(413, "too-large", "the body is larger than this server takes"));
            return;
        }
        if (error == http::error::header_limit) {
            this->keepAlive = false;
            this->write(
                plainError(431, "too-large", "the header is larger than this server takes"));
            return;
        }
        if (error == beast::error::timeout) {
            // Beast has closed the socket, so no response can be sent.
            this->close();
            return;
        }
        if (error && error.category() == make_error_code(http::error::bad_method).category()
            && error != http::error::end_of_stream && error != http::error::partial_message) {
            this->keepAlive = false;
            this->write(plainError(400, "invalid-argument", "the request is not valid HTTP"));
            return;
        }
        if (error) {
            this->close();
            return;
        }
        this->handle();
    }

    void handle()
    {
        auto message = this->parser->release();
        this->keepAlive = message.keep_alive();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &field : message) {
            request.headers[lowerCase(std::string(field.name_string()))]
                = std::string(field.value());
        }
        request.body = std::move(message.body());
        request.peer = this->peer;
        // The handler may take as long as the caller's wait allows.
        this->stream.expires_never();
        this->server->handler(
            std::move(request), [self = this->shared_from_this()](HttpResponse response) {
                asio::post(self->stream.get_executor(),
                           [self, response = std::move(response)]() { self->write(response); });
            });
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
        http::async_write(this->stream, *this->outgoing,
                          [self = this->shared_from_this()](ErrorCodeValue error, std::size_t) {
                              if (error || !self->keepAlive) {
                                  self->close();
                              } else {
                                  self->readHeader();
                              }
                          });
    }

    void close()
    {
        ErrorCodeValue ignored;
        this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        this->stream.close();
        this->server->closed(this->shared_from_this());
    }

    static constexpr std::size_t firstReadSize = 4096;

    beast::tcp_stream stream;
    std::shared_ptr<HttpServer::Impl> server;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    std::optional<http::response<http::string_body>> outgoing;
    std::string peer;
    bool idle = false;
    bool keepAlive = true;
};

void HttpServer::Impl::accept()
{
    this->acceptor.async_accept(
        asio::make_strand(this->context),
        [self = this->shared_from_this()](ErrorCodeValue error, tcp::socket socket) {
            if (error == asio::error::operation_aborted || self->isDraining()) {
                return;
            }
            if (!error) {
                auto session = std::make_shared<HttpSession>(std::move(socket), self);
                bool overLimit = false;
                {
                    const std::lock_guard lock(self->mutex);
                    overLimit = self->sessions.size() >= self->limits.maxConnections;
                    self->sessions.insert(session);
                }
                session->start(overLimit);
            }
            self->accept();
        });
}

void HttpServer::Impl::closed(const std::shared_ptr<HttpSession> &session)
{
    const std::lock_guard lock(this->mutex);
    this->sessions.erase(session);
    if (this->sessions.empty()) {
        this->allClosed.notify_all();
    }
}

HttpServer::HttpServer(Executor &executor, HttpServerLimits limits, Handler handler)
    : impl(std::make_shared<Impl>(executor, limits, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    this->drain(std::chrono::milliseconds(0));
}

Result<Address> HttpServer::listen(const Address &address)
{
    ErrorCodeValue error;
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
    this->impl->accept();
    return Address{.host = address.host, .port = acceptor.local_endpoint().port()};
}

bool HttpServer::drain(std::chrono::milliseconds patience)
{
    this->impl->draining.store(true);
    asio::post(this->impl->acceptor.get_executor(), [server = this->impl]() {
        ErrorCodeValue ignored;
        server->acceptor.close(ignored);
    });
    std::set<std::shared_ptr<HttpSession>> open;
    {
        const std::lock_guard lock(this->impl->mutex);
        open = this->impl->sessions;
    }
    for (const auto &session : open) {
        session->closeIfIdle();
    }
    open.clear();
    std::unique_lock lock(this->impl->mutex);
    return this->impl->allClosed.wait_for(lock, patience,
                                          [this]() { return this->impl->sessions.empty(); });
}

} // namespace gooseberry
