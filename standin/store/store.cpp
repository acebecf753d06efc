#include "standin/store/store.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <optional>
#include <utility>

#include "standin/common/path.hpp"
#include "standin/common/program.hpp"

namespace dotterelstack::standin {

namespace internal {

constexpr std::string_view objects_path = "/v1/objects/";

std::uint64_t number_of(const http::request &message, std::string_view name) {
    return std::strtoull(message.query_value(name).value_or("0").c_str(), nullptr, 10);
}

/** Version of a write's condition; zero for `If-None-Match: *`; nothing when there is no valid condition. */
std::optional<expected_version> condition_of(const http::request &message) {
    const auto none = http::find_field(message.fields, "If-None-Match");
    const auto match = http::find_field(message.fields, "If-Match");
    if (none.has_value() == match.has_value()) {
        return std::nullopt;
    }
    if (none) {
        return *none == "*" ? std::optional<expected_version>{0} : std::nullopt;
    }
    const auto text = between(*match, "\"", "\"");
    expected_version out = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    return ec == std::errc{} && end == text.data() + text.size() && out > 0 ? std::optional{out} : std::nullopt;
}

std::string tag(std::uint64_t version) {
    return "\"" + std::to_string(version) + "\"";
}

nlohmann::json describe(const keyed_object &it) {
    return {{"key", it.key}, {"version", it.object.version}, {"value", it.object.value}};
}

} // namespace internal

void store::handle(const http::exchange &call) {
    const std::scoped_lock lock{mutex_};
    const auto &message = call.message();
    const auto path = message.path();
    if (path == "/v1/faults" && message.method == "POST") {
        set_faults(call);
    } else if (path == "/v1/faults") {
        call.respond(json_response(200, faults()));
    } else if (path == "/v1/counters") {
        call.respond(json_response(200, counters()));
    } else if (faults_.outage) {
        ++dropped_;
        call.abort();
    } else if (faults_.silent) {
        held_.push_back(call);
    } else if (faults_.delay_ms > 0) {
        timer_.after(std::chrono::milliseconds{faults_.delay_ms}, [this, call] {
            const std::scoped_lock relock{mutex_};
            carry_out(call);
        });
    } else {
        carry_out(call);
    }
}

void store::release_watches() {
    const std::scoped_lock lock{mutex_};
    for (const auto &it : std::exchange(watches_, {})) {
        answer_watch(it);
    }
}

void store::carry_out(const http::exchange &call) {
    const auto &message = call.message();
    const auto path = message.path();
    const auto key = decode_path(between(path, internal::objects_path, ""));
    if (!key.empty() && message.method == "GET") {
        get(call, key);
    } else if (!key.empty() && (message.method == "PUT" || message.method == "DELETE")) {
        write(call, key);
    } else if (path == "/v1/objects" && message.method == "GET") {
        list(call);
    } else if (path == "/v1/watch" && message.method == "GET") {
        start_watch(call);
    } else {
        call.respond(error_response(404, "not_found", "no such path; see docs/design.md, section 5"));
    }
}

void store::set_faults(const http::exchange &call) {
    const auto body = json::parse(call.message().body, nullptr, false);
    if (!body.is_object()) {
        call.respond(error_response(400, "bad_faults", "send a JSON object"));
        return;
    }
    store_faults next = faults_;
    try {
        for (const auto &[name, value] : body.items()) {
            if (name == "outage") {
                next.outage = value.get<bool>();
            } else if (name == "delay_ms") {
                next.delay_ms = value.get<std::int64_t>();
            } else if (name == "lose_answers") {
                next.lose_answers = value.get<std::uint64_t>();
            } else if (name == "stale_reads") {
                next.stale_reads = value.get<std::uint64_t>();
            } else if (name == "silent") {
                next.silent = value.get<bool>();
            } else if (name == "prefix") {
                next.prefix = value.get<std::string>();
            } else {
                call.respond(error_response(400, "bad_faults", "unknown fault " + name));
                return;
            }
        }
    } catch (const json::exception &ex) {
        call.respond(error_response(400, "bad_faults", ex.what()));
        return;
    }
    faults_ = next;
    if (faults_.outage) {
        for (const auto &it : std::exchange(watches_, {})) {
            ++dropped_;
            it.call.abort();
        }
    }
    if (!faults_.silent) {
        for (const auto &it : std::exchange(held_, {})) {
            carry_out(it);
        }
    }
    call.respond(json_response(200, faults()));
}

nlohmann::json store::faults() const {
    return {
        {"outage", faults_.outage},           {"delay_ms", faults_.delay_ms}, {"lose_answers", faults_.lose_answers},
        {"stale_reads", faults_.stale_reads}, {"silent", faults_.silent},     {"prefix", faults_.prefix}};
}

nlohmann::json store::counters() const {
    const auto describe = [](const counts &it) {
        return json{{"reads", it.reads},         {"writes", it.writes},
                    {"conflicts", it.conflicts}, {"lists", it.lists},
                    {"watches", it.watches},     {"bytes_in", it.bytes_in},
                    {"bytes_out", it.bytes_out}, {"calls", it.reads + it.writes + it.lists + it.watches}};
    };
    counts sum;
    json parts = json::object();
    for (const auto &[name, it] : counts_) {
        parts[name] = describe(it);
        sum.reads += it.reads;
        sum.writes += it.writes;
        sum.conflicts += it.conflicts;
        sum.lists += it.lists;
        sum.watches += it.watches;
        sum.bytes_in += it.bytes_in;
        sum.bytes_out += it.bytes_out;
    }
    json out = describe(sum);
    out["dropped"] = dropped_;
    out["held"] = held_.size();
    out["waiting"] = watches_.size();
    out["revision"] = objects_.revision();
    out["parts"] = parts;
    return out;
}

void store::get(const http::exchange &call, const std::string &key) {
    ++counts_of(key).reads;
    const bool stale = faults_.stale_reads > 0 && applies(key);
    faults_.stale_reads -= stale ? 1U : 0U;
    const auto &it = stale ? objects_.previous(key) : objects_.get(key);
    if (it.deleted) {
        answer(call, key, error_response(404, "not_found", "no object has this key"));
    } else {
        answer(call, key, {200, {{"ETag", internal::tag(it.version)}, {"Content-Type", "text/plain"}}, it.value});
    }
}

void store::write(const http::exchange &call, const std::string &key) {
    const auto &message = call.message();
    auto &counted = counts_of(key);
    ++counted.writes;
    counted.bytes_in += message.body.size();
    const auto expected = internal::condition_of(message);
    if (!expected) {
        answer(call, key, error_response(428, "no_condition", "send If-Match: \"version\" or If-None-Match: *"));
        return;
    }
    const bool put = message.method == "PUT";
    const auto version = objects_.write(key, *expected, put ? std::optional{message.body} : std::nullopt);
    if (!version) {
        ++counted.conflicts;
        auto response = error_response(412, "conflict", "the object has another version; read it again");
        if (!objects_.get(key).deleted) {
            response.fields.push_back({"ETag", internal::tag(objects_.get(key).version)});
        }
        answer(call, key, response);
        return;
    }
    wake_watches(key);
    if (faults_.lose_answers > 0 && applies(key)) {
        --faults_.lose_answers;
        ++dropped_;
        call.abort();
        return;
    }
    auto response = json_response(200, {{"version", *version}});
    response.fields.push_back({"ETag", internal::tag(*version)});
    answer(call, key, response);
}

void store::list(const http::exchange &call) {
    const auto prefix = call.message().query_value("prefix").value_or("");
    ++counts_of(prefix).lists;
    json objects = json::array();
    for (const auto &it : objects_.list(prefix)) {
        objects.push_back(internal::describe(it));
    }
    answer(call, prefix, json_response(200, {{"objects", objects}, {"revision", objects_.revision()}}));
}

void store::start_watch(const http::exchange &call) {
    const auto &message = call.message();
    watch it{++watch_ids_, call, message.query_value("prefix").value_or(""), internal::number_of(message, "since")};
    ++counts_of(it.prefix).watches;
    const auto wait = internal::number_of(message, "wait_ms");
    if (wait == 0 || !objects_.changes(it.prefix, it.since).empty()) {
        answer_watch(it);
        return;
    }
    watches_.push_back(it);
    timer_.after(std::chrono::milliseconds{wait}, [this, id = it.id] { end_watch(id); });
}

void store::end_watch(std::uint64_t id) {
    const std::scoped_lock lock{mutex_};
    const auto it = std::ranges::find(watches_, id, &watch::id);
    if (it == watches_.end()) {
        return;
    }
    const auto found = *it;
    watches_.erase(it);
    answer_watch(found);
}

void store::wake_watches(const std::string &key) {
    for (auto it = watches_.begin(); it != watches_.end();) {
        const auto current = it++;
        if (key.starts_with(current->prefix)) {
            const auto found = *current;
            watches_.erase(current);
            answer_watch(found);
        }
    }
}

void store::answer_watch(const watch &it) {
    if (faults_.silent) {
        held_.push_back(it.call);
        return;
    }
    json events = json::array();
    for (const auto &change : objects_.changes(it.prefix, it.since)) {
        auto event = internal::describe(change);
        event["deleted"] = change.object.deleted;
        events.push_back(std::move(event));
    }
    answer(it.call, it.prefix, json_response(200, {{"events", events}, {"revision", objects_.revision()}}));
}

void store::answer(const http::exchange &call, const std::string &key, const http::response &response) {
    counts_of(key).bytes_out += response.body.size();
    call.respond(response);
}

store::counts &store::counts_of(std::string_view key) {
    const auto part = key.substr(0, key.find('/'));
    const auto it = counts_.find(part);
    return it == counts_.end() ? counts_[std::string{part}] : it->second;
}

} // namespace dotterelstack::standin
