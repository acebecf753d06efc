#pragma once

#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <string_view>

namespace dotterelstack::base {

/** @brief Source of 128-bit random identifiers, 32 hexadecimal digits. Thread-safe. */
class id_source {
public:
    /** @brief Seeds from the operating system. */
    id_source();

    /** @param seed Fixed seed, for tests. */
    explicit id_source(std::uint64_t seed);

    [[nodiscard]] std::string next();

private:
    std::mutex mutex_;
    std::mt19937_64 engine_;
};

/**
 * @brief SHA-256 of a text.
 * @param text Bytes to hash.
 * @return 64 lower-case hexadecimal digits.
 */
[[nodiscard]] std::string sha256_hex(std::string_view text);

} // namespace dotterelstack::base
