/** Tests of the APIs for users and operators. */
package org.dunespindle.api;
