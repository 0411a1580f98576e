/** Tests of the federation's parts; whole cells are tested in {@code sim}. */
package org.dunespindle.federation;
