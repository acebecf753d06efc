#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelstack::standin {

/** @brief One change of the prefix cache. */
struct cache_event {
    std::uint64_t seq{0};
    bool stored{true};
    std::string prefix;
    std::string model;
    std::size_t tokens{0}; /**< Length of the prefix that ends with this block. */
};

/** @brief A cached block: the last one of a prefix. */
struct cache_block {
    std::string model;
    std::size_t tokens{0};
    std::uint64_t last_use{0};
    std::size_t pins{0}; /**< Running requests that use it; a pinned block is not evicted. */
};

/**
 * @brief Prefix cache in whole blocks with a limit, least recently used evicted first.
 *
 * The id of the prefix that ends with block k is the SHA-256 of the id of block k-1 (the model's name for k = 0), a
 * newline, and the words of block k joined by single spaces.
 */
class prefix_cache {
public:
    explicit prefix_cache(std::size_t block_tokens) : block_tokens_{block_tokens} {}

    /** @return Ids of all prefixes of whole blocks, shortest first. */
    [[nodiscard]] std::vector<std::string> prefixes(std::string_view model,
                                                    const std::vector<std::string_view> &words) const;

    /** @return Number of leading blocks that are cached; marks them as used. */
    [[nodiscard]] std::size_t match(const std::vector<std::string> &ids);

    /** @brief Adds the blocks of a prefix. */
    void store(std::string_view model, const std::vector<std::string> &ids);

    /** @brief Protects the first `count` blocks of a prefix, all of them cached, from eviction. */
    void pin(const std::vector<std::string> &ids, std::size_t count);

    /** @brief Ends one `pin`. */
    void unpin(const std::vector<std::string> &ids, std::size_t count);

    /** @brief Adds one imported block. */
    void import_block(const std::string &id, std::string_view model, std::size_t tokens, std::size_t limit);

    /** @brief Evicts blocks that are not pinned until at most `limit` blocks are left. */
    void shrink(std::size_t limit);

    [[nodiscard]] const cache_block *find(const std::string &id) const;
    [[nodiscard]] std::size_t size() const noexcept { return blocks_.size(); }

    /** @return Number of pinned blocks. */
    [[nodiscard]] std::size_t pinned() const noexcept { return pinned_; }

    /** @return Events since the last call. */
    [[nodiscard]] std::vector<cache_event> take_events();

private:
    std::size_t block_tokens_;
    std::map<std::string, cache_block> blocks_;
    std::vector<cache_event> events_;
    std::size_t pinned_{0};
    std::uint64_t uses_{0};
    std::uint64_t seq_{0};
};

} // namespace dotterelstack::standin
