/** Unit tests of the federation; {@code sim} has the tests of whole cells. */
package org.dunespindle.federation;
