#pragma once

#include <string>

#include "http/client.hpp"
#include "store/http_calls.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::store {

/**
 * @brief `object_store` over the platform's HTTP protocol (docs/design.md, section 5).
 *
 * Status 5xx on a write counts as `unknown_outcome`, because a gateway may answer it after it has forwarded the
 * write; on a read it counts as `unavailable`. Status 429 is `unavailable`: the store refused before acting.
 */
class http_store final : public object_store {
public:
    /**
     * @param client Transport; outlives the store.
     * @param address Host and port of the store.
     * @param options Deadlines; values that are not positive are replaced by the defaults.
     */
    http_store(http::client &client, std::string address, http_store_options options = {});

    [[nodiscard]] base::result<std::optional<object>> get(std::string_view key) override;
    [[nodiscard]] base::result<std::uint64_t> put(std::string_view key, std::string_view value,
                                                  std::uint64_t expected) override;
    [[nodiscard]] base::result<void> erase(std::string_view key, std::uint64_t expected) override;
    [[nodiscard]] base::result<std::vector<object>> list(std::string_view prefix) override;
    [[nodiscard]] base::result<watch_batch> watch(std::string_view prefix, std::uint64_t since,
                                                  const watch_limits &limits) override;

private:
    [[nodiscard]] base::result<http::response> read(const std::string &target, const watch_limits &limits = {});
    [[nodiscard]] base::result<http::response> write(const http::request &message);

    http::client &client_;
    std::string address_;
    http_store_options options_;
};

} // namespace dotterelstack::store
