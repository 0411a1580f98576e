/** The machine fleet: scale out and in, cloud inventory, shard ownership, quarantine. */
package org.dunespindle.machine;
