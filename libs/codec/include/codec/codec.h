#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include <base/base.h>

// Encodes records with the primitive types of Thrift's compact protocol. A type becomes encodable
// through a function `template<typename Codec> void fields(Codec &codec, Type &value)` that passes
// its members to the codec; the same function serves encoding and decoding. Members are written in
// order and without field numbers, so stored records must carry a version of their own.

namespace gooseberry {

/** Writes primitive values into a buffer. */
class RecordWriter
{
public:
    RecordWriter();
    ~RecordWriter();
    RecordWriter(const RecordWriter &) = delete;
    RecordWriter &operator=(const RecordWriter &) = delete;

    void writeInteger(std::int64_t value);
    void writeDouble(double value);
    void writeString(std::string_view value);
    std::string take();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/** Reads what RecordWriter wrote. After the first invalid value all reads return zero or empty. */
class RecordReader
{
public:
    explicit RecordReader(std::string_view bytes);
    ~RecordReader();
    RecordReader(const RecordReader &) = delete;
    RecordReader &operator=(const RecordReader &) = delete;

    std::int64_t readInteger();
    double readDouble();
    std::string readString();
    /**
     * Reads the size of a container. Fails if it exceeds the bytes that are left, since each entry
     * takes at least one byte; this bounds the memory that invalid input can allocate.
     */
    std::size_t readCount();
    void fail();
    /** Returns whether all reads succeeded and no byte is left. */
    bool complete() const;
    bool failed() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

template<typename T>
struct IsDuration : std::false_type
{
};
template<typename Rep, typename Period>
struct IsDuration<std::chrono::duration<Rep, Period>> : std::true_type
{
};

/** Passes the members of a value to a RecordWriter. */
class RecordEncoder
{
public:
    template<typename... Values>
    void operator()(Values &...values)
    {
        (this->put(values), ...);
    }

    std::string take()
    {
        return this->writer.take();
    }

private:
    template<typename T>
    void put(T &value)
    {
        if constexpr (std::is_same_v<T, double>) {
            this->writer.writeDouble(value);
        } else if constexpr (std::is_integral_v<T> || std::is_enum_v<T>) {
            this->writer.writeInteger(static_cast<std::int64_t>(value));
        } else if constexpr (IsDuration<T>::value) {
            this->writer.writeInteger(value.count());
        } else {
            fields(*this, value);
        }
    }
    void put(std::string &value)
    {
        this->writer.writeString(value);
    }
    template<typename Tag, typename Value>
    void put(StrongId<Tag, Value> &value)
    {
        this->put(value.value);
    }
    template<typename Clock, typename Duration>
    void put(std::chrono::time_point<Clock, Duration> &value)
    {
        this->writer.writeInteger(value.time_since_epoch().count());
    }
    template<typename T>
    void put(std::optional<T> &value)
    {
        this->writer.writeInteger(value ? 1 : 0);
        if (value) {
            this->put(*value);
        }
    }
    template<typename T>
    void put(std::vector<T> &values)
    {
        this->writer.writeInteger(static_cast<std::int64_t>(values.size()));
        for (T &value : values) {
            this->put(value);
        }
    }
    template<typename T>
    void put(std::set<T> &values)
    {
        this->writer.writeInteger(static_cast<std::int64_t>(values.size()));
        for (const T &value : values) {
            this->put(const_cast<T &>(value));
        }
    }
    template<typename Key, typename T>
    void put(std::map<Key, T> &values)
    {
        this->writer.writeInteger(static_cast<std::int64_t>(values.size()));
        for (auto &[key, value] : values) {
            this->put(const_cast<Key &>(key));
            this->put(value);
        }
    }

    RecordWriter writer;
};

/** Fills the members of a value from a RecordReader. */
class RecordDecoder
{
public:
    explicit RecordDecoder(std::string_view bytes)
        : reader(bytes)
    {
    }

    template<typename... Values>
    void operator()(Values &...values)
    {
        (this->get(values), ...);
    }

    bool complete() const
    {
        return this->reader.complete();
    }

private:
    template<typename T>
    void get(T &value)
    {
        if constexpr (std::is_same_v<T, double>) {
            value = this->reader.readDouble();
        } else if constexpr (std::is_integral_v<T> || std::is_enum_v<T>) {
            value = static_cast<T>(this->reader.readInteger());
        } else if constexpr (IsDuration<T>::value) {
            value = T(static_cast<typename T::rep>(this->reader.readInteger()));
        } else {
            fields(*this, value);
        }
    }
    void get(std::string &value)
    {
        value = this->reader.readString();
    }
    template<typename Tag, typename Value>
    void get(StrongId<Tag, Value> &value)
    {
        this->get(value.value);
    }
    template<typename Clock, typename Duration>
    void get(std::chrono::time_point<Clock, Duration> &value)
    {
        value = std::chrono::time_point<Clock, Duration>(
            Duration(static_cast<typename Duration::rep>(this->reader.readInteger())));
    }
    template<typename T>
    void get(std::optional<T> &value)
    {
        value.reset();
        if (this->reader.readInteger() != 0) {
            this->get(value.emplace());
        }
    }
    template<typename T>
    void get(std::vector<T> &values)
    {
        values.clear();
        const std::size_t count = this->reader.readCount();
        for (std::size_t i = 0; i < count && !this->reader.failed(); ++i) {
            this->get(values.emplace_back());
        }
    }
    template<typename T>
    void get(std::set<T> &values)
    {
        values.clear();
        const std::size_t count = this->reader.readCount();
        for (std::size_t i = 0; i < count && !this->reader.failed(); ++i) {
            T value;
            this->get(value);
            values.insert(std::move(value));
        }
    }
    template<typename Key, typename T>
    void get(std::map<Key, T> &values)
    {
        values.clear();
        const std::size_t count = this->reader.readCount();
        for (std::size_t i = 0; i < count && !this->reader.failed(); ++i) {
            Key key;
            this->get(key);
            this->get(values[std::move(key)]);
        }
    }

    RecordReader reader;
};

template<typename Codec>
void fields(Codec &codec, Resources &value)
{
    codec(value.cpu, value.memory, value.accelerators, value.slots);
}

template<typename Codec>
void fields(Codec &codec, Address &value)
{
    codec(value.host, value.port);
}

/** Returns the encoded value. */
template<typename T>
std::string encodeRecord(const T &value)
{
    RecordEncoder encoder;
    encoder(const_cast<T &>(value));
    return encoder.take();
}

/**
 * Decodes a value. Safe for arbitrary input; bytes that are not exactly one complete value give an
 * error with code Corrupt.
 */
template<typename T>
Result<T> decodeRecord(std::string_view bytes)
{
    RecordDecoder decoder(bytes);
    T value{};
    decoder(value);
    if (!decoder.complete()) {
        return Error{.code = ErrorCode::Corrupt,
                     .step = Step::Parse,
                     .peer = {},
                     .message = "the record is damaged or of another version",
                     .outcome = Outcome::NotRun};
    }
    return value;
}

} // namespace gooseberry
