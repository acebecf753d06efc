#pragma once

namespace dotterelstack::http {

struct request;
struct response;
class client;
class curl_client;
class exchange;
class server;
class connection_ages;
struct caller_limits;

} // namespace dotterelstack::http
