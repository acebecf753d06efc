#include "store/settled_write.hpp"

namespace dotterelstack::store {

namespace internal {

// Two repetitions cover a lost answer followed by a lost request; longer trouble is left to the caller's backoff.
constexpr int write_attempts = 3;

enum class readback {
    ours,
    expected_version,
    other_version
};

readback classify(const std::optional<object> &found, const std::string &write_id, std::uint64_t expected) {
    if (found) {
        const auto value = nlohmann::json::parse(found->value, nullptr, false);
        const auto id = value.find(write_id_member);
        if (id != value.end() && *id == write_id) {
            return readback::ours;
        }
    }
    const std::uint64_t version = found ? found->version : absent;
    // Revisions only grow, so a version below the expected one is a stale read and decides nothing.
    return version <= expected ? readback::expected_version : readback::other_version;
}

} // namespace internal

base::result<std::uint64_t> settled_write(object_store &store, base::id_source &ids, std::string_view key,
                                          nlohmann::json value, std::uint64_t expected) {
    const std::string write_id = ids.next();
    value[write_id_member] = write_id;
    const std::string text = value.dump();
    bool maybe_written = false;
    for (int it = 0; it < internal::write_attempts; ++it) {
        auto written = store.put(key, text, expected);
        if (written) {
            return written;
        }
        const auto kind = written.error().kind;
        if (kind != base::error_kind::unknown_outcome && kind != base::error_kind::conflict) {
            if (maybe_written) {
                break;
            }
            return written;
        }
        // A conflict alone does not show that another writer came first: the transport may have sent a copy.
        maybe_written = true;
        const auto found = store.get(key);
        const auto outcome =
            found ? internal::classify(found.value(), write_id, expected) : internal::readback::expected_version;
        if (outcome == internal::readback::ours) {
            return found.value()->version;
        }
        if (outcome == internal::readback::other_version) {
            return base::fail(base::error_kind::conflict, "version_changed",
                              std::string{key} + " was changed by another writer; read it again, then decide");
        }
    }
    return base::fail(base::error_kind::unknown_outcome, "write_unresolved",
                      std::string{key} + " may have been written; read it before deciding");
}

base::result<nlohmann::json> parse_value(const object &item) {
    auto value = nlohmann::json::parse(item.value, nullptr, false);
    if (!value.is_object()) {
        return base::fail(base::error_kind::internal, "bad_stored_value",
                          item.key + " holds no JSON object; repair or remove it");
    }
    return value;
}

} // namespace dotterelstack::store
