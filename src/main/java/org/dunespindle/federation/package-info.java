/** Federation of cells: a job that its origin cannot place may be delegated to another cell, and runs in exactly one. */
package org.dunespindle.federation;
