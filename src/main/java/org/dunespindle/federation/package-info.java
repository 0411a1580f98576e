/** Several cells together: a job that finds no room in the cell that accepted it may run in another, exactly once. */
package org.dunespindle.federation;
