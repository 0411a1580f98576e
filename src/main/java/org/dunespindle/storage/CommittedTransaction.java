package org.dunespindle.storage;

/** A transaction of this process that the state store committed at a revision. */
record CommittedTransaction(Transaction transaction, long revision) {}
