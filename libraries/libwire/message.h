#pragma once

#include "libwire/attempt_messages.h"
#include "libwire/contact_messages.h"
#include "libwire/health_messages.h"
#include "libwire/loan_messages.h"
#include "libwire/membership_messages.h"
#include "libwire/recovery_messages.h"
#include "libwire/token_messages.h"

#include <variant>

namespace chivevane {

/// Any message that hosts exchange in datagrams. New alternatives are appended at the end, since
/// the index of the alternative is part of the wire format.
using message =
    std::variant<host_record, document_revisions, loan_request, loan_response,
                 cancel_attempt_request, cancel_attempt_response, crash_report, health_report,
                 loan_report, share_lease_request, share_lease_response, gossip, probe, probe_ack,
                 host_record_request, document_revisions_request, token_request, token_response,
                 store_contact_report, departure_report, recovery_request, recovery_response,
                 contact_request, contact_response>;

} // namespace chivevane
