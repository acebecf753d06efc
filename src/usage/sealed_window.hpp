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
    std::uint64_t correction_of{
        0}; /**< Window in which late records were counted; 0 for records of the sealed window. */
    std::uint64_t requests{0};
    std::uint64_t prompt_tokens{0};
    std::uint64_t generated_tokens{0};
};

/** @brief Sequence numbers of one owner whose records have been included in a sealed window. */
struct owner_coverage {
    sequence_set sequences;
    std::uint64_t last_window{0}; /**< Last sealed window that includes records of the owner. */
};

using coverage = std::map<std::string, owner_coverage, std::less<>>;

/** @brief Content of the store object `usage/sealed/{window}`; immutable. */
struct sealed_window {
    std::uint64_t window{0};
    std::vector<usage_figure> figures;
    coverage covered;         /**< Records included in this or an earlier window. */
    std::uint64_t too_old{0}; /**< Records rejected because `covered` no longer reaches back to their window. */
};

/** @brief Content of the store object `usage/open`. */
struct open_window {
    std::uint64_t window{1};   /**< Window to which entries assign requests that end now. */
    std::uint64_t sealed{0};   /**< A window known to be sealed; later windows may be sealed too. */
    std::uint64_t reported{0}; /**< A window known to be reported; later windows may be reported too. */
};

/** @brief Store key of `open_window`. */
inline constexpr const char *open_window_key = "usage/open";

/** @return Store key of a sealed window. */
[[nodiscard]] std::string sealed_key(std::uint64_t window);

/** @return Store key of the object that marks a window as reported. */
[[nodiscard]] std::string reported_key(std::uint64_t window);

[[nodiscard]] nlohmann::json to_json(const open_window &value);
[[nodiscard]] nlohmann::json to_json(const sealed_window &value);

/** @return Figures in the form in which they are stored and reported. */
[[nodiscard]] nlohmann::json to_json(const std::vector<usage_figure> &figures);

[[nodiscard]] base::result<open_window> parse_open(const store::object &item);
[[nodiscard]] base::result<sealed_window> parse_sealed(const store::object &item);

/**
 * @brief Aggregates the records of a window that earlier windows do not include.
 * @param window Window to seal.
 * @param covered Coverage of the previous window.
 * @param batches All batches in the store; batches of later windows are skipped.
 * @param keep_windows Number of windows for which an owner stays in the coverage; also the maximum age of a record.
 */
[[nodiscard]] sealed_window aggregate_window(std::uint64_t window, const coverage &covered,
                                             const std::vector<usage_batch> &batches, std::uint64_t keep_windows);

/** @return True if every record of the batch is included in a sealed window or is too old to be included. */
[[nodiscard]] bool is_covered(const usage_batch &batch, const sealed_window &sealed, std::uint64_t keep_windows);

} // namespace dotterelstack::usage
