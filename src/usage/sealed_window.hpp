#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/error.hpp"
#include "store/object_store.hpp"
#include "usage/sequence_set.hpp"
#include "usage/usage_record.hpp"

namespace dotterelstack::usage {

/** @brief Sum over the records of one organisation and service. */
struct usage_figure {
    std::string organisation;
    std::string service;
    std::uint64_t correction_of{0}; /**< Window of late records; 0 for records of the sealed window itself. */
    std::uint64_t requests{0};
    std::uint64_t prompt_tokens{0};
    std::uint64_t generated_tokens{0};
};

/** @brief Records of one owner that are in some sealed window. */
struct owner_coverage {
    sequence_set sequences;
    std::uint64_t last_window{0}; /**< Last sealed window that took in records of the owner. */
};

using coverage = std::map<std::string, owner_coverage, std::less<>>;

/** @brief Content of the store object `usage/sealed/{window}`; immutable. */
struct sealed_window {
    std::uint64_t window{0};
    std::vector<usage_figure> figures;
    coverage covered;         /**< Over this and all earlier windows. */
    std::uint64_t too_old{0}; /**< Records refused because their window is no longer covered by `covered`. */
};

/** @brief Content of the store object `usage/open`. */
struct open_window {
    std::uint64_t window{1};   /**< Window to which entries count requests that end now. */
    std::uint64_t sealed{0};   /**< A window known to be sealed; later ones may be. */
    std::uint64_t reported{0}; /**< A window known to be reported; later ones may be. */
};

/** @brief Store key of `open_window`. */
inline constexpr const char *open_window_key = "usage/open";

/** @return Store key of a sealed window. */
[[nodiscard]] std::string sealed_key(std::uint64_t window);

/** @return Store key of the mark of a reported window. */
[[nodiscard]] std::string reported_key(std::uint64_t window);

[[nodiscard]] nlohmann::json to_json(const open_window &value);
[[nodiscard]] nlohmann::json to_json(const sealed_window &value);

/** @return Figures as stored and reported. */
[[nodiscard]] nlohmann::json to_json(const std::vector<usage_figure> &figures);

[[nodiscard]] base::result<open_window> parse_open(const store::object &item);
[[nodiscard]] base::result<sealed_window> parse_sealed(const store::object &item);

/**
 * @brief Sums a window.
 * @param window Window to seal.
 * @param covered Coverage of the window before.
 * @param batches All batches in the store, of whichever window; those of later windows are left out.
 * @param keep_windows How long an owner stays in the coverage, and the greatest age of a late record.
 */
[[nodiscard]] sealed_window aggregate_window(std::uint64_t window, const coverage &covered,
                                             const std::vector<usage_batch> &batches, std::uint64_t keep_windows);

/** @return True when every record of the batch is in a sealed window, or too old for one. */
[[nodiscard]] bool is_covered(const usage_batch &batch, const sealed_window &sealed, std::uint64_t keep_windows);

} // namespace dotterelstack::usage
