#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <mutex>

#include "standin/common/key_watch.hpp"
#include "standin/common/program.hpp"
#include "standin/common/timer.hpp"

using namespace dotterelstack;
using json = nlohmann::json;

namespace {

/** A plain service without protection against repeated calls; counts the runs of each booking. */
class booking_service {
public:
    booking_service(std::chrono::milliseconds latency, std::uint64_t lose_answers, std::string key_text)
        : latency_{latency}, lose_answers_{lose_answers}, keys_{std::move(key_text)} {}

    void handle(const http::exchange &call) {
        const auto &message = call.message();
        const std::scoped_lock lock{mutex_};
        keys_.inspect(message);
        if (message.method == "GET" && message.path() == "/counts") {
            call.respond(standin::json_response(200, json(counts_)));
            return;
        }
        if (message.method == "GET" && message.path() == "/v1/state") {
            call.respond(standin::json_response(200, {{"key_sightings", keys_.sightings()}, {"calls", calls_}}));
            return;
        }
        ++calls_;
        auto answer = run(message);
        const bool lost = lose_answers_ > 0;
        lose_answers_ -= lost ? 1U : 0U;
        timer_.after(latency_, [call, lost, answer = std::move(answer)] {
            if (lost) {
                call.abort();
            } else {
                call.respond(answer);
            }
        });
    }

private:
    http::response run(const http::request &message) {
        if (message.method == "GET" && message.path() == "/availability") {
            return standin::json_response(200, {{"available", true}, {"booked", counts_.size()}});
        }
        const auto body = json::parse(message.body, nullptr, false);
        const bool booking = body.is_object() && body.contains("booking_id");
        if (message.path() == "/bookings" && message.method == "POST" && !booking) {
            return standin::error_response(400, "bad_booking", "send a JSON object with booking_id");
        }
        if (booking) {
            const auto &id = body.at("booking_id");
            const auto name = id.is_string() ? id.get<std::string>() : id.dump();
            const auto runs = ++counts_[name];
            return standin::json_response(message.path() == "/bookings" ? 201 : 200,
                                          {{"booking_id", name}, {"runs", runs}});
        }
        return standin::json_response(
            200, {{"method", message.method}, {"target", message.target}, {"bytes", message.body.size()}});
    }

    std::mutex mutex_;
    std::chrono::milliseconds latency_;
    std::uint64_t lose_answers_;
    standin::key_watch keys_;
    std::map<std::string, std::uint64_t> counts_;
    std::uint64_t calls_{0};
    standin::timer timer_;
};

} // namespace

int main(int argc, char **argv) {
    standin::block_stop_signals();
    cxxopts::Options options{"standin_service", "Plain service that counts the runs of its calls"};
    auto add = options.add_options();
    add("listen", "address to bind", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("latency-ms", "time of each call", cxxopts::value<int>()->default_value("0"));
    add("lose-answers", "number of first calls that run without an answer",
        cxxopts::value<std::uint64_t>()->default_value("0"));
    add("refuse-key-text", "text whose appearances are counted", cxxopts::value<std::string>()->default_value(""));
    try {
        const auto args = options.parse(argc, argv);
        booking_service service{std::chrono::milliseconds{args["latency-ms"].as<int>()},
                                args["lose-answers"].as<std::uint64_t>(), args["refuse-key-text"].as<std::string>()};
        standin::serve_until_stopped({.name = "service", .listen = args["listen"].as<std::string>()},
                                     [&service](const http::exchange &call) { service.handle(call); });
    } catch (const std::exception &ex) {
        std::cerr << ex.what() << "; see the options in standin/service/main.cpp" << std::endl;
        return 2;
    }
}
