#pragma once

namespace dotterelstack::http {

struct request;
struct response;
class client;
class curl_client;
class exchange;
class server;
class async_client;
class pooled_client;
class answer_reader;
class connection_pool;
struct pooled_server;
class connection_ages;
struct caller_limits;

} // namespace dotterelstack::http
