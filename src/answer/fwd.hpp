#pragma once

namespace dotterelstack::answer {

struct chunk;
struct chunk_end;
class response_assembler;
class sse_parser;

} // namespace dotterelstack::answer
