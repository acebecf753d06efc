#include "settings/gateway_settings.hpp"

#include <algorithm>
#include <array>

#include "base/seconds.hpp"
#include "settings/file.hpp"
#include "settings/reader.hpp"

namespace dotterelstack::settings {

namespace internal {

template<typename Group>
struct time_field {
    std::string_view name;
    base::duration Group::*member{nullptr};
    range<double> milliseconds{};
};

/** A bound that is given in seconds, as the platform states it; fractions are permitted. */
struct seconds_field {
    std::string_view name;
    base::duration gateway_bounds::*member{nullptr};
    range<double> seconds{};
};

constexpr auto bounds_in_milliseconds = std::to_array<time_field<gateway_bounds>>({
    {"config_apply_ms", &gateway_bounds::config_apply, {100, 600'000}},
    {"drain_ms", &gateway_bounds::drain, {100, 600'000}},
    {"contact_ms", &gateway_bounds::contact, {500, 600'000}},
    {"lease_term_ms", &gateway_bounds::lease_term, {200, 600'000}},
});

constexpr auto bounds_in_seconds = std::to_array<seconds_field>({
    {"stop_grace_s", &gateway_bounds::stop_grace, {0.1, 86'400}},
    {"usage_window_s", &gateway_bounds::usage_window, {0.5, 86'400}},
    {"usage_due_s", &gateway_bounds::usage_due, {0.1, 86'400}},
    {"retry_window_s", &gateway_bounds::retry_window, {0.5, 3'600}},
});

constexpr auto gateway_times = std::to_array<time_field<gateway_timings>>({
    {"store_timeout_ms", &gateway_timings::store_timeout, {50, 60'000}},
    {"store_connect_timeout_ms", &gateway_timings::store_connect_timeout, {10, 60'000}},
    {"store_retry_ms", &gateway_timings::store_retry, {10, 60'000}},
    {"watch_wait_ms", &gateway_timings::watch_wait, {50, 30'000}},
    {"connect_timeout_ms", &gateway_timings::connect_timeout, {10, 60'000}},
});

// Allowance for a new connection to the store and its first response.
constexpr base::duration reconnect_time = std::chrono::milliseconds{500};
constexpr base::duration min_watch_wait = std::chrono::milliseconds{200};
constexpr range<double> retry_ratio_range{0, 10};
constexpr range<double> retry_allowance_range{0, 1'000'000};
constexpr range<double> quota_tolerance_range{0, 1e12};
constexpr range<std::uint64_t> descriptor_range{64, 10'000'000};
constexpr range<double> memory_range{32, 1'048'576};

void read_bounds(object_reader &in, gateway_bounds &out) {
    for (const auto &it : bounds_in_milliseconds) {
        in.optional(it.name, out.*it.member, it.milliseconds);
    }
    for (const auto &it : bounds_in_seconds) {
        double seconds = base::to_seconds(out.*it.member);
        in.optional(it.name, seconds, it.seconds);
        out.*it.member = base::from_seconds(seconds);
    }
    in.optional("retry_ratio", out.retry_ratio, retry_ratio_range);
    in.optional("quota_tolerance", out.quota_tolerance, quota_tolerance_range);
    in.optional("retry_allowance", out.retry_allowance, retry_allowance_range);
}

void read_gateway(object_reader &in, gateway_settings &out) {
    in.required("name", out.name, rules::name);
    in.required("failure_domain", out.failure_domain, rules::name);
    in.required_object("listen", [&out](object_reader &it) {
        it.required("callers", out.listen.callers, rules::listen_address);
        it.required("readiness", out.listen.readiness, rules::listen_address);
        it.required("peers", out.listen.peers, rules::listen_address);
        it.required("metrics", out.listen.metrics, rules::listen_address);
    });
    in.required("store", out.store, rules::peer_address);
    in.optional("duties", out.duties, rules::peer_address);
    in.optional("seeds", out.seeds, rules::peer_address);
    in.optional("descriptors", out.descriptors, descriptor_range);
    in.optional("memory_mb", out.memory_mb, memory_range);
    in.optional_object("bounds", [&out](object_reader &it) { read_bounds(it, out.bounds); });
    in.optional_object("timings", [&out](object_reader &it) {
        for (const auto &time : gateway_times) {
            it.optional(time.name, out.timings.*time.member, time.milliseconds);
        }
    });
    in.finish();
}

} // namespace internal

base::duration effective_watch_wait(const gateway_settings &values) noexcept {
    const auto upper_bound = values.bounds.contact - values.timings.store_timeout - internal::reconnect_time;
    return std::min(values.timings.watch_wait, std::max(upper_bound, internal::min_watch_wait));
}

base::result<gateway_settings> parse_gateway_settings(std::string_view file, std::string_view text,
                                                      const std::vector<std::string> &overrides) {
    problem_list problems{file};
    auto value = parse_json(text, problems);
    gateway_settings out;
    if (!value.is_discarded()) {
        apply_overrides(value, overrides, problems);
        object_reader in{value, "", problems};
        internal::read_gateway(in, out);
    }
    if (!problems.empty()) {
        return boost::outcome_v2::failure(problems.to_error("settings_invalid"));
    }
    return out;
}

base::result<gateway_settings> load_gateway_settings(const std::string &path,
                                                     const std::vector<std::string> &overrides) {
    BOOST_OUTCOME_TRY(text, read_file(path));
    return parse_gateway_settings(path, text, overrides);
}

} // namespace dotterelstack::settings
