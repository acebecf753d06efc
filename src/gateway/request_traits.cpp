#include "gateway/request_traits.hpp"

#include <algorithm>
#include <iterator>
#include <string>

#include "base/id.hpp"

namespace dotterelstack::gateway {

namespace internal {

constexpr std::size_t hex_digits_of_id = 16;
constexpr int hex = 16;

} // namespace internal

std::uint64_t digest_of(const exchange_request &request, std::string_view organisation) {
    // None of the texts before the body's digest contains a zero byte, so no two requests are written alike.
    std::string text;
    for (const std::string_view it :
         {organisation, std::string_view{request.facts.host}, std::string_view{request.message.method},
          std::string_view{request.message.target}}) {
        text.append(it);
        text.push_back('\0');
    }
    text += base::sha256_hex(request.message.body);
    return std::stoull(base::sha256_hex(text).substr(0, internal::hex_digits_of_id), nullptr, internal::hex);
}

request_traits traits_of(const exchange_request &request, std::string_view organisation) {
    const auto &prompt = request.facts.prompt;
    request_traits out;
    out.reserve(prompt.size() + 1);
    // The last part belongs to one request or session.
    std::transform(prompt.begin(), prompt.empty() ? prompt.end() : std::prev(prompt.end()), std::back_inserter(out),
                   [](const prompt_part &it) {
                       return request_trait{trait_kind::prompt_part, it.id};
                   });
    out.push_back({trait_kind::whole_request, digest_of(request, organisation)});
    return out;
}

} // namespace dotterelstack::gateway
