#include "gateway/crash_report.hpp"

#include <array>

#include "store/settled_write.hpp"

namespace dotterelstack::gateway {

using nlohmann::json;

NLOHMANN_JSON_SERIALIZE_ENUM(observation_kind, {{observation_kind::ended, "ended"},
                                                {observation_kind::sound, "sound"},
                                                {observation_kind::held, "held"}})

namespace internal {

struct trait_field {
    trait_kind kind;
    const char *name;
};

constexpr std::array trait_fields{trait_field{trait_kind::prompt_part, "parts"},
                                  trait_field{trait_kind::whole_request, "requests"}};

} // namespace internal

json to_json(const crash_report &report) {
    json items = json::array();
    for (const auto &it : report) {
        json item{{"number", it.number}, {"kind", it.kind}, {"server", it.server}};
        for (const auto &field : internal::trait_fields) {
            // As text: ids use all 64 bits, which not every JSON implementation keeps.
            json ids = json::array();
            for (const auto &trait : it.traits) {
                if (trait.kind == field.kind) {
                    ids.push_back(std::to_string(trait.id));
                }
            }
            item[field.name] = std::move(ids);
        }
        items.push_back(std::move(item));
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
            for (const auto &field : internal::trait_fields) {
                for (const auto &id : it.value(field.name, json::array())) {
                    next.traits.push_back({field.kind, std::stoull(id.get<std::string>())});
                }
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
