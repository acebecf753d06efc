#include "metrics/registry.hpp"

#include <array>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/unlimited_storage.hpp>
#include <cstdio>
#include <map>
#include <mutex>
#include <tuple>

namespace dotterelstack::metrics {

namespace internal {

namespace bh = boost::histogram;

// 1 ms to 100 s in steps of a fifth of a decade; 0.74 s and 44 ms fall into distinct buckets.
constexpr unsigned int bucket_count = 25;
constexpr double lowest_seconds = 0.001;
constexpr double highest_seconds = 100;

using axis = bh::axis::regular<double, bh::axis::transform::log>;
// The unlimited storage starts with one byte for each bucket, which keeps idle rows small.
using histogram = bh::histogram<std::tuple<axis>, bh::unlimited_storage<>>;

struct series {
    histogram values =
        bh::make_histogram_with(bh::unlimited_storage<>{}, axis{bucket_count, lowest_seconds, highest_seconds});
    double sum{0};
};

constexpr std::array<std::string_view, 4> timing_names{"first_token_seconds", "between_tokens_seconds",
                                                       "queue_wait_seconds", "whole_request_seconds"};
constexpr std::string_view prefix = "dotterelstack_";

std::string to_text(double value) {
    std::array<char, 32> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%.6g", value);
    return std::string{buf.data(), static_cast<std::size_t>(n)};
}

std::string escape(std::string_view value) {
    std::string out;
    for (const char it : value) {
        if (it == '\\' || it == '"') {
            out.push_back('\\');
        }
        out.push_back(it == '\n' ? ' ' : it);
    }
    return out;
}

void write_series(std::string &out, std::string_view name, const std::string &labels, const series &it) {
    const std::string full = std::string{prefix} + std::string{name};
    double total = static_cast<double>(it.values.at(-1));
    for (unsigned int n = 0; n < bucket_count; ++n) {
        const int index = static_cast<int>(n);
        total += static_cast<double>(it.values.at(index));
        const auto bound = it.values.axis(0).bin(index).upper();
        out.append(full).append("_bucket{").append(labels).append(",le=\"").append(to_text(bound));
        out.append("\"} ").append(to_text(total)).append("\n");
    }
    total += static_cast<double>(it.values.at(static_cast<int>(bucket_count)));
    out += full + "_bucket{" + labels + ",le=\"+Inf\"} " + to_text(total) + "\n";
    out += full + "_sum{" + labels + "} " + to_text(it.sum) + "\n";
    out += full + "_count{" + labels + "} " + to_text(total) + "\n";
}

template<typename Values>
void write_values(std::string &out, const Values &values, std::string_view type) {
    std::string_view last;
    for (const auto &[key, value] : values) {
        const std::string full = std::string{prefix} + key.first;
        if (key.first != last) {
            out += "# TYPE " + full + " " + std::string{type} + "\n";
            last = key.first;
        }
        out += full + (key.second.empty() ? "" : "{" + key.second + "}") + " " + to_text(static_cast<double>(value)) +
               "\n";
    }
}

} // namespace internal

struct registry::state {
    using series_key = std::tuple<int, std::string, std::string>;
    using value_key = std::pair<std::string, std::string>;

    mutable std::mutex mutex;
    std::map<series_key, internal::series> timings;
    std::map<value_key, std::uint64_t> counters;
    std::map<value_key, double> gauges;
};

registry::registry() : state_{std::make_unique<state>()} {}

registry::~registry() = default;

void registry::observe(timing what, std::string_view organisation, std::string_view service, base::duration value) {
    const double seconds = std::chrono::duration<double>(value).count();
    const std::scoped_lock lock{state_->mutex};
    auto &it = state_->timings[{static_cast<int>(what), std::string{organisation}, std::string{service}}];
    it.values(seconds);
    it.sum += seconds;
}

void registry::count(std::string_view name, std::string_view label, std::uint64_t n) {
    const std::scoped_lock lock{state_->mutex};
    state_->counters[{std::string{name}, std::string{label}}] += n;
}

void registry::set(std::string_view name, std::string_view label, double value) {
    const std::scoped_lock lock{state_->mutex};
    state_->gauges[{std::string{name}, std::string{label}}] = value;
}

void registry::remove(std::string_view name, std::string_view label) {
    const std::scoped_lock lock{state_->mutex};
    state_->gauges.erase({std::string{name}, std::string{label}});
}

std::string registry::text() const {
    const std::scoped_lock lock{state_->mutex};
    std::string out;
    int last = -1;
    for (const auto &[key, it] : state_->timings) {
        const auto &[what, organisation, service] = key;
        const auto name = internal::timing_names.at(static_cast<std::size_t>(what));
        if (what != last) {
            out += "# TYPE " + std::string{internal::prefix} + std::string{name} + " histogram\n";
            last = what;
        }
        const auto labels =
            "organisation=\"" + internal::escape(organisation) + "\",service=\"" + internal::escape(service) + "\"";
        internal::write_series(out, name, labels, it);
    }
    internal::write_values(out, state_->counters, "counter");
    internal::write_values(out, state_->gauges, "gauge");
    return out;
}

} // namespace dotterelstack::metrics
