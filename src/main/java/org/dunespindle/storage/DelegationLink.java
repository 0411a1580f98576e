package org.dunespindle.storage;

/**
 * The link of a job to another cell. It is part of the job's record, so that one precondition on the record's revision covers
 * both placement and delegation: a job cannot be placed by one controller while another delegates it.
 */
public sealed interface DelegationLink permits OutboundDelegation, InboundDelegation {}
