#include "usage/sequence_set.hpp"

#include <iterator>

namespace dotterelstack::usage {

bool sequence_set::contains(std::uint64_t sequence) const {
    const auto after = ranges_.upper_bound(sequence);
    return after != ranges_.begin() && std::prev(after)->second >= sequence;
}

bool sequence_set::insert(std::uint64_t sequence) {
    if (contains(sequence)) {
        return false;
    }
    auto first = sequence;
    auto last = sequence;
    const auto after = ranges_.upper_bound(sequence);
    if (after != ranges_.begin() && std::prev(after)->second + 1 == sequence) {
        first = std::prev(after)->first;
    }
    if (after != ranges_.end() && after->first == sequence + 1) {
        last = after->second;
        ranges_.erase(after);
    }
    ranges_[first] = last;
    return true;
}

nlohmann::json sequence_set::to_json() const {
    auto out = nlohmann::json::array();
    for (const auto &[first, last] : ranges_) {
        out.push_back({first, last});
    }
    return out;
}

sequence_set sequence_set::from_json(const nlohmann::json &value) {
    sequence_set out;
    for (const auto &it : value) {
        out.ranges_[it.at(0).get<std::uint64_t>()] = it.at(1).get<std::uint64_t>();
    }
    return out;
}

} // namespace dotterelstack::usage
