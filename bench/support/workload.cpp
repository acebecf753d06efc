#include "bench/support/workload.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>

namespace dotterelstack::bench {

namespace internal {

constexpr double base_rate = 36;    // Requests per second, about two thirds of what twelve mixed engines serve.
constexpr double short_share = 0.1; // Share of long prompts before a flip, and
constexpr double long_share = 0.5;  // after it.
constexpr int documents_per_organisation = 40;
constexpr double repeat_share = 0.5; // Long prompts about a document that was sent before.
// Two large organisations of the eight.
constexpr double organisation_shares[organisation_count]{0.3, 0.2, 0.1, 0.1, 0.1, 0.08, 0.07, 0.05};

struct shape {
    std::function<double(double)> long_share;
    std::function<double(int, double)> rate_factor;
};

std::uint64_t block_hash(std::uint64_t document, std::uint64_t block) noexcept {
    return (document + 1) * 0x9e3779b97f4a7c15ULL + block;
}

class generator {
public:
    explicit generator(std::uint64_t seed) : random_{seed} {}

    std::vector<arrival> run(double seconds, const shape &form) {
        std::vector<arrival> out;
        for (int who = 0; who < organisation_count; ++who) {
            const auto peak = base_rate * organisation_shares[who] * 20;
            // Thinning of a Poisson process at the highest rate.
            for (double at = gap(peak); at < seconds; at += gap(peak)) {
                if (uniform() * 20 < form.rate_factor(who, at)) {
                    out.push_back(make(who, at, form.long_share(at)));
                }
            }
        }
        std::sort(out.begin(), out.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
        return out;
    }

private:
    double uniform() { return std::uniform_real_distribution<double>{}(random_); }
    double gap(double rate) { return -std::log(1 - uniform()) / rate; }
    std::uint32_t between(double low, double high) {
        return static_cast<std::uint32_t>(low + uniform() * (high - low));
    }

    arrival make(int who, double at, double share) {
        arrival it{.at = at, .organisation = who, .entry = static_cast<int>(uniform() * 3), .output = between(50, 250)};
        if (uniform() >= share) {
            it.prompt = between(200, 800);
            return it;
        }
        std::uint64_t document = next_document_;
        if (uniform() < repeat_share) {
            // Low numbers are asked about more often.
            const auto n = static_cast<std::uint64_t>(uniform() * uniform() * documents_per_organisation);
            document = static_cast<std::uint64_t>(who) * documents_per_organisation + n;
        } else {
            ++next_document_;
        }
        const auto length = 3 + document * 7 % 3;
        for (std::uint64_t block = 0; block < length; ++block) {
            it.blocks.push_back(block_hash(document, block));
        }
        it.prompt = static_cast<std::uint32_t>(length * 1000) + between(50, 400);
        return it;
    }

    std::mt19937_64 random_;
    std::uint64_t next_document_{1'000'000};
};

} // namespace internal

std::vector<workload> make_workloads(std::uint64_t seed, double seconds) {
    using namespace internal;
    const auto same_share = [](double) { return short_share; };
    const auto same_rate = [](int, double) { return 1.0; };
    // The share changes linearly between 80 s and 200 s.
    const auto flip = [](double at) {
        return short_share + (long_share - short_share) * std::clamp((at - 80) / 120, 0.0, 1.0);
    };
    const auto flood = [](int who, double at) { return who == 3 && at > 80 && at < 220 ? 18.0 : 1.0; };
    const auto burst = [](int, double at) { return at > 80 && at < 160 ? 1.5 : 1.0; };
    const auto make = [&](std::string name, const shape &form) {
        generator source{seed};
        return workload{.name = std::move(name), .seconds = seconds, .arrivals = source.run(seconds, form)};
    };
    std::vector<workload> out;
    out.push_back(make("steady", {same_share, same_rate}));
    out.push_back(make("long prompts flip", {flip, same_rate}));
    out.push_back(make("one organisation floods", {same_share, flood}));
    out.push_back(make("engine dies in a burst", {same_share, burst}));
    out.back().crash_at = 100;
    out.push_back(make("failure domain withdrawn", {same_share, [](int, double) { return 1.4; }}));
    out.back().withdraw_at = 100;
    out.push_back(make("reports lag 5 s", {[](double) { return 0.25; }, [](int, double) { return 1.2; }}));
    out.back().report_lag = 5;
    return out;
}

} // namespace dotterelstack::bench
