package org.dunespindle.storage;

/**
 * How a job is linked to another cell. The link is part of the job's record, so that a precondition on the record's revision
 * protects both: a job cannot be placed by one controller while another delegates it.
 */
public sealed interface DelegationLink permits OutboundDelegation, InboundDelegation {}
