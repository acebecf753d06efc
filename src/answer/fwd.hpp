#pragma once

namespace dotterelstack::answer {

struct chunk;
struct chunk_end;
class assembly;
class sse_parser;

} // namespace dotterelstack::answer
