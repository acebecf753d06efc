#include "base/id.hpp"

#include <array>
#include <cstdio>
#include <openssl/evp.h>

namespace dotterelstack::base {

namespace internal {

std::mt19937_64 system_engine() {
    std::random_device device;
    std::seed_seq seeds{device(), device(), device(), device(), device(), device(), device(), device()};
    return std::mt19937_64{seeds};
}

std::string to_hex(const unsigned char *data, std::size_t n) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    out.reserve(n * 2);
    for (std::size_t it = 0; it < n; ++it) {
        out.push_back(digits[data[it] >> 4U]);
        out.push_back(digits[data[it] & 15U]);
    }
    return out;
}

} // namespace internal

id_source::id_source() : engine_{internal::system_engine()} {}

id_source::id_source(std::uint64_t seed) : engine_{seed} {}

std::string id_source::next() {
    const std::scoped_lock lock{mutex_};
    std::array<char, 33> buf{};
    const auto high = static_cast<unsigned long long>(engine_());
    const auto low = static_cast<unsigned long long>(engine_());
    (void)std::snprintf(buf.data(), buf.size(), "%016llx%016llx", high, low);
    return std::string{buf.data(), 32};
}

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int n = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &n, EVP_sha256(), nullptr);
    return internal::to_hex(digest.data(), n);
}

} // namespace dotterelstack::base
