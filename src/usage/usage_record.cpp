#include "usage/usage_record.hpp"

#include <algorithm>
#include <map>

#include "store/settled_write.hpp"
#include "usage/sequence_set.hpp"

namespace dotterelstack::usage {

std::string batch_key(const usage_batch &batch) {
    return std::string{batch_prefix} + std::to_string(batch.window) + "/" + batch.owner + "/" +
           std::to_string(batch.records.front().sequence);
}

nlohmann::json to_json(const usage_batch &batch) {
    // Grouped by organisation and service, so that a record takes only about 20 bytes.
    std::map<std::pair<std::string_view, std::string_view>, nlohmann::json> groups;
    for (const auto &it : batch.records) {
        groups[{it.organisation, it.service}].push_back({it.sequence, it.prompt_tokens, it.generated_tokens});
    }
    auto out = nlohmann::json::array();
    for (auto &[names, records] : groups) {
        out.push_back({{"organisation", names.first}, {"service", names.second}, {"records", std::move(records)}});
    }
    return {{"owner", batch.owner}, {"window", batch.window}, {"groups", std::move(out)}};
}

base::result<usage_batch> parse_batch(const store::object &item) {
    BOOST_OUTCOME_TRY(value, store::parse_value(item));
    try {
        usage_batch out{value.at("owner").get<std::string>(), value.at("window").get<std::uint64_t>(), {}};
        for (const auto &group : value.at("groups")) {
            for (const auto &it : group.at("records")) {
                out.records.push_back({"", group.at("organisation").get<std::string>(),
                                       group.at("service").get<std::string>(), it.at(1).get<std::uint64_t>(),
                                       it.at(2).get<std::uint64_t>(), out.owner, it.at(0).get<std::uint64_t>(),
                                       out.window});
            }
        }
        std::ranges::sort(out.records, {}, &usage_record::sequence);
        return out;
    } catch (const nlohmann::json::exception &ec) {
        return base::fail(base::error_kind::internal, "bad_usage_batch",
                          item.key + " is not a valid usage batch (" + ec.what() +
                              "); its records are not billed until it is repaired");
    }
}

nlohmann::json hold_body(const std::vector<usage_record> &records) {
    auto out = nlohmann::json::array();
    for (const auto &it : records) {
        out.push_back({{"request", it.request},
                       {"organisation", it.organisation},
                       {"service", it.service},
                       {"prompt_tokens", it.prompt_tokens},
                       {"generated_tokens", it.generated_tokens},
                       {"owner", it.owner},
                       {"sequence", it.sequence},
                       {"window", it.window}});
    }
    return {{"records", std::move(out)}};
}

base::result<std::vector<usage_record>> parse_hold_body(std::string_view body) {
    try {
        std::vector<usage_record> out;
        const auto value = nlohmann::json::parse(body);
        for (const auto &it : value.at("records")) {
            out.push_back({it.at("request").get<std::string>(), it.at("organisation").get<std::string>(),
                           it.at("service").get<std::string>(), it.at("prompt_tokens").get<std::uint64_t>(),
                           it.at("generated_tokens").get<std::uint64_t>(), it.at("owner").get<std::string>(),
                           it.at("sequence").get<std::uint64_t>(), it.at("window").get<std::uint64_t>()});
        }
        return out;
    } catch (const nlohmann::json::exception &ec) {
        return base::fail(base::error_kind::invalid_argument, "bad_hold",
                          std::string{"the usage records cannot be read: "} + ec.what());
    }
}

base::result<void> store_batch(store::object_store &store, base::id_source &ids, usage_batch batch) {
    while (!batch.records.empty()) {
        const auto key = batch_key(batch);
        const auto written = store::settled_write(store, ids, key, to_json(batch), store::absent);
        if (written) {
            return base::success();
        }
        if (written.error().kind != base::error_kind::conflict) {
            return boost::outcome_v2::failure(written.error());
        }
        BOOST_OUTCOME_TRY(found, store.get(key));
        if (!found) {
            return base::fail(base::error_kind::unavailable, "batch_changing",
                              key + " was erased before it could be read; store the batch again");
        }
        BOOST_OUTCOME_TRY(present, parse_batch(*found));
        sequence_set stored;
        for (const auto &it : present.records) {
            stored.insert(it.sequence);
        }
        const auto before = batch.records.size();
        std::erase_if(batch.records, [&](const usage_record &it) { return stored.contains(it.sequence); });
        if (batch.records.size() == before) {
            return base::fail(base::error_kind::internal, "batch_mismatch",
                              key + " does not contain the record with the sequence number in its key; repair it");
        }
    }
    return base::success();
}

} // namespace dotterelstack::usage
