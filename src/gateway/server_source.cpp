#include "gateway/server_source.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "gateway/peer_call.hpp"
#include "log/event.hpp"

namespace dotterelstack::gateway {

using nlohmann::json;

namespace internal {

/** @return The object that a peer's answer shows, or nothing where a field is missing or of another type. */
std::optional<store::object> to_object(const json &from) {
    try {
        return store::object{from.at("key").get<std::string>(), from.at("revision").get<std::uint64_t>(),
                             from.at("value").get<std::string>()};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

/** @return The objects that a peer's answer shows; those that cannot be read are left out. */
std::vector<store::object> to_objects(std::string_view text) {
    std::vector<store::object> out;
    const auto all = json::parse(text, nullptr, false);
    if (all.is_array()) {
        for (const auto &it : all) {
            if (auto item = to_object(it)) {
                out.push_back(std::move(*item));
            }
        }
    }
    return out;
}

} // namespace internal

server_source::server_source(dependencies deps) : deps_{std::move(deps)}, fleet_{deps_.time} {}

std::string_view server_source::id_of(const store::object &item) const {
    return std::string_view{item.key}.substr(deps_.codec.servers_prefix().size());
}

std::optional<fleet_entry> server_source::to_entry(const store::object &item) {
    const auto id = id_of(item);
    auto server = deps_.codec.decode_server(id, item.value);
    if (server) {
        unreadable_.erase(item.key);
        return fleet_entry{std::move(server.value()), item.version};
    }
    if (auto &seen = unreadable_[item.key]; seen != item.version) {
        seen = item.version;
        log::write("server_entry_unreadable", {{"object", item.key}, {"reason", server.error().message}});
    }
    return std::nullopt;
}

void server_source::publish() {
    auto all = fleet_.servers();
    log::write("servers_changed",
               {{"servers", all.size()}, {"draining", std::ranges::count_if(all, &backend_server::draining)}});
    deps_.on_servers(std::move(all));
}

void server_source::on_list(const std::vector<store::object> &all) {
    if (const auto now = deps_.store_history ? deps_.store_history() : 0; now != std::exchange(history_, now)) {
        fleet_.on_store_returned();
    }
    std::vector<fleet_entry> entries;
    std::vector<std::string> unreadable;
    for (const auto &it : all) {
        if (auto entry = to_entry(it)) {
            entries.push_back(std::move(*entry));
        } else {
            unreadable.emplace_back(id_of(it));
        }
    }
    {
        const std::scoped_lock lock{mutex_};
        entries_.clear();
        for (const auto &it : all) {
            entries_.emplace(it.key, it);
        }
    }
    fleet_.on_list(entries, unreadable);
    publish();
}

void server_source::on_changes(std::span<const store::watch_event> changes) {
    std::ranges::for_each(changes, [this](const auto &it) { apply(it); });
    publish();
}

void server_source::apply(const store::watch_event &change) {
    const auto id = id_of(change.item);
    {
        const std::scoped_lock lock{mutex_};
        if (change.deleted) {
            entries_.erase(change.item.key);
        } else {
            entries_[change.item.key] = change.item;
        }
    }
    if (change.deleted) {
        fleet_.on_removed(id, change.item.version);
        log::write("server_removed", {{"server", id}, {"revision", change.item.version}});
    } else if (const auto entry = to_entry(change.item)) {
        const bool taken = fleet_.on_change(*entry);
        log::write("server_changed", {{"server", id},
                                      {"draining", entry->server.draining},
                                      {"stage", static_cast<int>(entry->server.stage)},
                                      {"born", entry->server.incarnation_start_ms},
                                      {"sequence", entry->server.sequence},
                                      {"revision", entry->revision},
                                      {"taken", taken}});
    } else {
        fleet_.on_unreadable(id);
    }
}

void server_source::on_answered() {
    fleet_.on_store_answer();
    if (fleet_.expire()) {
        publish();
    }
}

void server_source::on_failed(store_failure how) {
    fleet_.on_store_failure(how);
    if (!fleet_.known()) {
        ask_peers();
    }
}

base::duration server_source::longest_wait(base::duration limit) const {
    const auto due = fleet_.next_expiry();
    return due ? std::min(limit, *due - deps_.time.now()) : limit;
}

void server_source::ask_peers() {
    for (const auto &address : deps_.peers()) {
        const auto answer = ask_peer(deps_.client, address, std::string{servers_path});
        if (!answer) {
            continue;
        }
        auto all = internal::to_objects(*answer);
        std::erase_if(all, [this](const auto &it) { return !it.key.starts_with(deps_.codec.servers_prefix()); });
        if (!all.empty()) {
            log::write("servers_from_peer", {{"origin", address}, {"servers", all.size()}});
            return on_list(all);
        }
    }
}

http::response server_source::answer_peer() const {
    json all = json::array();
    const std::scoped_lock lock{mutex_};
    for (const auto &[key, it] : entries_) {
        all.push_back({{"key", key}, {"revision", it.version}, {"value", it.value}});
    }
    return {200, {{"Content-Type", "application/json"}}, all.dump(-1, ' ', false, json::error_handler_t::replace)};
}

} // namespace dotterelstack::gateway
