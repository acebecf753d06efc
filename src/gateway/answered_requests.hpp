#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace dotterelstack::gateway {

/**
 * @brief Requests that were answered lately, by digest, in constant memory.
 *
 * A direct-mapped table: a later request may displace an earlier one, so a request that is not found may have been
 * answered all the same.
 */
class answered_requests {
public:
    explicit answered_requests(std::size_t size = 4096) : slots_(size) {}

    void add(std::uint64_t digest) { slots_[digest % slots_.size()] = digest; }

    [[nodiscard]] bool contains(std::uint64_t digest) const { return slots_[digest % slots_.size()] == digest; }

private:
    std::vector<std::uint64_t> slots_;
};

} // namespace dotterelstack::gateway
