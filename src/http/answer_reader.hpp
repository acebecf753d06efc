#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/connection_end.hpp"
#include "http/message.hpp"

namespace dotterelstack::http {

/** @brief What `answer_reader::next` has found. */
enum class read_step : std::uint8_t {
    more,      /**< All input is consumed, and the answer goes on. */
    head,      /**< Status and fields of the final answer are complete. */
    part,      /**< A part of the body; see `answer_reader::part`. */
    done,      /**< The answer is complete; what is left of the input does not belong to it. */
    malformed, /**< The input is no answer in HTTP/1.1. */
    too_long   /**< Heads and trailers, or a chunk line, exceed their limit. */
};

/**
 * @brief Reads one HTTP/1.1 answer from a sequence of inputs, and alone decides whether it is whole. Does no I/O;
 * single-threaded.
 */
class answer_reader {
public:
    /**
     * @param method Method of the request.
     * @param head_limit Bytes of all heads and trailers that are accepted; each chunk line has a limit of its own.
     */
    answer_reader(std::string_view method, std::size_t head_limit) noexcept
        : without_body_{method == "HEAD"}, head_left_{head_limit} {}

    /** @brief Consumes input up to the next step; what is consumed is removed from its front. */
    [[nodiscard]] read_step next(std::string_view &in);

    /** @return True if the answer is whole when its connection has ended like this after the input so far. */
    [[nodiscard]] bool is_whole_at(connection_end how) const noexcept {
        return state_ == state::done || (state_ == state::until_end && how == connection_end::orderly);
    }

    /** @return Part of the body that was found last, inside of the input. */
    [[nodiscard]] std::string_view part() const noexcept { return part_; }

    [[nodiscard]] int status() const noexcept { return status_; }
    [[nodiscard]] const field_list &fields() const noexcept { return fields_; }

    /** @return True if the end of the answer is marked by a length or chunks. */
    [[nodiscard]] bool framed() const noexcept { return framed_; }

    /** @return True if the sender keeps the connection open after the answer. */
    [[nodiscard]] bool persistent() const noexcept { return persistent_; }

private:
    enum class state : std::uint8_t {
        status_line,
        field_lines,
        length,
        chunk_line,
        chunk,
        chunk_end,
        trailers,
        until_end,
        done
    };

    [[nodiscard]] read_step read_head(std::string_view &in);
    [[nodiscard]] read_step read_part(std::string_view &in, state after);
    [[nodiscard]] read_step read_chunk_line(std::string_view &in);
    [[nodiscard]] read_step read_trailers(std::string_view &in);
    [[nodiscard]] bool take_line(std::string_view &in, std::size_t &left);
    [[nodiscard]] bool read_status(std::string_view line);
    [[nodiscard]] bool read_field(std::string_view line);
    [[nodiscard]] bool choose_framing();
    [[nodiscard]] bool has_token(std::string_view name, std::string_view token) const;

    // A longer one is no size; extensions are not used.
    static constexpr std::size_t chunk_line_limit = 4096;

    const bool without_body_;
    std::size_t head_left_;
    std::size_t chunk_line_left_{chunk_line_limit};
    state state_{state::status_line};
    bool too_long_{false};
    bool line_taken_{false}; /**< The line in `line_` has been returned, and the next one replaces it. */
    std::string line_;
    int status_{0};
    bool old_version_{false};
    field_list fields_;
    bool framed_{false};
    bool persistent_{false};
    std::uint64_t left_{0}; /**< Bytes of the body or chunk that are still to come. */
    std::string_view part_;
};

} // namespace dotterelstack::http
