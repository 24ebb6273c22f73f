/// \file
/// All of the adapter. It is included before Criterion, whose macros break the
/// headers of Boost.

#ifndef ACACIAROAD_TESTS_ADAPTER_HEADERS_H
#define ACACIAROAD_TESTS_ADAPTER_HEADERS_H

#include "platform/ConfigurationDecoder.h"
#include "platform/HeaderCodec.h"
#include "platform/HeartbeatCodec.h"
#include "platform/NewestPage.h"
#include "platform/RecordFraming.h"

#endif
