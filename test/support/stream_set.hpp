#pragma once

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

#include "support/site.hpp"

namespace dotterelstack::test {

/** @brief Several streams that run at the same time, each with a prompt of its own. */
class stream_set {
public:
    /** @brief Opens the streams and waits until each has received `started` tokens. */
    stream_set(const std::string &address, const std::string &key, const std::string &prompt, std::size_t count,
               std::size_t tokens, std::size_t started = 3) {
        for (std::size_t n = 0; n < count; ++n) {
            all_.push_back(std::make_unique<caller_stream>(address, key, prompt + " " + std::to_string(n), tokens));
        }
        for (const auto &it : all_) {
            REQUIRE(it->wait_received(started));
        }
    }

    /** @return Number of streams that were whole, after all have ended. A wrong token fails the test. */
    [[nodiscard]] std::size_t count_whole() const {
        std::size_t out = 0;
        for (const auto &it : all_) {
            CHECK(it->wait_end(2 * eventually_limit));
            CHECK(it->correct_so_far());
            // A response that says that it is complete has to be complete.
            CHECK((!it->done() || it->whole()));
            if (!it->whole()) {
                MESSAGE("not whole: " << it->received() << " tokens, " << it->error());
            }
            out += it->whole() ? 1U : 0U;
        }
        return out;
    }

    /** @return Number of streams that have not ended. */
    [[nodiscard]] std::size_t open() const {
        return static_cast<std::size_t>(std::ranges::count_if(all_, [](const auto &it) { return !it->ended(); }));
    }

    [[nodiscard]] std::size_t size() const noexcept { return all_.size(); }
    [[nodiscard]] const caller_stream &operator[](std::size_t n) const { return *all_.at(n); }

private:
    std::vector<std::unique_ptr<caller_stream>> all_;
};

} // namespace dotterelstack::test
