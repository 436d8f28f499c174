// The operators' command line; see operator/operator.h.

#include <cstdlib>
#include <iostream>

#include <operator/operator.h>

using namespace gooseberry;

int main(int argc, char **argv)
{
    Environment environment;
    for (const char *name : {"GOOSEBERRY_SERVER", "GOOSEBERRY_TOKEN", "GOOSEBERRY_KEY"}) {
        // No other thread runs yet that could change the environment.
        const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
        if (value != nullptr) {
            environment[name] = value;
        }
    }
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments == std::vector<std::string>{"--version"}) {
        std::cout << "gooseberryctl " << GL_VERSION << '\n';
        return 0;
    }
    return static_cast<int>(runOperator(arguments, environment, std::cout, std::cerr));
}
