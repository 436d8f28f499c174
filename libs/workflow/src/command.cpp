#include <workflow/command.h>

#include <workflow/records.h>

namespace gooseberry {

namespace {

/** First value of every stored command; lets later formats be recognized. */
constexpr std::int64_t commandVersion = 1;

template<std::size_t Index = 0>
bool decodeAlternative(RecordDecoder &decoder, std::size_t index, WorkflowCommand &command)
{
    if constexpr (Index < std::variant_size_v<WorkflowCommand>) {
        if (index == Index) {
            decoder(command.emplace<Index>());
            return true;
        }
        return decodeAlternative<Index + 1>(decoder, index, command);
    } else {
        return false;
    }
}

} // namespace

bool isRepeatedAnnouncement(const WorkerRecord &known, WorkerRecord received)
{
    received.announcement = known.announcement;
    return known == received;
}

std::string encodeCommand(const ProposedCommand &command)
{
    RecordEncoder encoder;
    ProposedCommand copy{
        .origin = command.origin, .number = command.number, .at = command.at, .command = {}};
    std::int64_t version = commandVersion;
    std::size_t index = command.command.index();
    encoder(version, copy.origin, copy.number, copy.at, index);
    std::visit(
        [&](const auto &content) {
            encoder(const_cast<std::remove_cvref_t<decltype(content)> &>(content));
        },
        command.command);
    return encoder.take();
}

Result<ProposedCommand> decodeProposedCommand(const std::string &bytes)
{
    RecordDecoder decoder(bytes);
    ProposedCommand command;
    std::int64_t version = 0;
    std::size_t index = 0;
    decoder(version, command.origin, command.number, command.at, index);
    if (version != commandVersion || !decodeAlternative(decoder, index, command.command)
        || !decoder.complete()) {
        return Error{.code = ErrorCode::Corrupt,
                     .step = Step::Parse,
                     .peer = {},
                     .message = "the command is damaged or of another version",
                     .outcome = Outcome::NotRun};
    }
    return command;
}

} // namespace gooseberry
