/** Tests of the interfaces for users and operators. */
package org.dunespindle.api;
