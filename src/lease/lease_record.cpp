#include "lease/lease_record.hpp"

#include "store/settled_write.hpp"

namespace dotterelstack::lease {

std::string lease_key(std::string_view name) {
    return "lease/" + std::string{name};
}

base::result<lease_record> parse_lease(const store::object &item) {
    BOOST_OUTCOME_TRY(value, store::parse_value(item));
    try {
        lease_record out;
        out.holder = value.at("holder").get<std::string>();
        out.fence = value.at("fence").get<std::uint64_t>();
        out.renewal = value.at("renewal").get<std::uint64_t>();
        out.term = std::chrono::milliseconds{value.at("term_ms").get<std::int64_t>()};
        out.released = value.at("released").get<bool>();
        out.fence = out.fence == 0 ? item.version : out.fence;
        return out;
    } catch (const nlohmann::json::exception &ec) {
        return base::fail(base::error_kind::internal, "bad_lease",
                          item.key + " is no lease (" + ec.what() + "); repair or remove it");
    }
}

nlohmann::json to_json(const lease_record &record) {
    return {{"holder", record.holder},
            {"fence", record.fence},
            {"renewal", record.renewal},
            {"term_ms", std::chrono::duration_cast<std::chrono::milliseconds>(record.term).count()},
            {"released", record.released}};
}

} // namespace dotterelstack::lease
