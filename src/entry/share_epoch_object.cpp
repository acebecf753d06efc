#include "entry/share_epoch_object.hpp"

#include "store/settled_write.hpp"

namespace dotterelstack::entry {

using nlohmann::json;

namespace internal {

json member_list(const std::vector<limits::share_member> &members, const epoch_object &value) {
    auto out = json::array();
    for (const auto &it : members) {
        const auto found = value.locations.find(it.entry);
        const auto location = found == value.locations.end() ? member_location{} : found->second;
        out.push_back(
            {{"entry", it.entry}, {"divisor", it.divisor}, {"host", location.host}, {"address", location.address}});
    }
    return out;
}

std::vector<limits::share_member> read_members(const json &list, epoch_object &out) {
    std::vector<limits::share_member> members;
    for (const auto &it : list) {
        members.push_back({it.at("entry").get<std::string>(), it.at("divisor").get<std::uint64_t>()});
        out.locations[members.back().entry] = {it.at("host").get<std::string>(), it.at("address").get<std::string>()};
    }
    return members;
}

} // namespace internal

json to_json(const epoch_object &value) {
    return {{"number", value.epoch.number},
            {"members", internal::member_list(value.epoch.members, value)},
            {"outstanding", internal::member_list(value.epoch.outstanding, value)},
            {"confirmer", value.confirmer}};
}

base::result<epoch_object> parse_epoch(const store::object &item) {
    BOOST_OUTCOME_TRY(value, store::parse_value(item));
    try {
        epoch_object out;
        out.version = item.version;
        out.confirmer = value.at("confirmer").get<std::string>();
        out.epoch.number = value.at("number").get<std::uint64_t>();
        out.epoch.members = internal::read_members(value.at("members"), out);
        out.epoch.outstanding = internal::read_members(value.at("outstanding"), out);
        return out;
    } catch (const json::exception &ec) {
        return base::fail(base::error_kind::internal, "bad_share_epoch",
                          item.key + " is not a valid share epoch (" + ec.what() +
                              "); repair it, limits keep their last shares");
    }
}

json to_json(const limits::share_demand &demand) {
    return {{"epoch", demand.epoch},     {"entry", demand.entry},   {"sequence", demand.sequence},
            {"applied", demand.applied}, {"wanted", demand.wanted}, {"in_use", demand.in_use}};
}

json to_json(const limits::share_grant &grant) {
    return {{"epoch", grant.epoch}, {"sequence", grant.sequence}, {"lent", grant.lent}};
}

limits::share_demand parse_demand(const json &value) {
    return {value.at("epoch").get<std::uint64_t>(),          value.at("entry").get<std::string>(),
            value.at("sequence").get<std::uint64_t>(),       value.at("applied").get<std::uint64_t>(),
            value.at("wanted").get<limits::share_amounts>(), value.at("in_use").get<limits::share_amounts>()};
}

limits::share_grant parse_grant(const json &value) {
    return {value.at("epoch").get<std::uint64_t>(), value.at("sequence").get<std::uint64_t>(),
            value.at("lent").get<limits::share_amounts>()};
}

} // namespace dotterelstack::entry
