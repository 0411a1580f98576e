/** What is kept in the state service: records, transactions, and the replica that follows its log. */
package org.dunespindle.storage;
