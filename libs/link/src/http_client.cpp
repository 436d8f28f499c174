#include <link/http_client.h>

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

constexpr std::uint64_t maxResponseBody = 32ULL * 1024 * 1024;

/** One request on a connection of its own. All its steps run on its own strand. */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(asio::io_context &context, Address initialAddress, HttpClient::Callback initialDone)
        : stream(asio::make_strand(context))
        , address(std::move(initialAddress))
        , done(std::move(initialDone))
    {
        this->parser.body_limit(maxResponseBody);
    }

    void start(const HttpRequest &message, std::chrono::milliseconds deadline)
    {
        this->request.method_string(message.method);
        this->request.target(message.target);
        this->request.version(11);
        for (const auto &[name, value] : message.headers) {
            this->request.set(name, value);
        }
        this->request.set(http::field::host, toString(this->address));
        this->request.keep_alive(false);
        this->request.body() = message.body;
        this->request.prepare_payload();
        ErrorCodeValue error;
        const tcp::endpoint endpoint(asio::ip::make_address(this->address.host, error),
                                     this->address.port);
        if (error) {
            this->fail(error, Outcome::NotRun);
            return;
        }
        this->stream.expires_after(deadline);
        this->stream.async_connect(endpoint,
                                   [self = this->shared_from_this()](ErrorCodeValue connectError) {
                                       self->onConnected(connectError);
                                   });
    }

private:
    void onConnected(ErrorCodeValue error)
    {
        if (error) {
            this->fail(error, Outcome::NotRun);
            return;
        }
        http::async_write(
            this->stream, this->request,
            [self = this->shared_from_this()](ErrorCodeValue writeError, std::size_t written) {
                if (writeError) {
                    self->fail(writeError, written == 0 ? Outcome::NotRun : Outcome::Unknown);
                    return;
                }
                self->read();
            });
    }

    void read()
    {
        http::async_read(this->stream, this->buffer, this->parser,
                         [self = this->shared_from_this()](ErrorCodeValue error, std::size_t) {
                             if (error) {
                                 self->fail(error, Outcome::Unknown);
                                 return;
                             }
                             self->succeed();
                         });
    }

    void succeed()
    {
        auto message = this->parser.release();
        HttpResponse response;
        response.status = message.result_int();
        for (const auto &field : message) {
            std::string name(field.name_string());
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            response.headers[name] = std::string(field.value());
        }
        response.body = std::move(message.body());
        this->stream.close();
        this->done(std::move(response));
    }

    void fail(ErrorCodeValue error, Outcome outcome)
    {
        this->stream.close();
        const bool late = error == beast::error::timeout;
        this->done(Error{.code = late ? ErrorCode::DeadlineExceeded : ErrorCode::Unavailable,
                         .step = Step::Send,
                         .peer = toString(this->address),
                         .message = error.message(),
                         .outcome = outcome});
    }

    beast::tcp_stream stream;
    Address address;
    HttpClient::Callback done;
    http::request<http::string_body> request;
    http::response_parser<http::string_body> parser;
    beast::flat_buffer buffer;
};

} // namespace

struct HttpClient::Impl
{
    asio::io_context &context;
};

HttpClient::HttpClient(Executor &executor)
    : impl(std::make_shared<Impl>(Impl{executor.impl().context}))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(const Address &address, const HttpRequest &request,
                      std::chrono::milliseconds deadline, Callback done)
{
    std::make_shared<Exchange>(this->impl->context, address, std::move(done))
        ->start(request, deadline);
}

} // namespace gooseberry
