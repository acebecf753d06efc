#include "limits/share_units.hpp"

#include <algorithm>
#include <cmath>

namespace dotterelstack::limits {

namespace {

constexpr double thousandths = 1000.0;
/** @brief Lets the use grow by 25% between two demands without waiting for the coordinator. */
constexpr double headroom = 1.25;

std::uint64_t rounded_up(double amount) noexcept {
    return static_cast<std::uint64_t>(std::ceil(std::max(0.0, amount)));
}

constexpr std::size_t index(resource which) noexcept {
    return static_cast<std::size_t>(which);
}

} // namespace

share_amounts amounts_of(const row_limits &limits) noexcept {
    const auto rate = [](double per_second) {
        // A declared rate must not be rounded down to 0, which means unlimited.
        return per_second > 0 ? std::max<std::uint64_t>(1, static_cast<std::uint64_t>(per_second * thousandths)) : 0;
    };
    return {limits.max_concurrency, rate(limits.requests_per_second), rate(limits.prompt_tokens_per_second),
            rate(limits.generated_tokens_per_second)};
}

row_share share_of(const share_amounts &limit, const share_amounts &allowance) noexcept {
    row_share out;
    const auto rate = [&](resource which) {
        const auto n = index(which);
        return limit[n] == 0 ? std::nullopt : std::optional{static_cast<double>(allowance[n]) / thousandths};
    };
    if (limit[index(resource::concurrency)] > 0) {
        out.max_concurrency = static_cast<std::uint32_t>(allowance[index(resource::concurrency)]);
    }
    out.requests_per_second = rate(resource::requests);
    out.prompt_tokens_per_second = rate(resource::prompt_tokens);
    out.generated_tokens_per_second = rate(resource::generated_tokens);
    return out;
}

row_use use_of(const row_status &before, const row_status &now, base::duration elapsed) noexcept {
    const double seconds = std::max(1e-3, std::chrono::duration<double>(elapsed).count());
    const auto rate = [&](double spent, double waiting) {
        return rounded_up((spent / seconds + waiting) * headroom * thousandths);
    };
    row_use out;
    out.wanted = {rounded_up((now.running + now.waiting) * headroom),
                  rate(static_cast<double>(now.admitted - std::min(now.admitted, before.admitted)), now.waiting),
                  rate(now.charged_prompt_tokens - before.charged_prompt_tokens, now.waiting_prompt_tokens),
                  rate(now.charged_generated_tokens - before.charged_generated_tokens, now.waiting_generated_tokens)};
    out.in_use[index(resource::concurrency)] = now.running;
    return out;
}

} // namespace dotterelstack::limits
