package org.dunespindle.storage;

/**
 * How a job is tied to another cell. It is part of the job's record, so that the record's stamp guards both: a job cannot be
 * placed by one controller while another gives it away.
 */
public sealed interface DelegationLink permits OutboundDelegation, InboundDelegation {}
