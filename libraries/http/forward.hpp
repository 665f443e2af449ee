/// @file
/// Forward declarations of the http package.
#pragma once

namespace daleshelf
{

class event_stream_parser;
class http_client;
class http_exchange;
class http_server;
struct http_client_request;
struct http_header;
struct http_request;
struct http_response;
struct http_transfer_handlers;
struct http_transfer_result;
struct server_sent_event;

} // namespace daleshelf
