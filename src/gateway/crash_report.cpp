#include "gateway/crash_report.hpp"

#include <algorithm>
#include <iterator>

#include "store/settled_write.hpp"

namespace dotterelstack::gateway {

using nlohmann::json;

NLOHMANN_JSON_SERIALIZE_ENUM(observation_kind, {{observation_kind::ended, "ended"},
                                                {observation_kind::sound, "sound"},
                                                {observation_kind::held, "held"}})

json to_json(const crash_report &report) {
    json items = json::array();
    for (const auto &it : report) {
        // As text: ids use all 64 bits, which not every JSON implementation keeps.
        json parts = json::array();
        std::ranges::transform(it.parts, std::back_inserter(parts),
                               [](std::uint64_t id) { return std::to_string(id); });
        items.push_back({{"number", it.number}, {"kind", it.kind}, {"server", it.server}, {"parts", std::move(parts)}});
    }
    return json{{"observations", std::move(items)}};
}

base::result<crash_report> parse_crash_report(const store::object &item) {
    BOOST_OUTCOME_TRY(value, store::parse_value(item));
    try {
        crash_report out;
        for (const auto &it : value.at("observations")) {
            crash_observation next{it.at("number").get<std::uint64_t>(),
                                   it.at("kind").get<observation_kind>(),
                                   it.at("server").get<std::string>(),
                                   {}};
            for (const auto &id : it.at("parts")) {
                next.parts.push_back(std::stoull(id.get<std::string>()));
            }
            out.push_back(std::move(next));
        }
        return out;
    } catch (const std::exception &ex) {
        return base::fail(base::error_kind::internal, "bad_stored_value",
                          item.key + " cannot be decoded (" + ex.what() + "); run the same release on all hosts");
    }
}

} // namespace dotterelstack::gateway
