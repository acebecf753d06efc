#pragma once

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "http/client.hpp"
#include "support/child_process.hpp"

namespace dotterelstack::test {

/** @brief A stand-in as a child process with a client. */
struct standin_program {
    /** @param name Part of the program's name after `standin_`, which is also its name in the `listening` line. */
    explicit standin_program(const std::string &name, std::vector<std::string> arguments = {})
        : process{"standin_" + name, std::move(arguments)}, address{process.address(name)} {}

    /**
     * Makes a new connection for each call: libcurl repeats a request by itself when a reused connection ends without
     * a response, which would hide lost answers from the tests.
     */
    [[nodiscard]] base::result<http::response> call(const std::string &method, const std::string &target,
                                                    const std::string &body = {}, const http::field_list &fields = {},
                                                    const http::call_options &options = {}) {
        http::curl_client fresh;
        return fresh.call(address, {method, target, fields, body}, options);
    }

    /** @return Parsed body of a response that has to be 200. */
    [[nodiscard]] nlohmann::json get(const std::string &target) {
        const auto answer = call("GET", target);
        REQUIRE(answer);
        REQUIRE(answer.value().status == 200);
        return nlohmann::json::parse(answer.value().body);
    }

    /** @return Status of a call with a JSON body, or zero when there was no response. */
    [[nodiscard]] int post(const std::string &target, const nlohmann::json &body) {
        const auto answer = call("POST", target, body.dump());
        return answer ? answer.value().status : 0;
    }

    child_process process;
    std::string address;
};

} // namespace dotterelstack::test
