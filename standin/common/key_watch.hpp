#pragma once

#include <cstdint>
#include <string>

#include "http/message.hpp"

namespace dotterelstack::standin {

/** @brief Counts the places where a text that must never arrive appears in received requests. */
class key_watch {
public:
    /** @param text Text to look for; empty looks for nothing. */
    explicit key_watch(std::string text) : text_{std::move(text)} {}

    /** @brief Searches header fields, target (raw and decoded) and body of a request. */
    void inspect(const http::request &message) {
        if (text_.empty()) {
            return;
        }
        for (const auto &it : message.fields) {
            count(it.name + ": " + it.value);
        }
        const auto before = sightings_;
        count(message.target);
        if (sightings_ == before) {
            for (const auto &[name, value] : message.query()) {
                count(name);
                count(value);
            }
        }
        count(message.body);
    }

    /** @return Number of places seen so far. */
    [[nodiscard]] std::uint64_t sightings() const noexcept { return sightings_; }

private:
    void count(const std::string &where) { sightings_ += where.find(text_) == std::string::npos ? 0U : 1U; }

    std::string text_;
    std::uint64_t sightings_{0};
};

} // namespace dotterelstack::standin
