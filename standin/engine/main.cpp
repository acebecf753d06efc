#include <cxxopts.hpp>
#include <iostream>
#include <stdexcept>

#include "standin/common/program.hpp"
#include "standin/engine/engine.hpp"

using namespace dotterelstack;

namespace {

std::chrono::milliseconds milliseconds(const cxxopts::ParseResult &args, const std::string &name) {
    return std::chrono::milliseconds{args[name].as<int>()};
}

cxxopts::Options describe() {
    cxxopts::Options out{"standin_engine", "Stand-in inference engine"};
    const auto text = [](const char *value) { return cxxopts::value<std::string>()->default_value(value); };
    const auto number = [](const char *value) { return cxxopts::value<std::uint64_t>()->default_value(value); };
    const auto time = [](const char *value) { return cxxopts::value<int>()->default_value(value); };
    const auto rate = [](const char *value) { return cxxopts::value<double>()->default_value(value); };
    auto add = out.add_options();
    add("listen", "address to bind", text("127.0.0.1:0"));
    add("model", "loaded model, repeatable", cxxopts::value<std::vector<std::string>>()->default_value("model"));
    add("role", "prefill, decode or mixed", text("mixed"));
    add("tokens-per-second", "generation speed of each request", rate("100"));
    add("prefill-tokens-per-second", "prefill speed of the engine", rate("20000"));
    add("blocks", "memory in blocks", number("1024"));
    add("block-tokens", "tokens per block", number("1024"));
    add("batch", "requests that run at the same time", number("8"));
    add("load-lag-ms", "age of load reports", time("0"));
    add("honour-fence", "reject orders with an old fence", text("true"));
    add("role-change-ms", "time to carry out an order", time("2000"));
    add("fail-after-tokens", "break all requests once after so many tokens", number("0"));
    add("cache-event-lag-ms", "delay of cache events", time("0"));
    add("cache-event-gap", "drop every Nth cache event", number("0"));
    add("refuse-key-text", "text whose appearances are counted", text(""));
    return out;
}

standin::engine_options read(const cxxopts::ParseResult &args) {
    const auto fence = args["honour-fence"].as<std::string>();
    if (fence != "true" && fence != "false") {
        throw std::invalid_argument{"--honour-fence is true or false"};
    }
    standin::engine_options out{.models = args["model"].as<std::vector<std::string>>(),
                                .role = args["role"].as<std::string>(),
                                .tokens_per_second = args["tokens-per-second"].as<double>(),
                                .prefill_tokens_per_second = args["prefill-tokens-per-second"].as<double>(),
                                .blocks = args["blocks"].as<std::uint64_t>(),
                                .block_tokens = args["block-tokens"].as<std::uint64_t>(),
                                .batch = args["batch"].as<std::uint64_t>(),
                                .load_lag = milliseconds(args, "load-lag-ms"),
                                .honour_fence = fence == "true",
                                .role_change = milliseconds(args, "role-change-ms"),
                                .fail_after_tokens = args["fail-after-tokens"].as<std::uint64_t>(),
                                .cache_event_lag = milliseconds(args, "cache-event-lag-ms"),
                                .cache_event_gap = args["cache-event-gap"].as<std::uint64_t>(),
                                .refuse_key_text = args["refuse-key-text"].as<std::string>()};
    if (!standin::is_role(out.role)) {
        throw std::invalid_argument{"--role is prefill, decode or mixed"};
    }
    if (out.tokens_per_second <= 0 || out.prefill_tokens_per_second <= 0 || out.blocks == 0 || out.block_tokens == 0 ||
        out.batch == 0) {
        throw std::invalid_argument{"speeds, blocks and batch are greater than zero"};
    }
    return out;
}

} // namespace

int main(int argc, char **argv) {
    standin::block_stop_signals();
    try {
        const auto args = describe().parse(argc, argv);
        standin::engine engine{read(args)};
        standin::serve_until_stopped({.name = "engine", .listen = args["listen"].as<std::string>()},
                                     [&engine](const http::exchange &call) { engine.handle(call); });
    } catch (const std::exception &ex) {
        std::cerr << ex.what() << std::endl << describe().help() << std::endl;
        return 2;
    }
}
