#include <contract/document.h>

#include <algorithm>
#include <cctype>

namespace gooseberry {

namespace {

/** Returns whether every YAML reader reads the unquoted text as the same text. */
bool isPlain(const std::string &text)
{
    const bool isReserved = text == "null" || text == "Null" || text == "NULL";
    return !text.empty() && !isReserved && std::isalnum(static_cast<unsigned char>(text[0])) != 0
        && std::all_of(text.begin(), text.end(), [](char letter) {
               return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '-'
                   || letter == '.' || letter == '/' || letter == '_';
           });
}

std::string scalar(const std::string &text)
{
    if (isPlain(text)) {
        return text;
    }
    std::string quoted = "\"";
    for (const char letter : text) {
        switch (letter) {
        case '"':
        case '\\':
            quoted += '\\';
            quoted += letter;
            break;
        case '\n':
            quoted += "\\n";
            break;
        case '\r':
            quoted += "\\r";
            break;
        case '\t':
            quoted += "\\t";
            break;
        default:
            quoted += letter;
        }
    }
    return quoted + '"';
}

bool isInline(const DocumentNode &node)
{
    return node.kind == DocumentNode::Kind::Empty || node.kind == DocumentNode::Kind::Scalar
        || node.children.empty();
}

std::string inlineValue(const DocumentNode &node)
{
    switch (node.kind) {
    case DocumentNode::Kind::Empty:
        return "~";
    case DocumentNode::Kind::Scalar:
        return scalar(node.text);
    case DocumentNode::Kind::List:
        return "[]";
    case DocumentNode::Kind::Map:
        return "{}";
    }
    return {};
}

/** Writes the children of a list or map. The first line is indented by the caller. */
void writeBlock(const DocumentNode &node, std::size_t indent, std::string &output)
{
    constexpr std::size_t step = 2;
    bool first = true;
    for (const DocumentNode &child : node.children) {
        output += first ? std::string() : std::string(indent, ' ');
        first = false;
        const bool isItem = node.kind == DocumentNode::Kind::List;
        output += isItem ? "- " : scalar(child.key) + ':';
        if (isInline(child)) {
            output += (isItem ? "" : " ") + inlineValue(child) + '\n';
            continue;
        }
        if (!isItem) {
            output += '\n' + std::string(indent + step, ' ');
        }
        writeBlock(child, indent + step, output);
    }
}

} // namespace

std::string writeDocument(const DocumentNode &node)
{
    if (isInline(node)) {
        return inlineValue(node) + '\n';
    }
    std::string output;
    writeBlock(node, 0, output);
    return output;
}

} // namespace gooseberry
