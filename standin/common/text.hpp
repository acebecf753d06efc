#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelstack::standin {

namespace internal {

/** FNV-1a, 64 bits. */
[[nodiscard]] constexpr std::uint64_t hash_text(std::string_view text) noexcept {
    std::uint64_t out = 14695981039346656037ULL;
    for (const char it : text) {
        out = (out ^ static_cast<unsigned char>(it)) * 1099511628211ULL;
    }
    return out;
}

/** Finaliser of SplitMix64. */
[[nodiscard]] constexpr std::uint64_t mix(std::uint64_t value) noexcept {
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace internal

/**
 * @brief Text of one generated token, the same on every engine.
 * @param prompt Prompt as returned by `prompt_of`.
 * @param index Number of the token, from 0.
 * @return A word of four lower-case syllables and a space.
 */
[[nodiscard]] inline std::string token_text(std::string_view prompt, std::size_t index) {
    constexpr std::string_view consonants = "bdfgklmnprstvz";
    constexpr std::string_view vowels = "aeiou";
    auto value = internal::mix(internal::hash_text(prompt) + 0x9e3779b97f4a7c15ULL * (index + 1));
    std::string out;
    for (int n = 0; n < 4; ++n) {
        out.push_back(consonants[value % consonants.size()]);
        value /= consonants.size();
        out.push_back(vowels[value % vowels.size()]);
        value /= vowels.size();
    }
    return out + ' ';
}

/** @return Tokens `first` to `last` (excluded) of the response to a prompt. */
[[nodiscard]] inline std::string generated_text(std::string_view prompt, std::size_t first, std::size_t last) {
    std::string out;
    for (auto it = first; it < last; ++it) {
        out += token_text(prompt, it);
    }
    return out;
}

/**
 * @brief Prompt of an OpenAI request body: `prompt`, or one line `role: content` for each of `messages`.
 * @param body Parsed request body.
 */
[[nodiscard]] inline std::string prompt_of(const nlohmann::json &body) {
    if (!body.contains("messages")) {
        return body.value("prompt", std::string{});
    }
    std::string out;
    for (const auto &it : body.at("messages")) {
        out += it.value("role", std::string{}) + ": " + it.value("content", std::string{}) + "\n";
    }
    return out;
}

/** @return The words of a prompt, split at white space; one empty word for a prompt without words. */
[[nodiscard]] inline std::vector<std::string_view> words_of(std::string_view prompt) {
    constexpr std::string_view space = " \t\r\n\v\f";
    std::vector<std::string_view> out;
    for (auto begin = prompt.find_first_not_of(space); begin != std::string_view::npos;) {
        const auto end = std::min(prompt.find_first_of(space, begin), prompt.size());
        out.push_back(prompt.substr(begin, end - begin));
        begin = prompt.find_first_not_of(space, end);
    }
    if (out.empty()) {
        out.emplace_back();
    }
    return out;
}

} // namespace dotterelstack::standin
