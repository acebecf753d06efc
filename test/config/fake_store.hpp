#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "store/object_store.hpp"

namespace dotterelstack::test {

/** @brief In-memory object store with injected faults: lost answers, stale reads and outages. Thread-safe. */
class fake_store final : public store::object_store {
public:
    bool down{false};
    int lose_put_answers{0}; /**< Number of next puts that take effect, but whose answers are lost. */
    int drop_puts{0};        /**< Number of next puts that are lost and take no effect. */
    int delay_puts{0}; /**< Number of next puts whose answers are lost and which take effect only with `deliver`. */
    int stale_gets{0}; /**< Number of next gets that return the value before the last write. */
    int puts{0};

    base::result<std::optional<store::object>> get(std::string_view key) override {
        const std::scoped_lock lock{mutex_};
        if (down) {
            return base::fail(base::error_kind::unavailable, "down", "store is down");
        }
        const auto it = objects_.find(key);
        if (it == objects_.end() || it->second.empty()) {
            return std::optional<store::object>{};
        }
        const auto &versions = it->second;
        if (stale_gets > 0 && versions.size() > 1) {
            --stale_gets;
            return std::optional{versions[versions.size() - 2]};
        }
        return std::optional{versions.back()};
    }

    base::result<std::uint64_t> put(std::string_view key, std::string_view value, std::uint64_t expected) override {
        const std::scoped_lock lock{mutex_};
        ++puts;
        if (down) {
            return base::fail(base::error_kind::unavailable, "down", "store is down");
        }
        if (drop_puts > 0 || delay_puts > 0) {
            if (drop_puts > 0) {
                --drop_puts;
            } else {
                --delay_puts;
                delayed_ = store::object{std::string{key}, expected, std::string{value}};
            }
            return base::fail(base::error_kind::unknown_outcome, "no_answer", "answer lost");
        }
        auto done = write(key, value, expected);
        if (done && lose_put_answers > 0) {
            --lose_put_answers;
            return base::fail(base::error_kind::unknown_outcome, "no_answer", "answer lost");
        }
        return done;
    }

    /** @brief Delivers the delayed put. @return True if it took effect. */
    bool deliver() {
        const std::scoped_lock lock{mutex_};
        const auto late = std::exchange(delayed_, std::nullopt);
        return late && write(late->key, late->value, late->version).has_value();
    }

    base::result<void> erase(std::string_view key, std::uint64_t expected) override {
        const std::scoped_lock lock{mutex_};
        const auto it = objects_.find(key);
        if (it == objects_.end() || it->second.empty() || it->second.back().version != expected) {
            return base::fail(base::error_kind::conflict, "conflict", "other version");
        }
        objects_.erase(it);
        return base::success();
    }

    base::result<std::vector<store::object>> list(std::string_view prefix) override {
        const std::scoped_lock lock{mutex_};
        std::vector<store::object> out;
        for (const auto &[key, versions] : objects_) {
            if (key.starts_with(prefix) && !versions.empty()) {
                out.push_back(versions.back());
            }
        }
        return out;
    }

    base::result<store::watch_batch> watch(std::string_view, std::uint64_t, const store::watch_limits &) override {
        return base::fail(base::error_kind::unavailable, "unused", "not part of the fake");
    }

    /** @return All versions of an object, oldest first. */
    [[nodiscard]] std::vector<store::object> history(std::string_view key) {
        const std::scoped_lock lock{mutex_};
        const auto it = objects_.find(key);
        return it == objects_.end() ? std::vector<store::object>{} : it->second;
    }

private:
    base::result<std::uint64_t> write(std::string_view key, std::string_view value, std::uint64_t expected) {
        auto &versions = objects_[std::string{key}];
        const auto present = versions.empty() ? store::absent : versions.back().version;
        if (present != expected) {
            return base::fail(base::error_kind::conflict, "conflict", "other version");
        }
        versions.push_back({std::string{key}, ++revision_, std::string{value}});
        return revision_;
    }

    std::mutex mutex_;
    std::map<std::string, std::vector<store::object>, std::less<>> objects_;
    std::optional<store::object> delayed_;
    std::uint64_t revision_{0};
};

} // namespace dotterelstack::test
