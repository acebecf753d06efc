#pragma once

#include "base/id.hpp"
#include "config/change.hpp"
#include "config/config_log.hpp"
#include "config/item.hpp"

namespace dotterelstack::test {

/** @return Two organisations with a key each, a model and a plain service, and a row for every pair. */
inline config::declarations sample_declarations() {
    config::declarations out;
    out.services["drafting"] = {"drafting", config::service_kind::model, {"m1"}, false, {}, {}};
    out.services["booking"] = {"booking",
                               config::service_kind::plain,
                               {},
                               false,
                               {{"GET", "/slots/*", true, true}, {"POST", "/bookings", false, false}},
                               {{config::key_place::query, "api_key"}}};
    for (const std::string name : {"north", "south"}) {
        out.organisations[name] = {name, "Sample " + name};
        out.keys["key-" + name] = {"key-" + name, name, base::sha256_hex("dsk_" + name), false};
        out.rows[{name, "drafting"}] = {name, "drafting", 1, 8, 10, 5000, 500, 20};
        out.rows[{name, "booking"}] = {name, "booking", 1, 4, 5, 0, 0, 10};
    }
    return out;
}

/** @return The change from one set of declarations to another. */
inline config::change make_change(std::uint64_t version, const config::declarations &before,
                                  const config::declarations &after, std::string id = {}) {
    config::change out{version, id.empty() ? "id" + std::to_string(version) : std::move(id), "alice", "12:00", {}};
    auto old_items = config::to_items(before);
    auto new_items = config::to_items(after);
    for (const auto &[name, value] : old_items) {
        new_items.try_emplace(name);
    }
    for (const auto &[name, value] : new_items) {
        if (old_items[name] != value) {
            out.items.push_back({name, old_items[name], value});
        }
    }
    return out;
}

/** @return A chain of `n` changes: the first adds the sample, each other one raises the concurrency of a row. */
inline std::vector<config::change> make_chain(std::size_t n) {
    std::vector<config::change> out;
    config::declarations at;
    for (std::size_t it = 1; it <= n; ++it) {
        auto next = it == 1 ? sample_declarations() : at;
        if (it > 1) {
            next.rows[{"north", "drafting"}].concurrency = 100 + it;
        }
        out.push_back(make_change(it, at, next));
        at = next;
    }
    return out;
}

/** @return The encoded head after the first `n` changes; it contains the changes after version `snapshot`. */
inline std::string head_text(const std::vector<config::change> &chain, std::size_t n, std::size_t snapshot = 0) {
    config::head out{n, snapshot, snapshot > 0 ? 1U : 0U, {}};
    out.changes.assign(chain.begin() + static_cast<std::ptrdiff_t>(snapshot),
                       chain.begin() + static_cast<std::ptrdiff_t>(n));
    return config::encode_head(out);
}

/** @return The state after the first `n` changes. */
inline config::state_ptr state_after(const std::vector<config::change> &chain, std::size_t n) {
    auto out = config::apply_changes(std::make_shared<const config::config_state>(), std::span{chain}.subspan(0, n));
    return out ? out.value() : nullptr;
}

} // namespace dotterelstack::test
