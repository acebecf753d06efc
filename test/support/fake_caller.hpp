#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "http/caller_port.hpp"

namespace dotterelstack::test {

/** @brief What the caller of one request has received. */
struct fake_caller : http::caller_port {
    std::vector<http::response> answers;
    http::field_list head;
    std::string stream;
    bool started{false};
    bool finished{false};
    bool aborted{false};
    bool has_gone{false};

    void respond(const http::response &answer) override { answers.push_back(answer); }
    void start(int, const http::field_list &fields) override {
        started = true;
        head = fields;
    }
    bool write(std::string_view part) override {
        stream.append(part);
        return !has_gone;
    }
    void finish() override { finished = true; }
    void abort() override { aborted = true; }
    [[nodiscard]] bool gone() const override { return has_gone; }

    [[nodiscard]] bool ended() const { return !answers.empty() || finished || aborted; }
    [[nodiscard]] int status() const { return answers.empty() ? 0 : answers.back().status; }

    /** @return Field of the last answer, or of the head of the stream. */
    [[nodiscard]] std::string field(std::string_view name) const {
        const auto &from = answers.empty() ? head : answers.back().fields;
        return std::string{http::find_field(from, name).value_or("")};
    }
};

} // namespace dotterelstack::test
