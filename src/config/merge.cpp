#include "config/merge.hpp"

#include "config/item.hpp"

namespace dotterelstack::config {

namespace internal {

const nlohmann::json absent_value;

const nlohmann::json &value_in(const item_map &items, const std::string &name) {
    const auto it = items.find(name);
    return it == items.end() ? absent_value : it->second;
}

/** Digest of a value; empty for an absent item. */
std::string digest_of(const nlohmann::json &value) {
    return value.is_null() ? std::string{} : item_digest(value);
}

std::string display_text(const nlohmann::json &value) {
    return value.is_null() ? "removed" : value.dump();
}

std::set<std::string> names_of(const item_map &a, const item_map &b) {
    std::set<std::string> out;
    for (const auto *items : {&a, &b}) {
        for (const auto &it : *items) {
            out.insert(it.first);
        }
    }
    return out;
}

std::string author_of(const std::optional<item_origin> &origin) {
    return origin ? origin->author + " at " + origin->time : "an unknown author";
}

bool is_overwritten(const std::string &item, const item_origin *origin, const std::set<std::string> &overwrite) {
    return origin != nullptr && overwrite.contains(item + "@" + std::to_string(origin->version));
}

} // namespace internal

merge_result merge(const declarations &files, const merge_base &base, const config_state &current,
                   const std::set<std::string> &overwrite) {
    const auto mine = to_items(files);
    const auto theirs = to_items(current.values());
    merge_result out;
    for (const auto &item : internal::names_of(mine, theirs)) {
        const auto &my_value = internal::value_in(mine, item);
        const auto &their_value = internal::value_in(theirs, item);
        if (my_value == their_value) {
            continue;
        }
        const auto it = base.digests.find(item);
        const auto base_digest = it == base.digests.end() ? std::string{} : it->second;
        const auto *origin = current.origin_of(item);
        if (internal::digest_of(their_value) == base_digest || internal::is_overwritten(item, origin, overwrite)) {
            out.changes.push_back({item, their_value, my_value});
        } else if (internal::digest_of(my_value) == base_digest) {
            out.kept.push_back(item);
        } else {
            out.conflicts.push_back(
                {item, my_value, their_value, origin == nullptr ? std::nullopt : std::optional{*origin}});
        }
    }
    return out;
}

base::error describe(const std::vector<conflict> &conflicts) {
    std::string out;
    for (const auto &it : conflicts) {
        const auto version = std::to_string(it.origin ? it.origin->version : 0);
        out.append(it.item).append(": changed by ").append(internal::author_of(it.origin));
        out.append(" (version ").append(version).append(") after your files were exported\n  theirs: ");
        out.append(internal::display_text(it.theirs)).append("\n  yours:  ").append(internal::display_text(it.mine));
        out.append("\n  Export to another directory and take over their value, or repeat with --overwrite ");
        out.append(it.item).append("@").append(version).append(" to replace it.\n");
    }
    out += "Nothing was changed.";
    return {base::error_kind::conflict, "edit_conflict", std::move(out)};
}

merge_base make_base(const config_state &state) {
    merge_base out{state.version(), {}};
    for (const auto &[item, value] : to_items(state.values())) {
        out.digests.emplace(item, item_digest(value));
    }
    return out;
}

merge_base advance_base(const merge_base &old, const declarations &files, const config_state &state) {
    const auto mine = to_items(files);
    const auto theirs = to_items(state.values());
    merge_base out{state.version(), {}};
    for (const auto &item : internal::names_of(mine, theirs)) {
        const auto &value = internal::value_in(mine, item);
        if (value == internal::value_in(theirs, item)) {
            out.digests.emplace(item, item_digest(value));
        } else if (const auto it = old.digests.find(item); it != old.digests.end()) {
            out.digests.insert(*it);
        }
    }
    return out;
}

} // namespace dotterelstack::config
