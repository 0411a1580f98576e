package org.dunespindle.storage;

/** A transaction of this process and the revision at which the state store committed it. */
record CommittedTransaction(Transaction transaction, long revision) {}
