#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** A position in a file; lines and columns count from 1. */
struct Position
{
    std::shared_ptr<const std::string> file;
    std::size_t line = 1;
    std::size_t column = 1;
};

/** Returns "file:line:column". */
std::string toString(const Position &position);

/** A value of a YAML document with its position. Scalars are untyped text. */
struct DocumentNode
{
    enum class Kind {
        Empty, ///< No value, "~" or "null".
        Scalar,
        List,
        Map,
    };

    Kind kind = Kind::Empty;
    Position position;
    std::string text;
    /** The key of the value in its map; empty in a list. */
    std::string key;
    Position keyPosition;
    std::vector<DocumentNode> children;

    /** Returns the value of the key, or null. */
    const DocumentNode *find(const std::string &name) const;
};

/** Limits that prevent a malicious or faulty file from exhausting memory or stack. */
struct DocumentLimits
{
    Bytes maxSize{256LL * 1024};
    std::size_t maxDepth = 16;
    std::size_t maxNodes = 50'000;
};

/**
 * Reads one YAML document; JSON is accepted too, since it is a subset of YAML. Anchors, aliases,
 * tags, duplicate keys, control characters and a second document are refused. Errors are
 * InvalidArgument with file, line and column, or TooLarge for a file above the limits.
 */
Result<DocumentNode> parseDocument(const std::string &text, const std::string &fileName,
                                   const DocumentLimits &limits = DocumentLimits{});

/** Returns the document as block-style YAML from which parseDocument() reads the same values. */
std::string writeDocument(const DocumentNode &node);

/** Returns the text quoted for a message: truncated and without control characters. */
std::string quoteForMessage(const std::string &text);

/** Collects the problems of a file, so that they are reported all at once. */
class Problems
{
public:
    void add(const Position &position, const std::string &message);
    bool empty() const;
    std::size_t count() const;
    /** Returns one InvalidArgument error with a line per problem, ordered by position. */
    Error toError(Step step, const std::string &fileName) const;

private:
    struct Problem
    {
        Position position;
        std::string message;
    };
    std::vector<Problem> problems;
};

/**
 * Reads the values of one map and adds a problem for each missing key and wrong type. Keys that no
 * call has looked up are unknown; reportUnknownKeys() adds a problem for each of them. After a
 * problem, the readers return the fallback or an empty value.
 */
class MapReader
{
public:
    /** Adds a problem if the node is not a map. The description names the map in messages. */
    MapReader(const DocumentNode &initialNode, std::string initialDescription,
              Problems &initialProblems);

    const DocumentNode *find(const std::string &key);
    const DocumentNode *require(const std::string &key);
    std::string text(const std::string &key, const std::string &fallback);
    std::string requiredText(const std::string &key);
    /** Reads a name: lower-case letters, digits and hyphens, starting with a letter or digit. */
    std::string requiredName(const std::string &key);
    std::int64_t integer(const std::string &key, std::int64_t fallback, std::int64_t lowest,
                         std::int64_t highest);
    bool boolean(const std::string &key, bool fallback);
    /** Returns the items of a list; no items if the key is absent. */
    std::vector<DocumentNode> list(const std::string &key);
    void reportUnknownKeys();

    const DocumentNode &node() const;

private:
    const DocumentNode &source;
    std::string description;
    Problems &problems;
    std::vector<std::string> knownKeys;
};

/** Returns whether the text is a valid name of up to 63 characters. */
bool isName(const std::string &text);

// Each reads one scalar, or adds a problem that states the expected value and returns nothing.
std::optional<std::string> readText(const DocumentNode &node, const std::string &description,
                                    Problems &problems);
std::optional<std::string> readName(const DocumentNode &node, const std::string &description,
                                    Problems &problems);
std::optional<std::int64_t> readInteger(const DocumentNode &node, const std::string &description,
                                        std::int64_t lowest, std::int64_t highest,
                                        Problems &problems);
std::optional<double> readNumber(const DocumentNode &node, const std::string &description,
                                 double lowest, double highest, Problems &problems);
std::optional<bool> readBoolean(const DocumentNode &node, const std::string &description,
                                Problems &problems);

} // namespace gooseberry
