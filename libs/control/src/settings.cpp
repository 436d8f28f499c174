#include <control/settings.h>

#include <yaml-cpp/yaml.h>

namespace gooseberry {

Result<Settings> readSettings(const std::filesystem::path &file)
{
    const auto refuse = [&file](const std::string &message) {
        return Error{.code = ErrorCode::InvalidArgument,
                     .step = Step::Settings,
                     .peer = file.string(),
                     .message = message,
                     .outcome = Outcome::NotRun};
    };
    try {
        const YAML::Node root = YAML::LoadFile(file.string());
        Settings settings;
        settings.id = InstanceId(root["id"].as<std::string>());
        settings.domain = FailureDomainId(root["domain"].as<std::string>());
        settings.operatorToken = root["operatorToken"].as<std::string>("");
        settings.workerToken = root["workerToken"].as<std::string>("");
        const Result<Address> listen = parseAddress(root["listen"].as<std::string>());
        if (!ok(listen)) {
            return refuse(errorOf(listen).message);
        }
        settings.listen = valueOf(listen);
        return settings;
    } catch (const YAML::Exception &error) {
        return refuse(error.what());
    }
}

} // namespace gooseberry
