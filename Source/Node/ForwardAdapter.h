/// \file
/// Joins forwarded calls and callers' exchanges to the services of the node.

#ifndef ACACIAROAD_NODE_FORWARDADAPTER_H
#define ACACIAROAD_NODE_FORWARDADAPTER_H

#include <memory>

#include "Http/Exchange.h"
#include "Node/Caller.h"
#include "Node/EntryService.h"
#include "Node/OrderService.h"
#include "Wire/ForwardCall.h"

namespace acaciaroad::node {

/// Serves a call of an entry node.
void serveCall(OrderService &service,
               const std::shared_ptr<wire::ForwardCall> &call);

/// Serves a caller's request.
void serveExchange(EntryService &service,
                   const std::shared_ptr<http::Exchange> &exchange);

} // namespace acaciaroad::node

#endif
