#include <cxxopts.hpp>
#include <iostream>

#include "standin/common/program.hpp"
#include "standin/store/store.hpp"

using namespace dotterelstack;

int main(int argc, char **argv) {
    // Largest value, 1 MiB; larger ones are refused with 413.
    constexpr std::size_t value_bytes = std::size_t{1} << 20U;
    // Waiting watches of many processes hold one connection each.
    constexpr std::size_t connections = 10000;
    standin::block_stop_signals();
    cxxopts::Options options{"standin_store", "Stand-in for the platform's object store"};
    options.add_options()("listen", "address to bind", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    try {
        const auto args = options.parse(argc, argv);
        standin::store store;
        standin::serve_until_stopped(
            {.name = "store",
             .listen = args["listen"].as<std::string>(),
             .limits = {.body_bytes = value_bytes, .connections = connections, .idle_timeout_seconds = 0}},
            [&store](const http::exchange &call) { store.handle(call); }, [&store] { store.release_watches(); });
    } catch (const std::exception &ex) {
        std::cerr << ex.what() << std::endl << options.help() << std::endl;
        return 2;
    }
}
