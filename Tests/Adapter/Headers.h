/// \file
/// The headers of the adapter. To be included before Criterion, whose macros
/// break Boost's headers.

#ifndef ACACIAROAD_TESTS_ADAPTER_HEADERS_H
#define ACACIAROAD_TESTS_ADAPTER_HEADERS_H

#include "platform/ConfigurationDecoder.h"
#include "platform/HeaderCodec.h"
#include "platform/HeartbeatCodec.h"
#include "platform/NewestPage.h"
#include "platform/RecordFraming.h"
#include "platform/RolloutCodec.h"

#endif
