#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/message.hpp"

namespace dotterelstack::testing {

/** @brief Engine that ignores fences and records the orders it receives. */
struct fake_engine {
    std::string order_id;
    std::string argument;
    bool changing{false};
    int conflicts{0}; /**< Orders that met another order's unfinished change, or undid a later order. */
    std::vector<std::string> received;

    /** @brief Completes the change in progress. */
    void finish() { changing = false; }

    http::response operator()(const http::request &message) {
        if (message.method == "GET") {
            return {200, {}, nlohmann::json{{"order_id", order_id}, {"changing", changing}}.dump()};
        }
        const auto body = nlohmann::json::parse(message.body);
        const auto id = body.at("order_id").get<std::string>();
        const bool repeated = std::ranges::find(received, id) != received.end();
        conflicts += (changing && id != order_id) || (repeated && id != order_id) ? 1 : 0;
        received.push_back(id);
        order_id = id;
        argument = body.at("argument").get<std::string>();
        changing = true;
        return {200, {}, "{}"};
    }
};

} // namespace dotterelstack::testing
