/** Tests of records and of the replica. */
package org.dunespindle.storage;
