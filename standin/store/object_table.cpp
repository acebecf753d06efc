#include "standin/store/object_table.hpp"

#include <utility>

namespace dotterelstack::standin {

namespace internal {

const stored_object absent{};

} // namespace internal

const stored_object &object_table::get(const std::string &key) const {
    const auto it = objects_.find(key);
    return it == objects_.end() ? internal::absent : it->second.last;
}

const stored_object &object_table::previous(const std::string &key) const {
    const auto it = objects_.find(key);
    return it == objects_.end() ? internal::absent : it->second.before;
}

std::optional<std::uint64_t> object_table::write(const std::string &key, expected_version expected,
                                                 const std::optional<std::string> &value) {
    const auto &now = get(key);
    const std::uint64_t live_version = now.deleted ? 0 : now.version;
    if (live_version != expected || (expected == 0 && !value)) {
        return std::nullopt;
    }
    auto &it = objects_[key];
    order_.erase(it.last.version);
    it.before = std::exchange(it.last, {++revision_, value.value_or(""), !value});
    order_[revision_] = key;
    return revision_;
}

std::vector<keyed_object> object_table::list(std::string_view prefix) const {
    std::vector<keyed_object> out;
    for (auto it = objects_.lower_bound(prefix); it != objects_.end() && it->first.starts_with(prefix); ++it) {
        if (!it->second.last.deleted) {
            out.push_back({it->first, it->second.last});
        }
    }
    return out;
}

std::vector<keyed_object> object_table::changes(std::string_view prefix, std::uint64_t since) const {
    std::vector<keyed_object> out;
    for (auto it = order_.upper_bound(since); it != order_.end(); ++it) {
        if (it->second.starts_with(prefix)) {
            out.push_back({it->second, get(it->second)});
        }
    }
    return out;
}

} // namespace dotterelstack::standin
