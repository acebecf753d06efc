#include "standin/common/program.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace dotterelstack::standin {

namespace internal {

sigset_t stop_signals() {
    sigset_t out;
    sigemptyset(&out);
    sigaddset(&out, SIGTERM);
    sigaddset(&out, SIGINT);
    return out;
}

} // namespace internal

void block_stop_signals() {
    const sigset_t signals = internal::stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void serve_until_stopped(const program_options &options, http::request_handler handler,
                         const std::function<void()> &stopping) {
    http::server server;
    const auto guarded = [handler = std::move(handler)](const http::exchange &call) {
        try {
            handler(call);
        } catch (const std::exception &ex) {
            call.respond(error_response(500, "internal", ex.what()));
        }
    };
    const auto bound = server.start(options.listen, guarded, options.limits);
    if (!bound) {
        std::cerr << bound.error().message << std::endl;
        std::_Exit(EXIT_FAILURE);
    }
    std::cout << "listening " << options.name << ' ' << bound.value() << std::endl;
    const sigset_t signals = internal::stop_signals();
    int number = 0;
    while (sigwait(&signals, &number) != 0) {
    }
    server.quiesce();
    if (stopping) {
        stopping();
    }
    const auto until = std::chrono::steady_clock::now() + options.finish;
    while (server.active() > 0 && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    // Skips destructors: libmicrohttpd aborts the process when it is stopped with suspended connections.
    std::_Exit(EXIT_SUCCESS);
}

http::response json_response(int status, const nlohmann::json &body) {
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

http::response error_response(int status, std::string_view code, std::string_view message) {
    return json_response(status, {{"error", {{"code", code}, {"message", message}, {"ran", "no"}}}});
}

std::string_view between(std::string_view text, std::string_view prefix, std::string_view suffix) noexcept {
    if (text.size() < prefix.size() + suffix.size() || !text.starts_with(prefix) || !text.ends_with(suffix)) {
        return {};
    }
    return text.substr(prefix.size(), text.size() - prefix.size() - suffix.size());
}

} // namespace dotterelstack::standin
