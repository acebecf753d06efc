#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelstack::standin {

/** @brief An object, or the mark that it was deleted. */
struct stored_object {
    std::uint64_t version{0}; /**< Store-wide revision of the last write; zero when there never was one. */
    std::string value;
    bool deleted{true};
};

/** @brief A key with its object. */
struct keyed_object {
    std::string key;
    stored_object object;
};

/** @brief Condition of a write: the expected version, or zero when the object must not exist. */
using expected_version = std::uint64_t;

/** @brief Versioned objects with conditional writes. Keeps one previous version of each and marks of deleted ones. */
class object_table {
public:
    /** @return The object, deleted and with version zero when there never was one. */
    [[nodiscard]] const stored_object &get(const std::string &key) const;

    /** @return The object as it was before its last write. */
    [[nodiscard]] const stored_object &previous(const std::string &key) const;

    /**
     * @brief Writes or deletes an object.
     * @param value New value; nothing deletes.
     * @return The new version, or nothing when the condition does not hold.
     */
    [[nodiscard]] std::optional<std::uint64_t> write(const std::string &key, expected_version expected,
                                                     const std::optional<std::string> &value);

    /** @return Live objects whose keys begin with `prefix`, by key. */
    [[nodiscard]] std::vector<keyed_object> list(std::string_view prefix) const;

    /** @return The last state of each object below `prefix` written after revision `since`, deleted ones too, oldest
     * first. Intermediate writes are merged into the last one. */
    [[nodiscard]] std::vector<keyed_object> changes(std::string_view prefix, std::uint64_t since) const;

    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

private:
    struct history {
        stored_object last;
        stored_object before;
    };

    std::map<std::string, history, std::less<>> objects_;
    std::map<std::uint64_t, std::string> order_; /**< Key of each object by its version. */
    std::uint64_t revision_{0};
};

} // namespace dotterelstack::standin
