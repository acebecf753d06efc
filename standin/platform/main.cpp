#include <cxxopts.hpp>
#include <iostream>

#include "standin/common/program.hpp"
#include "standin/platform/platform.hpp"

using namespace dotterelstack;

int main(int argc, char **argv) {
    standin::block_stop_signals();
    cxxopts::Options options{"standin_platform", "Stand-in for the platform"};
    auto add = options.add_options();
    add("listen", "address to bind", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("lag-ms", "age of the host list", cxxopts::value<int>()->default_value("0"));
    add("weights-per-second", "limit of weight reads, 0 for none", cxxopts::value<std::uint64_t>()->default_value("0"));
    add("weights-bytes", "size of the weights of a model", cxxopts::value<std::size_t>()->default_value("1024"));
    try {
        const auto args = options.parse(argc, argv);
        standin::platform platform{{.lag = std::chrono::milliseconds{args["lag-ms"].as<int>()},
                                    .weights_per_second = args["weights-per-second"].as<std::uint64_t>(),
                                    .weights_bytes = args["weights-bytes"].as<std::size_t>()}};
        standin::serve_until_stopped({.name = "platform", .listen = args["listen"].as<std::string>()},
                                     [&platform](const http::exchange &call) { platform.handle(call); });
    } catch (const std::exception &ex) {
        std::cerr << ex.what() << std::endl << options.help() << std::endl;
        return 2;
    }
}
