#include "gateway/config_source.hpp"

#include <algorithm>
#include <charconv>
#include <system_error>

#include "gateway/peer_call.hpp"
#include "log/event.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Gateways queried per round. Three per round cover all gateways of a small site within a second.
constexpr std::size_t peers_per_round = 3;
constexpr const char *version_parameter = "since";
constexpr const char *age_field = "Confirmed-Ms-Ago";
constexpr const char *store_version_field = "Store-Version";
// Greater ages confirm nothing.
constexpr std::chrono::milliseconds greatest_age = std::chrono::hours{24};

/** @return The number in a field, if the field is there and holds nothing else. */
template<typename Number>
std::optional<Number> number_in(const http::response &answer, std::string_view field) noexcept {
    const auto text = http::find_field(answer.fields, field).value_or("");
    Number out{};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    return !text.empty() && ec == std::errc{} && end == text.data() + text.size() ? std::optional{out} : std::nullopt;
}

/** @return Time since the peer's configuration was confirmed, if it says so. */
std::optional<base::duration> age_in(const http::response &answer) noexcept {
    const auto ms = number_in<std::int64_t>(answer, age_field);
    return ms && *ms >= 0 && std::chrono::milliseconds{*ms} <= greatest_age
               ? std::optional<base::duration>{std::chrono::milliseconds{*ms}}
               : std::nullopt;
}

} // namespace internal

config_source::config_source(dependencies deps) : deps_{std::move(deps)} {}

bool config_source::adopt(std::string_view value, std::string_view origin) {
    auto decoded = deps_.codec.decode_config(value);
    if (!decoded) {
        log::write("config_unreadable", {{"origin", origin}, {"reason", decoded.error().message}});
        return false;
    }
    const auto version = decoded.value().version;
    traffic_config_ptr config;
    {
        const std::scoped_lock lock{mutex_};
        if (known_ && version <= version_) {
            return true;
        }
        known_ = true;
        version_ = version;
        value_ = std::string{value};
        config = std::make_shared<const traffic_config>(std::move(decoded.value()));
    }
    log::write("config_adopted", {{"version", version}, {"origin", origin}, {"bytes", value.size()}});
    deps_.on_config(std::move(config));
    return true;
}

bool config_source::on_object(const store::object &item) {
    if (item.key != deps_.codec.config_key()) {
        return false;
    }
    const bool readable = adopt(item.value, "store");
    if (readable) {
        cover(item.version);
    }
    const std::scoped_lock lock{mutex_};
    if (item.version >= newest_object_) {
        newest_object_ = item.version;
        newest_readable_ = readable;
    }
    return readable;
}

void config_source::confirm(base::instant as_of) {
    const std::scoped_lock lock{mutex_};
    confirmed_at_ = std::max(confirmed_at_.value_or(as_of), as_of);
}

void config_source::cover(std::uint64_t store_version) {
    const std::scoped_lock lock{mutex_};
    covered_ = std::max(covered_, store_version);
}

std::uint64_t config_source::store_version() const {
    const std::scoped_lock lock{mutex_};
    return covered_;
}

void config_source::on_store_answer() {
    bool readable = false;
    {
        const std::scoped_lock lock{mutex_};
        readable = newest_readable_;
    }
    if (readable) {
        confirm(deps_.time.now());
    }
}

std::optional<base::duration> config_source::confirmation_age() const {
    const std::scoped_lock lock{mutex_};
    return confirmed_at_ ? std::optional{deps_.time.now() - *confirmed_at_} : std::nullopt;
}

bool config_source::confirmed_within(base::duration limit) const {
    const auto age = confirmation_age();
    return age && *age <= limit;
}

void config_source::ask_peers() {
    const auto peers = deps_.peers();
    const auto n = std::min(peers.size(), internal::peers_per_round);
    std::size_t newer = 0;
    std::size_t failed = 0;
    std::string failure;
    for (std::size_t it = 0; it < n; ++it) {
        const auto &address = peers[next_peer_++ % peers.size()];
        std::string target{traffic_config_path};
        {
            const std::scoped_lock lock{mutex_};
            if (known_) {
                target += std::string{"?"} + internal::version_parameter + "=" + std::to_string(version_);
            }
        }
        const auto sent = deps_.time.now();
        const auto answer = query_peer(deps_.client, address, std::move(target));
        if (!answer) {
            ++failed;
            failure = answer.error().message;
            continue;
        }
        const auto &message = answer.value();
        newer += message.status == 200 ? 1U : 0U;
        const bool has_peers_version = message.status == 204 || (message.status == 200 && adopt(message.body, address));
        if (!has_peers_version) {
            continue;
        }
        if (const auto age = internal::age_in(message)) {
            confirm(sent - *age);
        }
        cover(internal::number_in<std::uint64_t>(message, internal::store_version_field).value_or(0));
    }
    const auto age = confirmation_age();
    log::write("config_peers_asked", {{"asked", n},
                                      {"newer", newer},
                                      {"failed", failed},
                                      {"last_failure", failure},
                                      {"version", version()},
                                      {"confirmed_ms_ago", age ? base::to_milliseconds(*age) : -1}});
}

std::uint64_t config_source::version() const {
    const std::scoped_lock lock{mutex_};
    return version_;
}

http::response config_source::answer_peer(const http::request &message) const {
    const auto since = message.query_value(internal::version_parameter);
    std::uint64_t version = 0;
    if (since) {
        std::from_chars(since->data(), since->data() + since->size(), version);
    }
    const std::scoped_lock lock{mutex_};
    http::field_list fields;
    if (confirmed_at_) {
        fields.push_back(
            {internal::age_field, std::to_string(base::to_milliseconds(deps_.time.now() - *confirmed_at_))});
    }
    if (covered_ > 0) {
        fields.push_back({internal::store_version_field, std::to_string(covered_)});
    }
    if (!known_ || (since && version >= version_)) {
        return {204, std::move(fields), ""};
    }
    fields.push_back({"Content-Type", "application/json"});
    return {200, std::move(fields), value_};
}

} // namespace dotterelstack::gateway
