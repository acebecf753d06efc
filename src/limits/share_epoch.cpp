#include "limits/share_epoch.hpp"

#include <algorithm>
#include <cmath>
#include <map>

#include "base/stable_hash.hpp"

namespace dotterelstack::limits {

namespace {

/** @brief Tolerance for rounding errors in a sum of fractions; amounts up to 10^9 are still divided exactly. */
constexpr double fraction_tolerance = 1e-9;
/** @brief With a larger divisor a floor would be negligible; none is assigned. */
constexpr double largest_divisor = 1e9;

bool contains(std::span<const std::string> entries, std::string_view entry) {
    return std::find(entries.begin(), entries.end(), entry) != entries.end();
}

double fraction(std::uint64_t divisor) noexcept {
    return divisor == 0 ? 0.0 : 1.0 / static_cast<double>(divisor);
}

/** @brief FNV-1a with a finalising mix. The result is the same in every process. */
std::uint64_t stable_hash(std::string_view text, std::uint64_t hash) noexcept {
    hash = base::fnv1a(text, hash);
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

} // namespace

share_epoch plan_epoch(const share_epoch &previous, std::span<const std::string> entries,
                       std::span<const std::string> applied, std::span<const std::string> ended) {
    // For each entry the smallest divisor, hence the largest floor, that it may be using.
    std::map<std::string, std::uint64_t> in_use;
    const auto reserve_floor = [&](const share_member &it) {
        if (it.divisor > 0 && !contains(ended, it.entry)) {
            const auto found = in_use.try_emplace(it.entry, it.divisor).first;
            found->second = std::min(found->second, it.divisor);
        }
    };
    std::for_each(previous.members.begin(), previous.members.end(), reserve_floor);
    for (const auto &it : previous.outstanding) {
        if (!contains(applied, it.entry)) {
            reserve_floor(it);
        }
    }

    double departed = 0;
    for (const auto &[entry, divisor] : in_use) {
        departed += contains(entries, entry) ? 0.0 : fraction(divisor);
    }
    share_epoch next{previous.number + 1, {}, {}};
    const double available = 0.5 - departed;
    double divisor = available > fraction_tolerance
                         ? std::ceil(static_cast<double>(entries.size()) / available - fraction_tolerance)
                         : largest_divisor;
    const auto total = [&] {
        double sum = departed;
        for (const auto &entry : entries) {
            const auto found = in_use.find(entry);
            sum += std::max(found == in_use.end() ? 0.0 : fraction(found->second), 1.0 / divisor);
        }
        return sum;
    };
    while (divisor < largest_divisor && total() > 1.0 - fraction_tolerance) {
        divisor = std::ceil(divisor * 1.25);
    }
    const auto chosen = divisor < largest_divisor ? static_cast<std::uint64_t>(divisor) : 0;
    for (const auto &entry : entries) {
        next.members.push_back({entry, chosen});
        const auto found = in_use.find(entry);
        if (found != in_use.end() && (chosen == 0 || found->second < chosen)) {
            next.outstanding.push_back({entry, found->second});
        }
    }
    for (const auto &[entry, held] : in_use) {
        if (!contains(entries, entry)) {
            next.outstanding.push_back({entry, held});
        }
    }
    return next;
}

std::string_view coordinator_of(const share_epoch &epoch, row_key row) noexcept {
    std::string_view best;
    std::uint64_t best_hash = 0;
    for (const auto &it : epoch.members) {
        const auto hash =
            stable_hash(it.entry, stable_hash(row.service, stable_hash(row.organisation, base::fnv_offset)));
        if (best.empty() || hash > best_hash || (hash == best_hash && it.entry < best)) {
            best = it.entry;
            best_hash = hash;
        }
    }
    return best;
}

} // namespace dotterelstack::limits
