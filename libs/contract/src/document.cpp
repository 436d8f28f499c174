#include <contract/document.h>

#include <algorithm>
#include <sstream>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace gooseberry {

namespace {

/** An error in the document, thrown through the YAML parser and caught in parseDocument(). */
struct DocumentError
{
    Position position;
    std::string message;
    ErrorCode code = ErrorCode::InvalidArgument;
};

/** Builds a tree from parser events; unlike yaml-cpp's node graph, it shares no values. */
class TreeBuilder : public YAML::EventHandler
{
public:
    TreeBuilder(std::shared_ptr<const std::string> initialFile, const DocumentLimits &initialLimits)
        : file(std::move(initialFile))
        , limits(initialLimits)
    {
        this->root.position.file = this->file;
    }

    DocumentNode takeRoot()
    {
        return std::move(this->root);
    }

    void OnDocumentStart(const YAML::Mark &mark) override // NOLINT(*-identifier-naming)
    {
        if (this->documents++ > 0) {
            throw DocumentError{this->toPosition(mark), "only one document is allowed in a file"};
        }
    }
    void OnDocumentEnd() override // NOLINT(*-identifier-naming)
    {
    }
    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override // NOLINT(*-naming)
    {
        this->addNode(DocumentNode::Kind::Empty, mark, {}, anchor, {});
    }
    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override // NOLINT(*-naming)
    {
        throw DocumentError{this->toPosition(mark), "aliases are not allowed; write the value out"};
    }
    void OnScalar(const YAML::Mark &mark, const std::string &tag, // NOLINT(*-identifier-naming)
                  YAML::anchor_t anchor, const std::string &value) override
    {
        this->addNode(DocumentNode::Kind::Scalar, mark, tag, anchor, value);
    }
    void OnSequenceStart(const YAML::Mark &mark, const std::string &tag, // NOLINT(*-naming)
                         YAML::anchor_t anchor, YAML::EmitterStyle::value /*style*/) override
    {
        this->pushFrame(this->addNode(DocumentNode::Kind::List, mark, tag, anchor, {}));
    }
    void OnSequenceEnd() override // NOLINT(*-identifier-naming)
    {
        this->frames.pop_back();
    }
    void OnMapStart(const YAML::Mark &mark, const std::string &tag, // NOLINT(*-identifier-naming)
                    YAML::anchor_t anchor, YAML::EmitterStyle::value /*style*/) override
    {
        this->pushFrame(this->addNode(DocumentNode::Kind::Map, mark, tag, anchor, {}));
    }
    void OnMapEnd() override // NOLINT(*-identifier-naming)
    {
        this->frames.pop_back();
    }

private:
    struct Frame
    {
        DocumentNode *node = nullptr;
        bool hasKey = false;
        std::string key;
        Position keyPosition;
    };

    Position toPosition(const YAML::Mark &mark) const
    {
        return Position{.file = this->file,
                        .line = static_cast<std::size_t>(mark.line) + 1,
                        .column = static_cast<std::size_t>(mark.column) + 1};
    }

    void pushFrame(DocumentNode *node)
    {
        if (this->frames.size() >= this->limits.maxDepth) {
            throw DocumentError{node->position,
                                "nested deeper than " + std::to_string(this->limits.maxDepth)
                                    + " levels",
                                ErrorCode::TooLarge};
        }
        this->frames.push_back(Frame{.node = node, .hasKey = false, .key = {}, .keyPosition = {}});
    }

    /** Adds a value to the innermost list or map, or stores it as the key of the next value. */
    DocumentNode *addNode(DocumentNode::Kind kind, const YAML::Mark &mark, const std::string &tag,
                          YAML::anchor_t anchor, const std::string &text)
    {
        const Position position = this->toPosition(mark);
        if (anchor != 0) {
            throw DocumentError{position, "anchors are not allowed; write the value out"};
        }
        // The parser reports "?" for plain and "!" for quoted values.
        if (!tag.empty() && tag != "?" && tag != "!") {
            throw DocumentError{position, "tags are not allowed"};
        }
        if (++this->nodes > this->limits.maxNodes) {
            throw DocumentError{position,
                                "more than " + std::to_string(this->limits.maxNodes) + " values",
                                ErrorCode::TooLarge};
        }
        DocumentNode node;
        node.kind = kind;
        node.position = position;
        node.text = text;
        if (this->frames.empty()) {
            this->root = std::move(node);
            return &this->root;
        }
        Frame &frame = this->frames.back();
        if (frame.node->kind == DocumentNode::Kind::Map) {
            if (!frame.hasKey) {
                this->setKey(frame, node);
                return nullptr;
            }
            node.key = std::move(frame.key);
            node.keyPosition = frame.keyPosition;
            frame.hasKey = false;
        }
        frame.node->children.push_back(std::move(node));
        return &frame.node->children.back();
    }

    void setKey(Frame &frame, const DocumentNode &node) const
    {
        if (node.kind != DocumentNode::Kind::Scalar) {
            throw DocumentError{node.position, "a key must be text"};
        }
        if (const DocumentNode *first = frame.node->find(node.text)) {
            throw DocumentError{node.position,
                                "key " + quoteForMessage(node.text)
                                    + " is set twice, first in line "
                                    + std::to_string(first->keyPosition.line)};
        }
        frame.hasKey = true;
        frame.key = node.text;
        frame.keyPosition = node.position;
    }

    std::shared_ptr<const std::string> file;
    DocumentLimits limits;
    DocumentNode root;
    std::vector<Frame> frames;
    std::size_t nodes = 0;
    std::size_t documents = 0;
};

Error toError(const DocumentError &error)
{
    return Error{.code = error.code,
                 .step = Step::Parse,
                 .peer = *error.position.file,
                 .message = toString(error.position) + ": " + error.message,
                 .outcome = Outcome::NotRun};
}

/** Needed since the parser ignores the rest of the file after some control characters. */
std::optional<DocumentError> findControlCharacter(const std::string &text, Position position)
{
    constexpr unsigned char firstPrintable = 0x20;
    for (const char letter : text) {
        const auto code = static_cast<unsigned char>(letter);
        if (letter == '\n') {
            ++position.line;
            position.column = 1;
            continue;
        }
        if (code < firstPrintable && letter != '\t' && letter != '\r') {
            return DocumentError{position, "control characters are not allowed"};
        }
        ++position.column;
    }
    return std::nullopt;
}

} // namespace

const DocumentNode *DocumentNode::find(const std::string &name) const
{
    const auto found
        = std::find_if(this->children.begin(), this->children.end(),
                       [&name](const DocumentNode &child) { return child.key == name; });
    return this->kind == Kind::Map && found != this->children.end() ? &*found : nullptr;
}

std::string toString(const Position &position)
{
    return (position.file ? *position.file : std::string()) + ':' + std::to_string(position.line)
        + ':' + std::to_string(position.column);
}

Result<DocumentNode> parseDocument(const std::string &text, const std::string &fileName,
                                   const DocumentLimits &limits)
{
    Position start;
    start.file = std::make_shared<const std::string>(fileName);
    if (text.size() > static_cast<std::size_t>(limits.maxSize.value)) {
        return toError(DocumentError{start,
                                     "the file has " + std::to_string(text.size())
                                         + " bytes, allowed are "
                                         + std::to_string(limits.maxSize.value),
                                     ErrorCode::TooLarge});
    }
    if (const auto error = findControlCharacter(text, start)) {
        return toError(*error);
    }
    try {
        std::istringstream input(text);
        YAML::Parser parser(input);
        TreeBuilder builder(start.file, limits);
        while (parser.HandleNextDocument(builder)) { }
        return builder.takeRoot();
    } catch (const DocumentError &error) {
        return toError(error);
    } catch (const YAML::Exception &error) {
        Position position = start;
        if (!error.mark.is_null()) {
            position.line = static_cast<std::size_t>(error.mark.line) + 1;
            position.column = static_cast<std::size_t>(error.mark.column) + 1;
        }
        return toError(DocumentError{position, "not valid YAML: " + error.msg});
    }
}

} // namespace gooseberry
