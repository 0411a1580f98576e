/** Tests of the dealings with workers. */
package org.dunespindle.worker;
