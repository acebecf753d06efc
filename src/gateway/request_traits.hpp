#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "gateway/request_facts.hpp"

namespace dotterelstack::gateway {

/** @brief What a `request_trait` stands for. */
enum class trait_kind : std::uint8_t {
    prompt_part,  /**< A shared part of a prompt. */
    whole_request /**< The same host, method, target and body from the same organisation. */
};

/** @brief A property that requests may have in common. */
struct request_trait {
    trait_kind kind{trait_kind::prompt_part};
    std::uint64_t id{0};

    [[nodiscard]] auto operator<=>(const request_trait &) const = default;
};

using request_traits = std::vector<request_trait>;

/**
 * @return Digest of what makes two requests the same work; the same in every gateway.
 * @param organisation Owner of the caller's key, empty on public routes.
 */
[[nodiscard]] std::uint64_t digest_of(const exchange_request &request, std::string_view organisation);

/** @return The shared parts of the request's prompt in order, then the whole request. */
[[nodiscard]] request_traits traits_of(const exchange_request &request, std::string_view organisation);

} // namespace dotterelstack::gateway

/** @brief Hash for unordered containers. */
template<>
struct std::hash<dotterelstack::gateway::request_trait> {
    [[nodiscard]] std::size_t operator()(const dotterelstack::gateway::request_trait &it) const noexcept {
        return std::hash<std::uint64_t>{}(it.id ^ static_cast<std::uint64_t>(it.kind));
    }
};
