/** Access to the state store: records and their stored forms, transactions, and the replica that follows the change log. */
package org.dunespindle.storage;
