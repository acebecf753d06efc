#include "usage/sealed_window.hpp"

#include <algorithm>
#include <tuple>

#include "store/settled_write.hpp"

namespace dotterelstack::usage {

namespace internal {

bool is_too_old(std::uint64_t record_window, std::uint64_t window, std::uint64_t keep_windows) noexcept {
    return record_window + keep_windows < window;
}

base::error bad_object(const store::object &item, const char *what) {
    return {base::error_kind::internal, "bad_usage_object", item.key + " cannot be read (" + what + "); repair it"};
}

using figure_key = std::tuple<std::uint64_t, std::string, std::string>;

void add(std::map<figure_key, usage_figure> &sums, const usage_record &it, std::uint64_t window) {
    const std::uint64_t correction_of = it.window == window ? 0 : it.window;
    auto &sum = sums[{correction_of, it.organisation, it.service}];
    sum.organisation = it.organisation;
    sum.service = it.service;
    sum.correction_of = correction_of;
    ++sum.requests;
    sum.prompt_tokens += it.prompt_tokens;
    sum.generated_tokens += it.generated_tokens;
}

} // namespace internal

std::string sealed_key(std::uint64_t window) {
    return "usage/sealed/" + std::to_string(window);
}

std::string reported_key(std::uint64_t window) {
    return "usage/reported/" + std::to_string(window);
}

nlohmann::json to_json(const open_window &value) {
    return {{"window", value.window}, {"sealed", value.sealed}, {"reported", value.reported}};
}

nlohmann::json to_json(const std::vector<usage_figure> &figures) {
    auto out = nlohmann::json::array();
    for (const auto &it : figures) {
        nlohmann::json item{{"organisation", it.organisation},
                            {"service", it.service},
                            {"requests", it.requests},
                            {"prompt_tokens", it.prompt_tokens},
                            {"generated_tokens", it.generated_tokens}};
        if (it.correction_of != 0) {
            item["correction_of"] = it.correction_of;
        }
        out.push_back(std::move(item));
    }
    return out;
}

nlohmann::json to_json(const sealed_window &value) {
    auto covered = nlohmann::json::object();
    for (const auto &[owner, it] : value.covered) {
        covered[owner] = {{"ranges", it.sequences.to_json()}, {"last_window", it.last_window}};
    }
    return {{"window", value.window},
            {"figures", to_json(value.figures)},
            {"covered", std::move(covered)},
            {"too_old", value.too_old}};
}

base::result<open_window> parse_open(const store::object &item) {
    BOOST_OUTCOME_TRY(value, store::parse_value(item));
    try {
        return open_window{value.at("window").get<std::uint64_t>(), value.at("sealed").get<std::uint64_t>(),
                           value.at("reported").get<std::uint64_t>()};
    } catch (const nlohmann::json::exception &ec) {
        return boost::outcome_v2::failure(internal::bad_object(item, ec.what()));
    }
}

base::result<sealed_window> parse_sealed(const store::object &item) {
    BOOST_OUTCOME_TRY(value, store::parse_value(item));
    try {
        sealed_window out;
        out.window = value.at("window").get<std::uint64_t>();
        out.too_old = value.at("too_old").get<std::uint64_t>();
        for (const auto &it : value.at("figures")) {
            out.figures.push_back({it.at("organisation").get<std::string>(), it.at("service").get<std::string>(),
                                   it.value("correction_of", std::uint64_t{0}), it.at("requests").get<std::uint64_t>(),
                                   it.at("prompt_tokens").get<std::uint64_t>(),
                                   it.at("generated_tokens").get<std::uint64_t>()});
        }
        for (const auto &[owner, it] : value.at("covered").items()) {
            out.covered[owner] = {sequence_set::from_json(it.at("ranges")), it.at("last_window").get<std::uint64_t>()};
        }
        return out;
    } catch (const nlohmann::json::exception &ec) {
        return boost::outcome_v2::failure(internal::bad_object(item, ec.what()));
    }
}

sealed_window aggregate_window(std::uint64_t window, const coverage &covered, const std::vector<usage_batch> &batches,
                               std::uint64_t keep_windows) {
    sealed_window out;
    out.window = window;
    out.covered = covered;
    std::map<internal::figure_key, usage_figure> sums;
    for (const auto &batch : batches) {
        if (batch.window > window) {
            continue;
        }
        if (internal::is_too_old(batch.window, window, keep_windows)) {
            // The owner may have been removed from the coverage, so it is unknown whether the records were billed.
            out.too_old += batch.records.size();
            continue;
        }
        auto &owner = out.covered[batch.owner];
        for (const auto &it : batch.records) {
            if (owner.sequences.insert(it.sequence)) {
                owner.last_window = window;
                internal::add(sums, it, window);
            }
        }
    }
    std::erase_if(out.covered, [&](const auto &it) {
        return internal::is_too_old(it.second.last_window, window + 1, keep_windows);
    });
    for (auto &[key, it] : sums) {
        out.figures.push_back(std::move(it));
    }
    return out;
}

bool is_covered(const usage_batch &batch, const sealed_window &sealed, std::uint64_t keep_windows) {
    if (internal::is_too_old(batch.window, sealed.window, keep_windows)) {
        return true;
    }
    const auto owner = sealed.covered.find(batch.owner);
    return owner != sealed.covered.end() && std::ranges::all_of(batch.records, [&](const usage_record &it) {
               return owner->second.sequences.contains(it.sequence);
           });
}

} // namespace dotterelstack::usage
