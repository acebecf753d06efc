#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace dotterelstack::metrics {

/** @brief Durations kept as histograms for each organisation and service. */
enum class timing {
    first_token,    /**< From receipt of the request to the first token sent. */
    between_tokens, /**< Between two tokens sent. */
    queue_wait,     /**< From receipt to hand-over. */
    whole_request   /**< From receipt to the end of the response. */
};

/** @brief Histograms and counters of one process. Thread-safe. */
class registry {
public:
    registry();
    registry(const registry &) = delete;
    registry &operator=(const registry &) = delete;
    registry(registry &&) = delete;
    registry &operator=(registry &&) = delete;
    ~registry();

    /** @brief Adds a duration to a histogram. */
    void observe(timing what, std::string_view organisation, std::string_view service, base::duration value);

    /**
     * @brief Adds to a counter.
     * @param name Metric name without prefix, for example `refusals_total`.
     * @param label Label and value, for example `reason="rate"`; may be empty.
     */
    void count(std::string_view name, std::string_view label, std::uint64_t n = 1);

    /** @brief Sets a gauge. */
    void set(std::string_view name, std::string_view label, double value);

    /** @brief Removes a gauge, if it is there. */
    void remove(std::string_view name, std::string_view label);

    /** @return All metrics in the Prometheus text exposition format, version 0.0.4. */
    [[nodiscard]] std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dotterelstack::metrics
