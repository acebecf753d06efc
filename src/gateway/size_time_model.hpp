#pragma once

namespace dotterelstack::gateway {

/** @brief Values of a `size_time_model` before the first measurement. */
struct size_time_prior {
    double fixed_ms{0};
    double units_per_ms{1};
};

/**
 * @brief Learns the time of an operation as a fixed part plus a part proportional to its size.
 *
 * Least squares of relative errors over recent measurements, together with two imaginary ones that follow the prior.
 * These keep the estimate usable while there are few measurements, or only measurements of equal size.
 */
class size_time_model {
public:
    explicit size_time_model(size_time_prior prior) noexcept;

    /** @return Expected time in ms. */
    [[nodiscard]] double expected_ms(double units) const noexcept { return fixed_ms_ + units * ms_per_unit_; }

    /** @brief Adds a measurement. Values far from the expected one are limited. */
    void record(double units, double taken_ms) noexcept;

private:
    /** Weighted sums of sizes x, times y and their products. */
    struct sums {
        double n{0};
        double x{0};
        double y{0};
        double xx{0};
        double xy{0};

        void scale(double factor) noexcept;
        void add(double units, double taken_ms, double weight) noexcept;
    };

    [[nodiscard]] double weight_of(double units) const noexcept;
    void fit() noexcept;

    size_time_prior prior_;
    double fixed_ms_;
    double ms_per_unit_;
    sums sums_;              /**< Over measurements, with exponential decay. */
    double prior_weight_{2}; /**< Of each imaginary measurement; decreases with each real one. */
};

} // namespace dotterelstack::gateway
