#pragma once

#include <LibTicket/RequestDigest.h>
#include <LibTicket/Ticket.h>
#include <LibTicket/TicketKey.h>
#include <LibTicket/TicketOutcome.h>
#include <LibTicket/TicketTable.h>
