#include <codec/codec.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace gooseberry {

namespace {

using apache::thrift::TException;
using apache::thrift::transport::TMemoryBuffer;
using CompactProtocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

} // namespace

struct RecordWriter::Impl
{
    std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>();
    CompactProtocol protocol{buffer};
};

RecordWriter::RecordWriter()
    : impl(std::make_unique<Impl>())
{
}

RecordWriter::~RecordWriter() = default;

void RecordWriter::writeInteger(std::int64_t value)
{
    this->impl->protocol.writeI64(value);
}

void RecordWriter::writeDouble(double value)
{
    this->impl->protocol.writeDouble(value);
}

void RecordWriter::writeString(std::string_view value)
{
    this->impl->protocol.writeString(std::string(value));
}

std::string RecordWriter::take()
{
    return this->impl->buffer->getBufferAsString();
}

struct RecordReader::Impl
{
    explicit Impl(std::string_view bytes)
        : buffer(std::make_shared<TMemoryBuffer>(
            // TMemoryBuffer only reads the bytes here, but its constructor takes no const pointer.
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data())),
            static_cast<std::uint32_t>(bytes.size())))
        , protocol(buffer)
    {
    }

    std::shared_ptr<TMemoryBuffer> buffer;
    CompactProtocol protocol;
    bool damaged = false;
};

RecordReader::RecordReader(std::string_view bytes)
    : impl(std::make_unique<Impl>(bytes))
{
}

RecordReader::~RecordReader() = default;

std::int64_t RecordReader::readInteger()
{
    std::int64_t value = 0;
    if (!this->impl->damaged) {
        try {
            this->impl->protocol.readI64(value);
        } catch (const TException &) {
            this->impl->damaged = true;
            value = 0;
        }
    }
    return value;
}

double RecordReader::readDouble()
{
    double value = 0.0;
    if (!this->impl->damaged) {
        try {
            this->impl->protocol.readDouble(value);
        } catch (const TException &) {
            this->impl->damaged = true;
            value = 0.0;
        }
    }
    return value;
}

std::string RecordReader::readString()
{
    std::string value;
    if (!this->impl->damaged) {
        try {
            this->impl->protocol.readString(value);
        } catch (const TException &) {
            this->impl->damaged = true;
            value.clear();
        }
    }
    return value;
}

std::size_t RecordReader::readCount()
{
    const std::int64_t value = this->readInteger();
    if (value < 0 || value > static_cast<std::int64_t>(this->impl->buffer->available_read())) {
        this->impl->damaged = true;
        return 0;
    }
    return static_cast<std::size_t>(value);
}

void RecordReader::fail()
{
    this->impl->damaged = true;
}

bool RecordReader::failed() const
{
    return this->impl->damaged;
}

bool RecordReader::complete() const
{
    return !this->impl->damaged && this->impl->buffer->available_read() == 0;
}

} // namespace gooseberry
