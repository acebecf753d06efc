#include "settings/entry_settings.hpp"

#include <array>

#include "settings/file.hpp"
#include "settings/reader.hpp"

namespace dotterelstack::settings {

namespace internal {

constexpr std::uint64_t hour_ms = 3'600'000;

struct entry_time {
    std::string_view name;
    base::duration entry_timings::*member;
    range<double> milliseconds;
};

constexpr auto entry_times = std::to_array<entry_time>({
    {"request_deadline_ms", &entry_timings::request_deadline, {1000, 24 * hour_ms}},
    {"drain_deadline_ms", &entry_timings::drain_deadline, {1000, 24 * hour_ms}},
    {"ping_interval_ms", &entry_timings::ping_interval, {50, 10'000}},
    {"ping_deadline_ms", &entry_timings::ping_deadline, {100, 60'000}},
    {"store_timeout_ms", &entry_timings::store_timeout, {50, 60'000}},
    {"store_retry_ms", &entry_timings::store_retry, {10, 60'000}},
    {"watch_wait_ms", &entry_timings::watch_wait, {50, 60'000}},
    {"config_wait_ms", &entry_timings::config_wait, {50, 60'000}},
    {"host_list_interval_ms", &entry_timings::host_list_interval, {50, 60'000}},
    {"heartbeat_interval_ms", &entry_timings::heartbeat_interval, {50, 60'000}},
    {"key_check_interval_ms", &entry_timings::key_check_interval, {50, 5'000}},
    {"isolation_limit_ms", &entry_timings::isolation_limit, {500, 60'000}},
    {"lease_term_ms", &entry_timings::lease_term, {200, 600'000}},
    {"lease_margin_ms", &entry_timings::lease_margin, {20, 600'000}},
    {"grant_term_ms", &entry_timings::grant_term, {100, 60'000}},
    {"usage_flush_interval_ms", &entry_timings::usage_flush_interval, {50, hour_ms}},
    {"usage_window_ms", &entry_timings::usage_window, {500, 24 * hour_ms}},
});

void read_limits(object_reader &in, entry_limits &out) {
    in.optional("body_bytes", out.body_bytes, {1024, std::uint64_t{1} << 30U});
    in.optional("header_bytes", out.header_bytes, {1024, std::uint64_t{1} << 20U});
    in.optional("concurrent_requests", out.concurrent_requests, {1, 1'000'000});
}

void check_times(object_reader &in, const entry_timings &times) {
    if (times.lease_margin * 2 > times.lease_term) {
        in.report("lease_margin_ms", "", "at most half of lease_term_ms",
                  "lower it, or raise lease_term_ms, so that a holder has time to renew");
    }
    if (times.ping_deadline < times.ping_interval) {
        in.report("ping_deadline_ms", "", "at least ping_interval_ms",
                  "raise it, or connections close before the first answer is due");
    }
}

void read_entry(object_reader &in, entry_settings &out) {
    in.required("name", out.name, rules::name);
    in.required("failure_domain", out.failure_domain, rules::name);
    in.required_object("listen", [&out](object_reader &it) {
        it.required("callers", out.listen.callers, rules::listen_address);
        it.required("peers", out.listen.peers, rules::listen_address);
    });
    in.required("store", out.store, rules::peer_address);
    in.required("platform", out.platform, rules::peer_address);
    in.optional("peers", out.peers, rules::peer_address);
    in.optional_object("limits", [&out](object_reader &it) { read_limits(it, out.limits); });
    in.optional_object("timings", [&out](object_reader &it) {
        for (const auto &time : entry_times) {
            it.optional(time.name, out.timings.*time.member, time.milliseconds);
        }
        check_times(it, out.timings);
    });
    in.finish();
}

} // namespace internal

base::result<entry_settings> parse_entry_settings(std::string_view file, std::string_view text,
                                                  const std::vector<std::string> &overrides) {
    problem_list problems{file};
    auto value = parse_json(text, problems);
    entry_settings out;
    if (!value.is_discarded()) {
        apply_overrides(value, overrides, problems);
        object_reader in{value, "", problems};
        internal::read_entry(in, out);
    }
    if (!problems.empty()) {
        return boost::outcome_v2::failure(problems.to_error("settings_invalid"));
    }
    return out;
}

base::result<entry_settings> load_entry_settings(const std::string &path, const std::vector<std::string> &overrides) {
    BOOST_OUTCOME_TRY(text, read_file(path));
    return parse_entry_settings(path, text, overrides);
}

} // namespace dotterelstack::settings
