#pragma once

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "store/memory_store.hpp"

namespace dotterelstack::test {

/**
 * @brief A store that can return from a copy, as its clients see it through the platform's adapter: versions and fences
 * consist of the history and the revision, and writes conditional on an earlier history fail.
 */
class returning_store final : public store::object_store {
public:
    store::memory_store inner;

    void take_copy() { inner.take_copy(); }
    void restore_copy() { inner.restore_copy(); }

    base::result<std::optional<store::object>> get(std::string_view key) override {
        BOOST_OUTCOME_TRY(found, inner.get(key));
        if (found) {
            found->version = outer(found->version);
        }
        return found;
    }
    base::result<std::uint64_t> put(std::string_view key, std::string_view value, std::uint64_t expected) override {
        if (outdated(expected)) {
            return base::fail(base::error_kind::conflict, "version_changed", "of an earlier history");
        }
        BOOST_OUTCOME_TRY(version, inner.put(key, value, expected & revisions));
        return outer(version);
    }
    base::result<void> erase(std::string_view key, std::uint64_t expected) override {
        if (outdated(expected)) {
            return base::fail(base::error_kind::conflict, "version_changed", "of an earlier history");
        }
        return inner.erase(key, expected & revisions);
    }
    base::result<std::vector<store::object>> list(std::string_view prefix) override {
        BOOST_OUTCOME_TRY(all, inner.list(prefix));
        for (auto &it : all) {
            it.version = outer(it.version);
        }
        return std::move(all);
    }
    base::result<store::watch_batch> watch(std::string_view prefix, std::uint64_t since,
                                           const store::watch_limits &limits) override {
        if (outdated(since)) {
            return base::fail(base::error_kind::not_found, "history_lost", "of an earlier history");
        }
        BOOST_OUTCOME_TRY(batch, inner.watch(prefix, since & revisions, limits));
        batch.revision = outer(batch.revision);
        for (auto &it : batch.events) {
            it.item.version = outer(it.item.version);
        }
        return std::move(batch);
    }
    std::uint64_t history() const noexcept override { return inner.era(); }

private:
    static constexpr unsigned int revision_bits = 40;
    static constexpr std::uint64_t revisions = (std::uint64_t{1} << revision_bits) - 1;

    [[nodiscard]] std::uint64_t outer(std::uint64_t revision) const {
        return (inner.era() << revision_bits) | revision;
    }
    [[nodiscard]] bool outdated(std::uint64_t version) const {
        return version != store::absent && version >> revision_bits != inner.era();
    }
};

} // namespace dotterelstack::test
